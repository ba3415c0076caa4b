//! Operators' changes under way on one node, each driven by the core's writer.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::configuration::register::{Change, ChangeRefused, Register};
use lichenpulley_core::configuration::writer::{
    Action, ChangeOutcome, ChangeWriter, Config, StoredRegister, WriteReply,
};
use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, ProcessId};

use super::packet::{ChangeAnswer, Packet, PlatformAnswer, PlatformRequest};

/// How long an accepted change may take until it is in force on the node that wrote it.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(8);

/// One change under way.
#[derive(Debug)]
struct Running {
    operator: ProcessId,
    question: u64,
    writer: ChangeWriter,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The writer is to be polled at this time.
    Poll(Timestamp),
    /// A read or write is under way.
    Called { writes: bool },
    /// Written; waits to be in force here.
    Spreading { revision: Revision, until: Timestamp },
}

/// The changes of one node.
#[derive(Debug, Default)]
pub(super) struct Changes {
    running: BTreeMap<u64, Running>,
    next_number: u64,
    /// The newest question of each operator.
    newest_questions: BTreeMap<ProcessId, u64>,
    forgets_change_ids: bool,
}

/// What the node does for its changes.
#[derive(Debug, Default)]
pub(super) struct Step {
    /// Calls of the platform, by the change's number.
    pub(super) calls: Vec<(u64, PlatformRequest)>,
    /// Documents that were proved to be in the platform.
    pub(super) written: Vec<Document>,
}

impl Changes {
    pub(super) fn new(forgets_change_ids: bool) -> Self {
        Self { forgets_change_ids, ..Self::default() }
    }

    /// Takes a change from an operator. A doubled question is dropped, as TCP does between an operator and a node.
    pub(super) fn begin(&mut self, operator: ProcessId, question: u64, change: Change, now: Timestamp) {
        let newest = self.newest_questions.entry(operator).or_default();
        if question <= *newest {
            return;
        }
        *newest = question;
        let writer = ChangeWriter::new(change, Config::default(), now);
        self.next_number += 1;
        let running = Running { operator, question, writer, state: State::Poll(now) };
        self.running.insert(self.next_number, running);
    }

    /// The platform answered a change's call, or did not.
    pub(super) fn take_answer(&mut self, number: u64, answer: Option<PlatformAnswer>, now: Timestamp) {
        let forgets = self.forgets_change_ids;
        let Some(running) = self.running.get_mut(&number) else { return };
        let State::Called { writes } = running.state else { return };
        running.state = State::Poll(now);
        match answer {
            Some(PlatformAnswer::Register { version, register }) => {
                let register = if forgets { without_change_ids(&register) } else { register };
                running.writer.read_finished(Some(StoredRegister { version, register }), now);
            }
            Some(PlatformAnswer::Written) => running.writer.write_finished(WriteReply::Written, now),
            Some(PlatformAnswer::Conflict) => running.writer.write_finished(WriteReply::Conflict, now),
            None if writes => running.writer.write_finished(WriteReply::NoReply, now),
            None => running.writer.read_finished(None, now),
        }
    }

    /// Goes on with every change that can.
    pub(super) fn step(
        &mut self,
        in_force: Option<Revision>,
        now: Timestamp,
        outbox: &mut Outbox<Packet>,
    ) -> Step {
        let mut step = Step::default();
        self.running.retain(|number, running| {
            let answer = running.step(*number, in_force, now, &mut step);
            if let Some(answer) = answer {
                outbox.send(running.operator, Packet::Changed { question: running.question, answer });
            }
            answer.is_none()
        });
        step
    }

    /// When [`Self::step`] has something to do.
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let times = self.running.values().filter_map(|running| match running.state {
            State::Poll(at) => Some(at),
            State::Spreading { until, .. } => Some(until),
            State::Called { .. } => None,
        });
        times.min()
    }
}

impl Running {
    /// Goes on; gives the answer to the operator once there is one.
    fn step(
        &mut self,
        number: u64,
        in_force: Option<Revision>,
        now: Timestamp,
        step: &mut Step,
    ) -> Option<ChangeAnswer> {
        match self.state {
            State::Poll(at) if at <= now => {}
            State::Spreading { revision, .. } if in_force.is_some_and(|in_force| in_force >= revision) => {
                return Some(ChangeAnswer::Accepted(revision));
            }
            State::Spreading { until, .. } if until <= now => return Some(ChangeAnswer::InDoubt),
            State::Poll(_) | State::Called { .. } | State::Spreading { .. } => return None,
        }
        match self.writer.poll(now)? {
            Action::Read => {
                self.state = State::Called { writes: false };
                step.calls.push((number, PlatformRequest::Read));
            }
            Action::Write { base_version, register } => {
                self.state = State::Called { writes: true };
                step.calls.push((number, PlatformRequest::Write { base_version, register }));
            }
            Action::Wait(until) => self.state = State::Poll(until),
            Action::Finish(outcome) => return self.finish(outcome, now, step),
        }
        None
    }

    fn finish(&mut self, outcome: ChangeOutcome, now: Timestamp, step: &mut Step) -> Option<ChangeAnswer> {
        match outcome {
            ChangeOutcome::Accepted { revision, register } => {
                step.written.push(register.document().clone());
                self.state = State::Spreading { revision, until: now + SPREAD_TIMEOUT };
                None
            }
            ChangeOutcome::Refused(ChangeRefused::Conflict { current, .. }) => {
                Some(ChangeAnswer::Conflict(current))
            }
            ChangeOutcome::Refused(_) => Some(ChangeAnswer::Refused),
            ChangeOutcome::Unavailable => Some(ChangeAnswer::Unavailable),
            ChangeOutcome::InDoubt => Some(ChangeAnswer::InDoubt),
        }
    }
}

/// The register as a writer would see it that keeps no change ids.
fn without_change_ids(register: &Register) -> Register {
    let Ok(mut value) = serde_json::to_value(register) else { return register.clone() };
    if let Some(fields) = value.as_object_mut() {
        fields.insert("applied".to_owned(), serde_json::json!([]));
    }
    serde_json::from_value(value).unwrap_or_else(|_| register.clone())
}
