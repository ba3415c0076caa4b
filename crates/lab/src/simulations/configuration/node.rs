//! A node on the virtual clock: the core's disseminator and writers between simulated heartbeats and the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::{Action, Config, Disseminator, Message, Peer};
use lichenpulley_core::identity::{NodeId, Revision};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::changes::Changes;
use super::packet::{PLATFORM, Packet, PlatformAnswer, PlatformRequest, node_process};

/// Between two probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A call of the platform without an answer is given up after this.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch without a change is opened anew after this.
const WATCH_HOLD: Duration = Duration::from_secs(5);
/// Pause of a reader after the platform gave no answer.
const READ_PAUSE: Duration = Duration::from_secs(1);

/// How nodes of a run are built.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// How documents spread.
    pub dissemination: Config,
    /// Whether a writer does not search the register for the change's id. Only in a proof.
    pub forgets_change_ids: bool,
}

/// Why the platform was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A single read of a starting node.
    ReadOnce,
    /// The reader's first read, or a new one after a failure.
    Follow,
    /// The reader's watch.
    Watch,
    /// A step of an operator's change, by its number on this node.
    Change(u64),
}

/// One node.
#[derive(Debug)]
pub struct Node {
    number: usize,
    options: NodeOptions,
    disseminator: Disseminator,
    members: Vec<Peer>,
    random: Pcg64Mcg,
    probe_at: Timestamp,
    calls: BTreeMap<u64, (Purpose, Timestamp)>,
    next_call: u64,
    reading: bool,
    follow_at: Option<Timestamp>,
    /// The reader opens its watch after this version.
    watch_after: Option<Revision>,
    changes: Changes,
    in_force_log: Vec<(Timestamp, Revision)>,
    incarnation: u64,
}

/// The name of the node with this number.
pub fn node_name(number: usize) -> NodeId {
    NodeId::new(format!("node-{number:03}"))
}

/// The process of a node by its name.
fn process_of(node: &NodeId) -> Option<ProcessId> {
    let number = node.as_str().strip_prefix("node-")?;
    Some(node_process(number.parse().ok()?))
}

impl Node {
    /// A node that holds nothing. `incarnation` counts its restarts.
    pub fn new(number: usize, incarnation: u64, options: NodeOptions) -> Self {
        let config = options.dissemination.clone();
        let seed = u64::try_from(number).unwrap_or_default() * 1_000 + incarnation;
        Self {
            number,
            disseminator: Disseminator::new(node_name(number), "configuration", config),
            changes: Changes::new(options.forgets_change_ids),
            options,
            members: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            probe_at: Timestamp::ORIGIN,
            calls: BTreeMap::new(),
            // Answers to calls of an earlier incarnation must not be taken for answers to calls of this one.
            next_call: incarnation << 32,
            reading: false,
            follow_at: None,
            watch_after: None,
            in_force_log: Vec::new(),
            incarnation,
        }
    }

    /// The node after a restart with nothing kept.
    pub fn restarted(&self) -> Self {
        Self::new(self.number, self.incarnation + 1, self.options.clone())
    }

    /// How often it was restarted.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Each revision put in force in this incarnation, with its time.
    pub fn in_force_log(&self) -> &[(Timestamp, Revision)] {
        &self.in_force_log
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<Revision> {
        self.disseminator.in_force().map(|document| document.revision())
    }

    /// The digest of what is in force.
    pub fn digest(&self) -> Option<u64> {
        self.disseminator.in_force().map(|document| document.digest())
    }

    /// Whether it reads the platform.
    pub fn is_reading(&self) -> bool {
        self.reading
    }

    /// The live members changed.
    pub fn set_members(&mut self, members: Vec<Peer>, now: Timestamp, outbox: &mut Outbox<Packet>) {
        if self.members != members {
            self.disseminator.members_changed(&members, now);
            self.members = members;
            self.act(now, outbox);
        }
    }

    fn name_of(&self, process: ProcessId) -> Option<NodeId> {
        process.0.checked_sub(1).map(node_name)
    }

    fn hear(&mut self, from: ProcessId, revision: Option<Revision>, now: Timestamp) {
        if let (Some(sender), Some(revision)) = (self.name_of(from), revision) {
            self.disseminator.receive_announcement(revision, sender, now);
        }
    }

    fn probe(&mut self, outbox: &mut Outbox<Packet>) {
        let own = node_name(self.number);
        let others: Vec<&Peer> = self.members.iter().filter(|peer| peer.node != own).collect();
        let target = others.choose(&mut self.random).and_then(|peer| process_of(&peer.node));
        let revision = self.revision();
        if let Some(target) = target {
            outbox.send(target, Packet::Probe { revision });
        }
    }

    fn send_message(&mut self, to: &NodeId, message: Message, outbox: &mut Outbox<Packet>) {
        let Some(process) = process_of(to) else { return };
        outbox.send(process, Packet::Spread(message));
    }

    fn call(
        &mut self,
        purpose: Purpose,
        request: PlatformRequest,
        now: Timestamp,
        outbox: &mut Outbox<Packet>,
    ) {
        let timeout = if purpose == Purpose::Watch { WATCH_HOLD } else { CALL_TIMEOUT };
        self.next_call += 1;
        self.calls.insert(self.next_call, (purpose, now + timeout));
        outbox.send(PLATFORM, Packet::PlatformCall { call: self.next_call, request });
    }

    fn take_answer(&mut self, call: u64, answer: PlatformAnswer, now: Timestamp) {
        let Some((purpose, _)) = self.calls.remove(&call) else { return };
        match (purpose, answer) {
            (Purpose::Change(number), answer) => self.changes.take_answer(number, Some(answer), now),
            (_, PlatformAnswer::Register { version, register }) => {
                self.disseminator.receive_platform_document(register.document().clone(), now);
                if purpose != Purpose::ReadOnce && self.reading {
                    self.watch_after = Some(version.unwrap_or_default());
                }
            }
            (_, PlatformAnswer::Written | PlatformAnswer::Conflict) => {}
        }
    }

    fn give_up_calls(&mut self, now: Timestamp) {
        let late = self.calls.iter().filter(|(_, (_, deadline))| *deadline <= now);
        let late: Vec<(u64, Purpose)> = late.map(|(call, (purpose, _))| (*call, *purpose)).collect();
        for (call, purpose) in late {
            self.calls.remove(&call);
            match purpose {
                Purpose::Change(number) => self.changes.take_answer(number, None, now),
                Purpose::Watch if self.reading => self.follow_at = Some(now),
                Purpose::Follow if self.reading => self.follow_at = Some(now + READ_PAUSE),
                Purpose::Watch | Purpose::Follow | Purpose::ReadOnce => {}
            }
        }
    }

    /// Does what the disseminator and the changes under way ask for.
    fn act(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        loop {
            while let Some(action) = self.disseminator.poll_action() {
                self.act_once(action, now, outbox);
            }
            if let Some(after) = self.watch_after.take() {
                self.call(Purpose::Watch, PlatformRequest::Watch { after }, now, outbox);
            }
            let in_force = self.revision();
            let step = self.changes.step(in_force, now, outbox);
            for (number, request) in step.calls {
                self.call(Purpose::Change(number), request, now, outbox);
            }
            if step.written.is_empty() {
                return;
            }
            for document in step.written {
                self.disseminator.receive_platform_document(document, now);
            }
        }
    }

    fn act_once(&mut self, action: Action, now: Timestamp, outbox: &mut Outbox<Packet>) {
        match action {
            Action::Send { to, message } => self.send_message(&to, message, outbox),
            Action::PutInForce { document, .. } => self.in_force_log.push((now, document.revision())),
            Action::ReadOnce => {
                if !self.calls.values().any(|(purpose, _)| *purpose == Purpose::ReadOnce) {
                    self.call(Purpose::ReadOnce, PlatformRequest::Read, now, outbox);
                }
            }
            Action::StartReading => {
                self.reading = true;
                self.call(Purpose::Follow, PlatformRequest::Read, now, outbox);
            }
            Action::StopReading => {
                self.reading = false;
                self.follow_at = None;
                self.calls.retain(|_, (purpose, _)| !matches!(purpose, Purpose::Watch | Purpose::Follow));
            }
        }
    }
}

impl Process for Node {
    type Message = Packet;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Packet>) {
        let offset = self.random.random_range(Duration::ZERO..PROBE_INTERVAL);
        self.probe_at = now + offset;
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, packet: Packet, outbox: &mut Outbox<Packet>) {
        match packet {
            Packet::Spread(message) => {
                if let Some(sender) = self.name_of(from) {
                    self.disseminator.receive(sender, message, now);
                }
            }
            Packet::Probe { revision } => {
                self.hear(from, revision, now);
                let revision = self.revision();
                outbox.send(from, Packet::ProbeAnswer { revision });
            }
            Packet::ProbeAnswer { revision } => self.hear(from, revision, now),
            Packet::PlatformAnswer { call, answer } => self.take_answer(call, answer, now),
            Packet::AskRevision { question } => {
                outbox.send(from, Packet::Revision { question, revision: self.revision() });
            }
            Packet::AskChange { question, change } => self.changes.begin(from, question, change, now),
            Packet::PlatformCall { .. } | Packet::Revision { .. } | Packet::Changed { .. } => {}
        }
        self.act(now, outbox);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        if self.probe_at <= now {
            self.probe_at = now + PROBE_INTERVAL;
            self.probe(outbox);
        }
        if self.follow_at.is_some_and(|at| at <= now) {
            self.follow_at = None;
            self.call(Purpose::Follow, PlatformRequest::Read, now, outbox);
        }
        self.give_up_calls(now);
        if self.disseminator.next_wake().is_some_and(|at| at <= now) {
            self.disseminator.wake(now);
        }
        self.act(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let calls = self.calls.values().map(|(_, deadline)| *deadline).min();
        let others = [self.follow_at, calls, self.disseminator.next_wake(), self.changes.next_wake()];
        others.into_iter().flatten().chain([self.probe_at]).min()
    }
}
