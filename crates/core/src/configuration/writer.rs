//! Applies one change to the register in the object API, tolerating lost replies and concurrent writers.
//!
//! [`ChangeWriter`] is a state machine; the driver performs the reads and writes that it requests.

use std::time::Duration;

use super::register::{Change, ChangeRefused, Register};
use crate::identity::Revision;
use crate::time::Timestamp;

/// Timeouts and retry interval of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after the start at which the writer gives up if no write is in doubt.
    pub unavailable_after: Duration,
    /// Time after the start at which the writer gives up if one of its writes is in doubt.
    pub in_doubt_after: Duration,
    /// Pause after a failed call.
    pub retry_pause: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            unavailable_after: Duration::from_secs(3),
            in_doubt_after: Duration::from_secs(8),
            retry_pause: Duration::from_millis(200),
        }
    }
}

/// The register as read from the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRegister {
    /// Version of the object; `None` if it does not exist.
    pub version: Option<Revision>,
    /// Content of the object; empty if it does not exist.
    pub register: Register,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The write took effect.
    Written,
    /// The base version was not current; the write did not take effect.
    Conflict,
    /// The write is known not to have taken effect.
    NotWritten,
    /// The write may have taken effect.
    NoReply,
}

/// The next action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the register, then call [`ChangeWriter::read_finished`].
    Read,
    /// Write the register on this base version, then call [`ChangeWriter::write_finished`].
    Write {
        /// Version of the object that the write is based on.
        base_version: Option<Revision>,
        /// The new content.
        register: Register,
    },
    /// Wait until this time, then poll again.
    Wait(Timestamp),
    /// The writer has finished.
    Finish(ChangeOutcome),
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The register is known to contain the change, from a reply to a read or write.
    Accepted {
        /// Revision that the change produced.
        revision: Revision,
        /// The register at this revision or a later one.
        register: Register,
    },
    /// The change is known not to have taken effect, now or later.
    Refused(ChangeRefused),
    /// The object API is unavailable and the change is known not to have been written.
    Unavailable,
    /// A write got no reply and its effect could not be determined. The remedy is to repeat the change with the
    /// same id.
    InDoubt,
}

/// State machine that writes one change.
///
/// Invariant: the outcome is `Accepted` only after a confirmed write, or a read that shows the
/// change's id. It is `Unavailable` or `Refused` only if no write of this writer can still take effect. A write
/// without a reply is ruled out by a read that shows a different version without the change's id, because its
/// base version can never be current again.
#[derive(Clone, Debug)]
pub struct ChangeWriter {
    change: Change,
    config: Config,
    started: Timestamp,
    state: State,
    /// Base version of a write of this writer that may still take effect.
    in_doubt_write: Option<Option<Revision>>,
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
    /// Creates a writer for a change. An invalid change is refused without a call to the object API.
    pub fn new(change: Change, config: Config, now: Timestamp) -> Self {
        let state = match change.check() {
            Ok(()) => State::ToRead,
            Err(refused) => State::Finished(ChangeOutcome::Refused(refused)),
        };
        Self { change, config, started: now, state, in_doubt_write: None }
    }

    /// Returns the next action, or `None` while a call is pending.
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

    /// Handles the result of a read; `None` if the read failed.
    pub fn read_finished(&mut self, stored: Option<StoredRegister>, now: Timestamp) {
        let Some(stored) = stored else { return self.pause(now) };
        self.state = match stored.register.find(&self.change) {
            Ok(Some(revision)) => {
                State::Finished(ChangeOutcome::Accepted { revision, register: stored.register })
            }
            Ok(None) => self.next_write_state(stored),
            Err(refused) => State::Finished(ChangeOutcome::Refused(refused)),
        };
    }

    /// Handles the result of a write.
    pub fn write_finished(&mut self, reply: WriteReply, now: Timestamp) {
        let State::Writing { base_version, register } = &self.state else { return };
        match reply {
            WriteReply::Written => {
                let revision = register.document().revision();
                let register = register.clone();
                self.state = State::Finished(ChangeOutcome::Accepted { revision, register });
            }
            // The conflict may be with an earlier write of this writer, which only a read can show.
            WriteReply::Conflict => self.state = State::ToRead,
            WriteReply::NotWritten => self.pause(now),
            WriteReply::NoReply => {
                self.in_doubt_write = Some(*base_version);
                self.pause(now);
            }
        }
    }

    /// Returns the next state after a read that does not show the change's id.
    fn next_write_state(&mut self, stored: StoredRegister) -> State {
        if self.in_doubt_write.is_some_and(|base_version| base_version != stored.version) {
            self.in_doubt_write = None;
        }
        match stored.register.apply(&self.change) {
            Ok(register) => State::ToWrite { base_version: stored.version, register },
            Err(refused) => State::Finished(ChangeOutcome::Refused(refused)),
        }
    }

    fn pause(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.started);
        self.state = match self.in_doubt_write {
            None if elapsed >= self.config.unavailable_after => State::Finished(ChangeOutcome::Unavailable),
            Some(_) if elapsed >= self.config.in_doubt_after => State::Finished(ChangeOutcome::InDoubt),
            _ => State::Pausing(now + self.config.retry_pause),
        };
    }
}
