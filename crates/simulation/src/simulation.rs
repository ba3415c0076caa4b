//! The event loop: who receives what when.
//!
//! Owns the processes, the queue of events, the virtual clock and the random source. Faults are in `fault_injection`.

mod fault_injection;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::link::LinkQuality;

/// A process of a simulation; given out by [`Simulation::add`] in order from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub usize);

/// A state machine that exchanges messages and asks to be woken.
pub trait Process {
    /// What it sends and receives.
    type Message: Clone;

    /// Called once when the process starts, and again after a restart.
    fn start(&mut self, _now: Timestamp, _outbox: &mut Outbox<Self::Message>) {}

    /// Called for each message that arrives.
    fn receive(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        message: Self::Message,
        outbox: &mut Outbox<Self::Message>,
    );

    /// Called when the time given by `next_wake` has come.
    fn wake(&mut self, _now: Timestamp, _outbox: &mut Outbox<Self::Message>) {}

    /// When to call `wake`; asked again after every call. `None` where only messages wake the process.
    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

/// A process that may be of the kind `K`; [`process_kinds!`] implements it for each of its kinds.
///
/// [`process_kinds!`]: crate::process_kinds
pub trait ProcessKind<K> {
    /// The process, where it is of this kind.
    fn kind(&self) -> Option<&K>;

    /// The same, to change it.
    fn kind_mut(&mut self) -> Option<&mut K>;
}

/// Messages that a process sends during one call.
#[derive(Debug)]
pub struct Outbox<M> {
    messages: Vec<(ProcessId, M)>,
}

impl<M> Outbox<M> {
    fn new() -> Self {
        Self { messages: Vec::new() }
    }

    /// Sends a message. It may be lost, late or doubled.
    pub fn send(&mut self, to: ProcessId, message: M) {
        self.messages.push((to, message));
    }
}

/// What happens at one point in time.
enum Event<M> {
    Deliver { from: ProcessId, to: ProcessId, message: M },
    Wake { process: ProcessId, incarnation: u64 },
}

/// An event in the queue, ordered by time, then by the order of scheduling.
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
    /// Nothing reaches the process before this time; its timers are late.
    frozen_until: Timestamp,
    /// Distinguishes wake-ups of an earlier incarnation from those of this one.
    incarnation: u64,
    /// The earliest wake-up in the queue, if any.
    wake_at: Option<Timestamp>,
}

/// Many processes on one virtual clock.
pub struct Simulation<P: Process> {
    now: Timestamp,
    random: Pcg64Mcg,
    link: LinkQuality,
    slots: Vec<Slot<P>>,
    queue: BinaryHeap<Reverse<Scheduled<P::Message>>>,
    sequence: u64,
    /// Directed pairs between which nothing passes.
    cuts: BTreeSet<(ProcessId, ProcessId)>,
    delivered: u64,
}

impl<P: Process> Simulation<P> {
    /// An empty simulation at the origin of time.
    pub fn new(seed: u64, link: LinkQuality) -> Self {
        Self {
            now: Timestamp::ORIGIN,
            random: Pcg64Mcg::seed_from_u64(seed),
            link,
            slots: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            delivered: 0,
        }
    }

    /// Adds a process and starts it now.
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

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The seeded random source, for schedules that a test draws itself.
    pub fn random(&mut self) -> &mut Pcg64Mcg {
        &mut self.random
    }

    /// Messages delivered so far.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// All process ids.
    pub fn ids(&self) -> impl Iterator<Item = ProcessId> + use<P> {
        (0..self.slots.len()).map(ProcessId)
    }

    /// A process, dead ones too.
    pub fn process(&self, id: ProcessId) -> &P {
        &self.slots[id.0].process
    }

    /// A process, dead ones too, where it is of this kind.
    pub fn process_as<K>(&self, id: ProcessId) -> Option<&K>
    where
        P: ProcessKind<K>,
    {
        self.process(id).kind()
    }

    /// Whether a process has not been killed.
    pub fn is_alive(&self, id: ProcessId) -> bool {
        self.slots[id.0].alive
    }

    /// Whether a process is frozen now.
    pub fn is_frozen(&self, id: ProcessId) -> bool {
        self.slots[id.0].frozen_until > self.now
    }

    /// Changes how the network treats messages sent from now on.
    pub fn set_link(&mut self, link: LinkQuality) {
        self.link = link;
    }

    /// Calls into a process from outside, such as a client's request; its messages are sent. `None` where the
    /// process is dead or frozen.
    pub fn interact<R>(
        &mut self,
        id: ProcessId,
        act: impl FnOnce(&mut P, Timestamp, &mut Outbox<P::Message>) -> R,
    ) -> Option<R> {
        let reachable = self.is_alive(id) && !self.is_frozen(id);
        reachable.then(|| self.call(id, act))
    }

    /// The same for a process of one kind. `None` also where it is of another.
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

    /// Runs all events up to a time, and sets the clock to it.
    pub fn run_until(&mut self, deadline: Timestamp) {
        while self.next_event_at().is_some_and(|at| at <= deadline) {
            self.step();
        }
        self.now = self.now.max(deadline);
    }

    /// Runs all events of the next `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    /// Runs until `condition` holds, looking after each event, at most until a time. Returns whether it held.
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

    /// Runs one event. Returns whether there was one.
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
        // A link that was cut after the message left loses it too: a cut may fall anywhere on its way.
        if !slot.alive || self.cuts.contains(&(from, to)) {
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
        if self.cuts.contains(&(from, to)) {
            return;
        }
        for delay in self.link.draw_deliveries(&mut self.random) {
            let at = self.now + delay;
            self.schedule(at, Event::Deliver { from, to, message: message.clone() });
        }
    }

    /// Invariant: a living process that wants to be woken has a wake-up in the queue no later than it asked for.
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
