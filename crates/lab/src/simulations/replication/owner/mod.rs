//! An owner of the log: takes it over, appends, compacts, is superseded, and takes it over again.
//!
//! Owns what it knows to be decided and what it observed. Relies on the core's proposer, and on `set_change` for
//! changes of the log's stores.

mod observation;
mod set_change;

use std::collections::VecDeque;
use std::time::Duration;

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::proposer::{Proposer, ProposerChecks, ProposerConfig, ProposerEvent};
use lichenpulley_core::replication::reconfigurer::ReconfigurerChecks;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::change::Change;
use super::message::Message;
use super::{PLATFORM, RETRANSMIT_AFTER, transmit};
pub use observation::{Observation, ObservationKind};
use observation::{decode_log, encode, name_bits};

/// A take-over or an append that gets nowhere is given up after this time.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two appends.
const APPEND_INTERVAL: Duration = Duration::from_millis(40);
/// The shortest pause before a take-over.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause before a take-over.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// The same for owners that change the stores, so that there is time for it.
const MAX_CHANGER_PAUSE: Duration = Duration::from_secs(4);
/// Appends between two snapshots.
const APPENDS_PER_SNAPSHOT: u64 = 12;

/// Mechanisms of an owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnerChecks {
    pub(super) proposer: ProposerChecks,
    pub(super) reconfigurer: ReconfigurerChecks,
}

enum Activity {
    Waiting {
        until: Timestamp,
    },
    Proposing {
        proposer: Box<Proposer>,
        deadline: Timestamp,
    },
    /// A change of the stores; the proposer is that of an owner that goes on afterwards.
    Changing {
        change: Box<Change>,
        leading: Option<(Box<Proposer>, ReplicaSet)>,
    },
}

/// An owner process.
pub(super) struct Owner {
    name: String,
    shard: ShardId,
    checks: OwnerChecks,
    random: Pcg64Mcg,
    set: ReplicaSet,
    activity: Activity,
    /// Records that are decided, as far as this owner knows.
    decided: Vec<u64>,
    /// Records that are on their way, with the position of each.
    pending: VecDeque<(LogIndex, u64)>,
    next_append: Timestamp,
    /// The set that is to follow, with the position of the entry that says so.
    chosen: Option<(LogIndex, ReplicaSet)>,
    /// The position that shows that the owner goes on in another set.
    confirming: Option<LogIndex>,
    /// Every store as it is now, where owners see to the replacement of lost ones.
    stores: Vec<SetMember>,
    /// The longest pause before a take-over.
    longest_pause: Duration,
    appends: u64,
    incarnations: u64,
    /// Whether it begins new take-overs and appends.
    pub(super) active: bool,
    pub(super) observations: Vec<Observation>,
}

impl Owner {
    pub(super) fn new(name: String, seed: u64, set: ReplicaSet, checks: OwnerChecks) -> Self {
        Self {
            name,
            shard: set.shard.clone(),
            checks,
            random: Pcg64Mcg::seed_from_u64(seed),
            set,
            activity: Activity::Waiting { until: Timestamp::ORIGIN },
            decided: Vec::new(),
            pending: VecDeque::new(),
            next_append: Timestamp::ORIGIN,
            chosen: None,
            confirming: None,
            stores: Vec::new(),
            longest_pause: MAX_PAUSE,
            appends: 0,
            incarnations: 0,
            active: true,
            observations: Vec::new(),
        }
    }

    /// The owner after a crash: it knows nothing but where it once found the shard.
    pub(super) fn restarted(&self) -> Self {
        let mut random = self.random.clone();
        let seed = random.random();
        let mut owner = Self::new(self.name.clone(), seed, self.set.clone(), self.checks);
        owner.incarnations = self.incarnations;
        owner.appends = self.appends;
        owner.active = self.active;
        owner.longest_pause = self.longest_pause;
        owner.observations.clone_from(&self.observations);
        owner
    }

    /// Tells which stores there are, and the set in force: from then on the owner replaces lost members through the log.
    pub(super) fn set_stores(&mut self, stores: Vec<SetMember>, in_force: Option<ReplicaSet>) {
        self.stores = stores;
        self.longest_pause = MAX_CHANGER_PAUSE;
        let later = in_force.filter(|set| set.generation > self.set.generation);
        if let (Activity::Waiting { .. }, Some(set)) = (&self.activity, later) {
            self.set = set;
        }
    }

    /// Whether it is bringing another set into force, in order to go on in it.
    pub(super) fn is_changing(&self) -> bool {
        matches!(self.activity, Activity::Changing { leading: Some(_), .. })
    }

    /// Whether a take-over succeeded since a time.
    pub(super) fn recovered_since(&self, since: Timestamp) -> bool {
        let later = self.observations.iter().rev().take_while(|observation| observation.at >= since);
        later.into_iter().any(|observation| matches!(observation.kind, ObservationKind::Recovered(_)))
    }

    /// Gives up what it does, and takes the log over anew.
    pub(super) fn start_over(&mut self, now: Timestamp) {
        self.active = true;
        self.activity = Activity::Waiting { until: now };
    }

    fn advance(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.begin_if_due(now, outbox);
        self.append_if_due(now);
        self.take_events(now);
        self.advance_change(now, outbox);
        self.give_up_if_late(now);
        if let Activity::Proposing { proposer, .. } = &mut self.activity {
            while let Some(request) = proposer.poll_transmit(now) {
                transmit(std::slice::from_ref(&self.set), request, outbox);
            }
        }
    }

    fn begin_if_due(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        let Activity::Waiting { until } = self.activity else { return };
        if now < until || !self.active {
            return;
        }
        outbox.send(PLATFORM, Message::Read(self.shard.clone()));
        self.incarnations += 1;
        let id = ProposerId::new(format!("{}/{}", self.name, self.incarnations));
        let config = ProposerConfig {
            retransmit_after: RETRANSMIT_AFTER,
            maximum_batch_bytes: 300,
            window_bytes: 2_000,
            ..ProposerConfig::default()
        };
        let proposer = Proposer::new(self.set.clone(), id, Epoch(1), config);
        let proposer = Box::new(proposer.with_checks(self.checks.proposer));
        self.observe(now, proposer.epoch(), ObservationKind::Began);
        self.pending.clear();
        (self.chosen, self.confirming) = (None, None);
        self.activity = Activity::Proposing { proposer, deadline: now + STEP_TIMEOUT };
        self.next_append = now + STEP_TIMEOUT;
    }

    fn append_if_due(&mut self, now: Timestamp) {
        if now < self.next_append || !self.active {
            return;
        }
        self.next_append = now + APPEND_INTERVAL;
        if !self.pending.is_empty() || self.chosen.is_some() || self.confirming.is_some() {
            return;
        }
        let next_set = self.choose_set();
        let Activity::Proposing { proposer, deadline } = &mut self.activity else { return };
        if let Some(next) = next_set {
            // A refusal says that it does not lead yet.
            if let Ok(through) = proposer.append_next_set(next.clone()) {
                *deadline = now + STEP_TIMEOUT;
                self.chosen = Some((through, next));
            }
            return;
        }
        self.appends += 1;
        if self.appends.is_multiple_of(APPENDS_PER_SNAPSHOT) {
            // A refusal says that it does not lead yet.
            let _ = proposer.compact(encode(&self.decided));
            return;
        }
        let count = self.random.random_range(1..=3_u64);
        let record =
            |number| (self.incarnations << 40) + (self.appends << 8) + number + name_bits(&self.name);
        let records: Vec<u64> = (0..count).map(record).collect();
        let Ok(last) = proposer.append(records.iter().map(|record| encode(&[*record])).collect()) else {
            return;
        };
        *deadline = now + STEP_TIMEOUT;
        let epoch = proposer.epoch();
        let first = last.0 + 1 - count;
        for (index, record) in (first..).map(LogIndex).zip(records) {
            self.pending.push_back((index, record));
            self.observe(now, epoch, ObservationKind::Appending(record));
        }
    }

    fn take_events(&mut self, now: Timestamp) {
        while let Activity::Proposing { proposer, deadline } = &mut self.activity {
            let epoch = proposer.epoch();
            match proposer.poll_event() {
                Some(ProposerEvent::Recovered(recovered)) => {
                    let found = decode_log(&recovered);
                    // One that asked for the log anew in another set knows what came before.
                    let knows = self.confirming.take().is_some() && recovered.snapshot.is_none();
                    let known = if knows { std::mem::take(&mut self.decided) } else { Vec::new() };
                    self.decided = known.into_iter().chain(found).collect();
                    self.next_append = now;
                    *deadline = now + STEP_TIMEOUT * 1_000;
                    self.observe(now, epoch, ObservationKind::Recovered(self.decided.clone()));
                    if let Some(next) = recovered.next_set
                        && next.generation > self.set.generation
                    {
                        self.change_set(now, next);
                    }
                }
                Some(ProposerEvent::Decided(through)) => self.decided(now, epoch, through),
                Some(ProposerEvent::Ended(reason)) => self.ended(now, reason),
                None => return,
            }
        }
    }

    fn decided(&mut self, now: Timestamp, epoch: Epoch, through: LogIndex) {
        self.acknowledge(now, epoch, through);
        if self.confirming.is_some_and(|confirming| confirming <= through) {
            self.confirming = None;
            self.next_append = now;
            if let Activity::Proposing { deadline, .. } = &mut self.activity {
                *deadline = now + STEP_TIMEOUT * 1_000;
            }
            self.observe(now, epoch, ObservationKind::Continued);
        }
        if let Some((_, next)) = self.chosen.take_if(|(chosen, _)| *chosen <= through) {
            self.change_set(now, next);
        }
    }

    fn acknowledge(&mut self, now: Timestamp, epoch: Epoch, through: LogIndex) {
        let mut records = Vec::new();
        while self.pending.front().is_some_and(|(index, _)| *index <= through) {
            records.extend(self.pending.pop_front().map(|(_, record)| record));
        }
        if records.is_empty() {
            return;
        }
        self.decided.extend_from_slice(&records);
        if self.pending.is_empty()
            && let Activity::Proposing { deadline, .. } = &mut self.activity
        {
            *deadline = now + STEP_TIMEOUT * 1_000;
        }
        let length = self.decided.len();
        self.observe(now, epoch, ObservationKind::Acknowledged { length, records });
    }

    fn give_up_if_late(&mut self, now: Timestamp) {
        if let Activity::Proposing { deadline, .. } = &self.activity
            && now >= *deadline
        {
            self.wait(now);
        }
    }

    fn wait(&mut self, now: Timestamp) {
        let pause = self.random.random_range(SHORTEST_PAUSE..self.longest_pause);
        self.activity = Activity::Waiting { until: now + pause };
    }

    fn observe(&mut self, at: Timestamp, epoch: Epoch, kind: ObservationKind) {
        self.observations.push(Observation { at, epoch, kind });
    }
}

impl Process for Owner {
    type Message = Message;

    fn start(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.advance(now, outbox);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.advance(now, outbox);
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Response(response) => match &mut self.activity {
                Activity::Proposing { proposer, .. } => proposer.step(now, response),
                Activity::Changing { change, .. } => change.step(response),
                Activity::Waiting { .. } => {}
            },
            Message::Document { document, .. }
                if document.current.shard == self.shard
                    && document.current.generation > self.set.generation =>
            {
                self.set = document.current;
            }
            _ => {}
        }
        self.advance(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        match &self.activity {
            Activity::Waiting { until } => self.active.then_some(*until),
            Activity::Proposing { proposer, deadline } => {
                let due = proposer.poll_timeout().map_or(*deadline, |at| at.min(*deadline));
                Some(if self.active { due.min(self.next_append.max(Timestamp::ORIGIN)) } else { due })
            }
            Activity::Changing { change, .. } => Some(change.next_wake()),
        }
    }
}
