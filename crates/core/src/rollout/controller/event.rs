//! What an owner takes in and what it asks its driver to do.

use std::time::Duration;

use crate::decision::Decision;
use crate::identity::{AttemptId, WeightVersion};
use crate::request::answer::VersionSpan;

use super::super::delivery::{PullRefusal, PullRequest, PullResponse};
use super::super::record::JobRecord;
use super::super::slot::Slot;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A running attempt reported tokens made by this version.
    AttemptProgress {
        /// The attempt.
        attempt: AttemptId,
        /// The version that the engine reported with them.
        weight_version: WeightVersion,
        /// Tokens so far.
        token_count: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A trainer pulls; the answer names the ticket.
    Pull {
        /// Chosen by the driver.
        ticket: u64,
        /// The pull.
        request: PullRequest,
    },
    /// The records of the last [`Action::Append`] are kept by a majority.
    Appended,
    /// The time of [`JobController::next_wakeup`](super::JobController::next_wakeup) has come.
    WakeUp,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A whole answer, scored.
    Completed {
        /// Its tokens.
        tokens: Vec<u32>,
        /// Which weights produced which tokens.
        spans: Vec<VersionSpan>,
        /// The scorer's reward.
        reward: f64,
    },
    /// Nothing ran: the pool has no place now, or no replica whose weights are new enough.
    Refused {
        /// Why; a metrics label.
        reason: String,
        /// When to come back, where it is known.
        retry_after: Option<Duration>,
    },
    /// No usable answer.
    Failed {
        /// Why; a metrics label.
        reason: String,
        /// When to come back, where it is known.
        retry_after: Option<Duration>,
    },
}

/// What an attempt needs to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// Names the attempt, also across owners.
    pub attempt: AttemptId,
    /// The slot to fill.
    pub slot: Slot,
    /// The seed of sampling; the same for each attempt at this generation of the slot.
    pub seed: u64,
    /// Replicas with older weights are to be passed over: their sample would be too old at hand-over.
    pub minimum_version: WeightVersion,
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt and report how it ended.
    Start(AttemptStart),
    /// Stop an attempt; its end need not be reported.
    Cancel(AttemptId),
    /// Append these records to the log and report [`Event::Appended`]. Only one append is outstanding.
    Append(Vec<JobRecord>),
    /// Replace all records appended so far by this snapshot.
    Compact(Vec<u8>),
    /// Answer a pull.
    Answer {
        /// The pull's ticket.
        ticket: u64,
        /// The answer.
        answer: Result<PullResponse, PullRefusal>,
    },
    /// Record a decision.
    Decide(Decision),
}
