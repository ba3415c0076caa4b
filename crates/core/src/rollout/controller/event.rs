//! Events that a job's owner handles and actions that it returns to its driver.

use std::time::Duration;

use crate::decision::Decision;
use crate::identity::{AttemptId, WeightVersion};
use crate::request::answer::VersionSpan;

use super::super::delivery::{PullRefusal, PullRequest, PullResponse};
use super::super::record::JobRecord;
use super::super::slot::Slot;

/// Input of a job's owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A running attempt reported tokens.
    AttemptProgress {
        /// The attempt.
        attempt: AttemptId,
        /// The weight version that the engine reported with them.
        weight_version: WeightVersion,
        /// Number of tokens so far.
        token_count: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: AttemptOutcome,
    },
    /// A trainer pulled samples.
    Pull {
        /// Correlates the answer; assigned by the driver.
        ticket: u64,
        /// The trainer's request.
        request: PullRequest,
    },
    /// The records of the last [`Action::Append`] are committed.
    Appended,
    /// The time of [`JobController::next_wakeup`](super::JobController::next_wakeup) was reached.
    WakeUp,
}

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A complete and scored answer.
    Completed {
        /// Generated tokens.
        tokens: Vec<u32>,
        /// The weight version of each run of tokens.
        spans: Vec<VersionSpan>,
        /// The scorer's reward.
        reward: f64,
    },
    /// Nothing ran: the pool has no capacity now, or no replica with recent enough weights.
    Refused {
        /// The reason, used as a metrics label.
        reason: String,
        /// When to retry, if known.
        retry_after: Option<Duration>,
    },
    /// The attempt returned no usable answer.
    Failed {
        /// The reason, used as a metrics label.
        reason: String,
        /// When to retry, if known.
        retry_after: Option<Duration>,
    },
}

/// Inputs of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// The attempt's id, unique across owners.
    pub attempt: AttemptId,
    /// The slot to fill.
    pub slot: Slot,
    /// Sampling seed, the same for each attempt at this generation of the slot.
    pub seed: u64,
    /// Replicas with older weights are skipped, since their sample would be too old at hand-over.
    pub minimum_version: WeightVersion,
}

/// Output of a job's owner. The driver performs the actions in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt and report its outcome.
    Start(AttemptStart),
    /// Stop an attempt. Its outcome need not be reported.
    Cancel(AttemptId),
    /// Append these records to the log and report [`Event::Appended`]. Only one append is in progress at a
    /// time.
    Append(Vec<JobRecord>),
    /// Replace all records appended so far by this snapshot.
    Compact(Vec<u8>),
    /// Send the answer to a pull.
    Answer {
        /// The pull's ticket.
        ticket: u64,
        /// The answer.
        answer: Result<PullResponse, PullRefusal>,
    },
    /// Record a decision.
    Decide(Decision),
}
