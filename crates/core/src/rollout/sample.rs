//! A sample and the status of its job, as returned to callers.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::JobId;
use crate::request::answer::VersionSpan;

use super::slot::Slot;

/// One sample. Its slot is decided once, regardless of the number of attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct Sample {
    /// Step, prompt and index of the sample.
    pub slot: Slot,
    /// Text of the prompt.
    pub prompt: String,
    /// Generated tokens.
    pub tokens: Vec<u32>,
    /// The weight version of each run of tokens.
    pub spans: Vec<VersionSpan>,
    /// The scorer's reward.
    pub reward: f64,
}

/// Status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The first step that is not closed.
    pub step: u32,
    /// Total number of steps.
    pub steps: u32,
    /// Samples decided in this step and not yet handed over.
    pub ready: u32,
    /// Total number of samples handed over and not voided.
    pub delivered: u64,
    /// Number of times a slot was reopened because its sample had become too old.
    pub reopened: u64,
    /// Running attempts.
    pub in_flight: u32,
    /// Whether the trainer has saved every step.
    pub finished: bool,
}
