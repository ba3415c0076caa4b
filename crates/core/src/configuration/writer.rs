//! Brings one change into the register of the object API, through lost replies and races.
//!
//! Owns the state of one change; the driver does the reads and writes that it asks for.

use std::time::Duration;

use super::register::{Change, ChangeRefused, Register};
use crate::identity::Revision;
use crate::time::Timestamp;

/// How long a writer keeps trying, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Gives up this long after it began, where nothing has been written.
    pub reach_deadline: Duration,
    /// Gives up this long after it began, where a write of its own is in doubt.
    pub settle_deadline: Duration,
    /// Pause after a call that gave no answer.
    pub retry_pause: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reach_deadline: Duration::from_secs(3),
            settle_deadline: Duration::from_secs(8),
            retry_pause: Duration::from_millis(200),
        }
    }
}

/// The register as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRegister {
    /// The object's version; `None` where there is no object yet.
    pub version: Option<Revision>,
    /// Its content; empty where there is no object yet.
    pub register: Register,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// It took effect.
    Written,
    /// The base version was not current; it did not take effect.
    Conflict,
    /// Proved: it did not take effect.
    NotWritten,
    /// It may have taken effect.
    NoReply,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the register, then call [`ChangeWriter::read_finished`].
    Read,
    /// Write the register on this base version, then call [`ChangeWriter::write_finished`].
    Write {
        /// The object's version that the write is based on.
        base_version: Option<Revision>,
        /// The new content.
        register: Register,
    },
    /// Wait until this time, then poll again.
    Wait(Timestamp),
    /// The change is settled.
    Finish(ChangeOutcome),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Proved by a reply to a read or write: the register holds the change.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
        /// The register as it was seen, at this revision or a later one.
        register: Register,
    },
    /// Proved: the change did not and will not take effect.
    Refused(ChangeRefused),
    /// Proved: nothing was written, since the object API can't be reached.
    Unavailable,
    /// A write got no reply, and the object API has not told since whether it took effect. The remedy is to
    /// repeat the same change under the same id.
    InDoubt,
}

/// One change on its way.
///
/// Invariant (brief point 9): `Accepted` follows only from a reply that proves it: a write that was
/// confirmed, or a read that shows the change's id. `Unavailable` and `Refused` follow only while no write of
/// ours can be under way: a write that got no reply is ruled out by a read that shows a later version without
/// the change's id, since its base version can never be current again.
#[derive(Clone, Debug)]
pub struct ChangeWriter {
    change: Change,
    config: Config,
    started: Timestamp,
    state: State,
    /// The base version of a write of ours that may still take effect.
    unsettled: Option<Option<Revision>>,
}

#[derive(Clone, Debug)]
enum State {
    ToRead,
    Reading,
    ToWrite { base_version: Option<Revision>, register: Register },
    Writing { base_version: Option<Revision>, register: Register },
    Pausing(Timestamp),
    Finished(ChangeOutcome),
}

impl ChangeWriter {
    /// Begins with a change. A change that is wrong in itself is refused without a call.
    pub fn new(change: Change, config: Config, now: Timestamp) -> Self {
        let state = match change.check() {
            Ok(()) => State::ToRead,
            Err(refused) => State::Finished(ChangeOutcome::Refused(refused)),
        };
        Self { change, config, started: now, state, unsettled: None }
    }

    /// What to do next; `None` while a call is under way.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if let State::Pausing(until) = self.state {
            if now < until {
                return Some(Action::Wait(until));
            }
            self.state = State::ToRead;
        }
        match self.state.clone() {
            State::ToRead => {
                self.state = State::Reading;
                Some(Action::Read)
            }
            State::ToWrite { base_version, register } => {
                self.state = State::Writing { base_version, register: register.clone() };
                Some(Action::Write { base_version, register })
            }
            State::Finished(outcome) => Some(Action::Finish(outcome)),
            State::Reading | State::Writing { .. } | State::Pausing(_) => None,
        }
    }

    /// The read ended: with the register, or without an answer.
    pub fn read_finished(&mut self, stored: Option<StoredRegister>, now: Timestamp) {
        let Some(stored) = stored else { return self.pause(now) };
        self.state = match stored.register.find(&self.change) {
            Ok(Some(revision)) => {
                State::Finished(ChangeOutcome::Accepted { revision, register: stored.register })
            }
            Ok(None) => self.after_absent(stored),
            Err(refused) => State::Finished(ChangeOutcome::Refused(refused)),
        };
    }

    /// The write ended.
    pub fn write_finished(&mut self, reply: WriteReply, now: Timestamp) {
        let State::Writing { base_version, register } = &self.state else { return };
        match reply {
            WriteReply::Written => {
                let revision = register.document().revision();
                let register = register.clone();
                self.state = State::Finished(ChangeOutcome::Accepted { revision, register });
            }
            // An earlier write of ours may be what this one lost to: only a read can tell.
            WriteReply::Conflict => self.state = State::ToRead,
            WriteReply::NotWritten => self.pause(now),
            WriteReply::NoReply => {
                self.unsettled = Some(*base_version);
                self.pause(now);
            }
        }
    }

    /// The change's id is not in the register.
    fn after_absent(&mut self, stored: StoredRegister) -> State {
        if self.unsettled.is_some_and(|base_version| base_version != stored.version) {
            self.unsettled = None;
        }
        match stored.register.apply(&self.change) {
            Ok(register) => State::ToWrite { base_version: stored.version, register },
            Err(refused) => State::Finished(ChangeOutcome::Refused(refused)),
        }
    }

    fn pause(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.started);
        self.state = match self.unsettled {
            None if elapsed >= self.config.reach_deadline => State::Finished(ChangeOutcome::Unavailable),
            Some(_) if elapsed >= self.config.settle_deadline => State::Finished(ChangeOutcome::InDoubt),
            _ => State::Pausing(now + self.config.retry_pause),
        };
    }
}
