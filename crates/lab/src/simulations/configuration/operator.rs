//! Operators that change settings, race each other and repeat what got no answer.

use std::time::Duration;

use lichenpulley_core::configuration::register::Change;
use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::packet::{ChangeAnswer, Packet, node_process};

/// An operator waits so long for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(18);
/// A question about the revision is asked again after this.
const REVISION_TIMEOUT: Duration = Duration::from_secs(1);
/// A change without an answer is repeated so often, under the same id.
const REPEATS: u32 = 4;
/// Settings that operators change.
const SETTINGS: [(&str, &str); 5] = [
    ("/", "staleness_bound"),
    ("/", "live_reserved_percent"),
    ("/ramsaran", "staleness_bound"),
    ("/ramsaran/bench-assistant", "retry_budget_percent"),
    ("/pasar-tani/pricing-helper", "live_reserved_percent"),
];

/// How a change ended for its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEnd {
    /// It was answered as accepted.
    Accepted(Revision),
    /// It was answered that it lost a race, against this revision.
    Conflict(Revision),
    /// Every try was answered with "nothing was written".
    NotWritten,
    /// The operator does not know.
    Unknown,
}

/// One change as its operator saw it.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    /// The change.
    pub change: Change,
    /// When it was first asked for.
    pub called: Timestamp,
    /// When it ended.
    pub ended: Timestamp,
    /// How.
    pub end: ChangeEnd,
}

#[derive(Clone, Debug)]
enum State {
    Idle { until: Timestamp },
    AskingRevision { until: Timestamp },
    Changing { change: Change, called: Timestamp, until: Timestamp, tries: u32, only_unavailable: bool },
}

/// One operator. Never killed.
#[derive(Clone, Debug)]
pub struct Operator {
    number: u64,
    nodes: usize,
    mean_pause: Duration,
    random: Pcg64Mcg,
    state: State,
    question: u64,
    changes: u64,
    records: Vec<ChangeRecord>,
    active: bool,
}

impl Operator {
    /// An operator that pauses between two changes for this long on average.
    pub fn new(number: u64, nodes: usize, mean_pause: Duration, seed: u64) -> Self {
        Self {
            number,
            nodes,
            mean_pause,
            random: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(number)),
            state: State::Idle { until: Timestamp::ORIGIN },
            question: 0,
            changes: 0,
            records: Vec::new(),
            active: true,
        }
    }

    /// The operator after a restart: it remembers everything.
    pub fn restarted(&self) -> Self {
        self.clone()
    }

    /// Every change that has ended.
    pub fn records(&self) -> &[ChangeRecord] {
        &self.records
    }

    /// The change under way, with the time when it was asked for.
    pub fn under_way(&self) -> Option<(&Change, Timestamp)> {
        match &self.state {
            State::Changing { change, called, .. } => Some((change, *called)),
            State::Idle { .. } | State::AskingRevision { .. } => None,
        }
    }

    /// Begins no further change.
    pub fn stop(&mut self) {
        self.active = false;
    }

    fn rest(&mut self, now: Timestamp) {
        let pause = self.random.random_range(Duration::ZERO..=self.mean_pause * 2);
        self.state = State::Idle { until: now + pause };
    }

    fn send(&mut self, outbox: &mut Outbox<Packet>, packet: impl FnOnce(u64) -> Packet) {
        self.question += 1;
        let target = self.random.random_range(0..self.nodes);
        outbox.send(node_process(target), packet(self.question));
    }

    fn ask_revision(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        self.state = State::AskingRevision { until: now + REVISION_TIMEOUT };
        self.send(outbox, |question| Packet::AskRevision { question });
    }

    fn begin_change(&mut self, base_revision: Revision, now: Timestamp, outbox: &mut Outbox<Packet>) {
        self.changes += 1;
        let (path, key) = SETTINGS.choose(&mut self.random).copied().unwrap_or(SETTINGS[0]);
        let value = self.random.random_range(0..=100);
        let change = Change {
            change_id: format!("operator-{}-{}", self.number, self.changes),
            base_revision,
            path: path.to_owned(),
            key: key.to_owned(),
            value: Some(json!(value)),
        };
        self.try_change(change, now, now, 1, true, outbox);
    }

    fn try_change(
        &mut self,
        change: Change,
        called: Timestamp,
        now: Timestamp,
        tries: u32,
        only_unavailable: bool,
        outbox: &mut Outbox<Packet>,
    ) {
        let asked = change.clone();
        self.send(outbox, |question| Packet::AskChange { question, change: asked });
        let until = now + ANSWER_TIMEOUT;
        self.state = State::Changing { change, called, until, tries, only_unavailable };
    }

    fn take_answer(&mut self, answer: ChangeAnswer, now: Timestamp, outbox: &mut Outbox<Packet>) {
        match answer {
            ChangeAnswer::Accepted(revision) => self.finish(ChangeEnd::Accepted(revision), now),
            ChangeAnswer::Conflict(revision) => self.finish(ChangeEnd::Conflict(revision), now),
            ChangeAnswer::Refused => self.finish(ChangeEnd::Unknown, now),
            ChangeAnswer::Unavailable => self.repeat(true, now, outbox),
            ChangeAnswer::InDoubt => self.repeat(false, now, outbox),
        }
    }

    /// Asks again, another node perhaps, under the same id.
    fn repeat(&mut self, unavailable: bool, now: Timestamp, outbox: &mut Outbox<Packet>) {
        let State::Changing { change, called, tries, only_unavailable, .. } = &self.state else { return };
        let only_unavailable = *only_unavailable && unavailable;
        if *tries > REPEATS {
            let end = if only_unavailable { ChangeEnd::NotWritten } else { ChangeEnd::Unknown };
            return self.finish(end, now);
        }
        let (change, called, tries) = (change.clone(), *called, *tries + 1);
        self.try_change(change, called, now, tries, only_unavailable, outbox);
    }

    fn finish(&mut self, end: ChangeEnd, now: Timestamp) {
        if let State::Changing { change, called, .. } = &self.state {
            let record = ChangeRecord { change: change.clone(), called: *called, ended: now, end };
            self.records.push(record);
        }
        self.rest(now);
    }
}

impl Process for Operator {
    type Message = Packet;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Packet>) {
        self.rest(now);
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, packet: Packet, outbox: &mut Outbox<Packet>) {
        match packet {
            Packet::Revision { question, revision: Some(revision) } if question == self.question => {
                if matches!(self.state, State::AskingRevision { .. }) {
                    self.begin_change(revision, now, outbox);
                }
            }
            Packet::Changed { question, answer } if question == self.question => {
                self.take_answer(answer, now, outbox);
            }
            _ => {}
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        match &self.state {
            State::Idle { until } | State::AskingRevision { until } if *until <= now && self.active => {
                self.ask_revision(now, outbox);
            }
            State::Changing { until, .. } if *until <= now => self.repeat(false, now, outbox),
            _ => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        match &self.state {
            State::Idle { until } | State::AskingRevision { until } => self.active.then_some(*until),
            State::Changing { until, .. } => Some(*until),
        }
    }
}
