//! The event loop, which delivers messages and wake-ups in the order of virtual time.
//!
//! [`Simulation`] owns the processes, the event queue, the virtual clock and the random source. The module
//! `fault_injection` adds its methods that inject faults.

mod fault_injection;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::link::LinkQuality;

/// Identifies a process of a simulation; assigned by [`Simulation::add`] in ascending order from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub usize);

/// A state machine that exchanges messages and requests wake-ups.
pub trait Process {
    /// The type of messages that the process sends and receives.
    type Message: Clone;

    /// Called when the process starts and after each restart.
    fn start(&mut self, _now: Timestamp, _outbox: &mut Outbox<Self::Message>) {}

    /// Called for each message that arrives.
    fn receive(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        message: Self::Message,
        outbox: &mut Outbox<Self::Message>,
    );

    /// Called once the time returned by `next_wake` is reached.
    fn wake(&mut self, _now: Timestamp, _outbox: &mut Outbox<Self::Message>) {}

    /// Returns when to call `wake`, or `None` if the process waits for messages only. Evaluated after every call.
    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

/// Access to a process as the concrete type `K`; implemented by [`process_kinds!`] for each of its kinds.
///
/// [`process_kinds!`]: crate::process_kinds
pub trait ProcessKind<K> {
    /// Returns the process as `K`, or `None` if it is of another kind.
    fn kind(&self) -> Option<&K>;

    /// Returns the process as mutable `K`, or `None` if it is of another kind.
    fn kind_mut(&mut self) -> Option<&mut K>;
}

/// Collects the messages that a process sends during one call.
#[derive(Debug)]
pub struct Outbox<M> {
    messages: Vec<(ProcessId, M)>,
}

impl<M> Outbox<M> {
    fn new() -> Self {
        Self { messages: Vec::new() }
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    pub fn send(&mut self, to: ProcessId, message: M) {
        self.messages.push((to, message));
    }
}

/// An action that is due at one point in time.
enum Event<M> {
    Deliver { from: ProcessId, to: ProcessId, message: M },
    Wake { process: ProcessId, incarnation: u64 },
}

/// A queued event, ordered by time and then by scheduling order.
struct Scheduled<M> {
    at: Timestamp,
    sequence: u64,
    event: Event<M>,
}

impl<M> PartialEq for Scheduled<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<M> Eq for Scheduled<M> {}

impl<M> PartialOrd for Scheduled<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Scheduled<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

struct Slot<P> {
    process: P,
    alive: bool,
    /// Messages and wake-ups are deferred until this time.
    frozen_until: Timestamp,
    /// Number of restarts; identifies wake-ups scheduled before the last restart.
    incarnation: u64,
    /// The earliest queued wake-up, if any.
    wake_at: Option<Timestamp>,
}

/// Runs processes on one virtual clock and delivers their messages.
pub struct Simulation<P: Process> {
    now: Timestamp,
    random: Pcg64Mcg,
    link: LinkQuality,
    slots: Vec<Slot<P>>,
    queue: BinaryHeap<Reverse<Scheduled<P::Message>>>,
    sequence: u64,
    /// Directed links that drop all messages.
    cut_links: BTreeSet<(ProcessId, ProcessId)>,
    delivered: u64,
}

impl<P: Process> Simulation<P> {
    /// Creates an empty simulation at [`Timestamp::ORIGIN`].
    pub fn new(seed: u64, link: LinkQuality) -> Self {
        Self {
            now: Timestamp::ORIGIN,
            random: Pcg64Mcg::seed_from_u64(seed),
            link,
            slots: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            cut_links: BTreeSet::new(),
            delivered: 0,
        }
    }

    /// Adds a process, starts it and returns its id.
    pub fn add(&mut self, process: P) -> ProcessId {
        let id = ProcessId(self.slots.len());
        self.slots.push(Slot {
            process,
            alive: true,
            frozen_until: Timestamp::ORIGIN,
            incarnation: 0,
            wake_at: None,
        });
        self.call(id, |process, now, outbox| process.start(now, outbox));
        id
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the seeded random source, for tests that draw their own schedules.
    pub fn random(&mut self) -> &mut Pcg64Mcg {
        &mut self.random
    }

    /// Returns the number of messages delivered so far.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the ids of all processes.
    pub fn ids(&self) -> impl Iterator<Item = ProcessId> + use<P> {
        (0..self.slots.len()).map(ProcessId)
    }

    /// Returns a process, including a killed one.
    pub fn process(&self, id: ProcessId) -> &P {
        &self.slots[id.0].process
    }

    /// Returns a process, including a killed one, as `K`, or `None` if it is of another kind.
    pub fn process_as<K>(&self, id: ProcessId) -> Option<&K>
    where
        P: ProcessKind<K>,
    {
        self.process(id).kind()
    }

    /// Returns whether a process is running, that is, not killed.
    pub fn is_alive(&self, id: ProcessId) -> bool {
        self.slots[id.0].alive
    }

    /// Returns whether a process is currently frozen.
    pub fn is_frozen(&self, id: ProcessId) -> bool {
        self.slots[id.0].frozen_until > self.now
    }

    /// Sets the link quality for messages sent from now on.
    pub fn set_link(&mut self, link: LinkQuality) {
        self.link = link;
    }

    /// Calls into a process from outside, for example with a client's request, and sends the resulting messages.
    /// Returns `None` if the process is killed or frozen.
    pub fn interact<R>(
        &mut self,
        id: ProcessId,
        act: impl FnOnce(&mut P, Timestamp, &mut Outbox<P::Message>) -> R,
    ) -> Option<R> {
        let reachable = self.is_alive(id) && !self.is_frozen(id);
        reachable.then(|| self.call(id, act))
    }

    /// Like [`Self::interact`], for a process of kind `K`. Also returns `None` if it is of another kind.
    pub fn interact_as<K, R>(
        &mut self,
        id: ProcessId,
        act: impl FnOnce(&mut K, Timestamp, &mut Outbox<P::Message>) -> R,
    ) -> Option<R>
    where
        P: ProcessKind<K>,
    {
        self.interact(id, |process, now, outbox| process.kind_mut().map(|kind| act(kind, now, outbox)))
            .flatten()
    }

    /// Runs all events up to and including `deadline`, and advances the clock to it.
    pub fn run_until(&mut self, deadline: Timestamp) {
        while self.next_event_at().is_some_and(|at| at <= deadline) {
            self.step();
        }
        self.now = self.now.max(deadline);
    }

    /// Runs all events within `duration` from now, and advances the clock by it.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    /// Runs events until `condition` holds, but at most until `deadline`. Returns whether the condition holds.
    pub fn run_until_condition(&mut self, deadline: Timestamp, condition: impl Fn(&Self) -> bool) -> bool {
        while !condition(self) {
            if self.next_event_at().is_none_or(|at| at > deadline) {
                self.now = self.now.max(deadline);
                return condition(self);
            }
            self.step();
        }
        true
    }

    /// Runs the next event. Returns `false` if the queue is empty.
    pub fn step(&mut self) -> bool {
        let Some(Reverse(scheduled)) = self.queue.pop() else { return false };
        self.now = scheduled.at;
        match scheduled.event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Wake { process, incarnation } => self.wake(process, incarnation),
        }
        true
    }

    fn next_event_at(&self) -> Option<Timestamp> {
        self.queue.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    fn deliver(&mut self, from: ProcessId, to: ProcessId, message: P::Message) {
        let slot = &self.slots[to.0];
        // Messages in flight on a link are lost if the link is cut before their delivery.
        if !slot.alive || self.cut_links.contains(&(from, to)) {
            return;
        }
        if self.is_frozen(to) {
            let at = slot.frozen_until;
            return self.schedule(at, Event::Deliver { from, to, message });
        }
        self.delivered += 1;
        self.call(to, |process, now, outbox| process.receive(now, from, message, outbox));
    }

    fn wake(&mut self, id: ProcessId, incarnation: u64) {
        let now = self.now;
        let slot = &mut self.slots[id.0];
        if !slot.alive || slot.incarnation != incarnation || slot.wake_at != Some(now) {
            return;
        }
        if slot.frozen_until > now {
            let at = slot.frozen_until;
            slot.wake_at = Some(at);
            return self.schedule(at, Event::Wake { process: id, incarnation });
        }
        slot.wake_at = None;
        if slot.process.next_wake().is_some_and(|due| due <= now) {
            self.call(id, |process, now, outbox| process.wake(now, outbox));
        } else {
            self.schedule_wake(id);
        }
    }

    fn call<R>(
        &mut self,
        id: ProcessId,
        act: impl FnOnce(&mut P, Timestamp, &mut Outbox<P::Message>) -> R,
    ) -> R {
        let mut outbox = Outbox::new();
        let result = act(&mut self.slots[id.0].process, self.now, &mut outbox);
        for (to, message) in outbox.messages {
            self.send(id, to, message);
        }
        self.schedule_wake(id);
        result
    }

    fn send(&mut self, from: ProcessId, to: ProcessId, message: P::Message) {
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        for delay in self.link.draw_deliveries(&mut self.random) {
            let at = self.now + delay;
            self.schedule(at, Event::Deliver { from, to, message: message.clone() });
        }
    }

    /// Keeps the invariant that a running process has a wake-up queued no later than it requested.
    fn schedule_wake(&mut self, id: ProcessId) {
        let slot = &mut self.slots[id.0];
        let Some(due) = slot.process.next_wake() else { return };
        let at = due.max(self.now);
        if slot.wake_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        slot.wake_at = Some(at);
        let incarnation = slot.incarnation;
        self.schedule(at, Event::Wake { process: id, incarnation });
    }

    fn schedule(&mut self, at: Timestamp, event: Event<P::Message>) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }
}
