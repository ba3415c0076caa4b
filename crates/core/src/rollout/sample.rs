//! A sample and the state of its job, as they are handed out.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::JobId;
use crate::request::answer::VersionSpan;

use super::slot::Slot;

/// One sample. Its slot is decided once, however many attempts ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct Sample {
    /// Which sample of which prompt in which step.
    pub slot: Slot,
    /// Its prompt.
    pub prompt: String,
    /// Its tokens.
    pub tokens: Vec<u32>,
    /// Which weights produced which tokens.
    pub spans: Vec<VersionSpan>,
    /// The scorer's reward.
    pub reward: f64,
}

/// How a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The step being filled.
    pub step: u32,
    /// Steps in all.
    pub steps: u32,
    /// Samples decided in this step and not yet handed over.
    pub ready: u32,
    /// Samples handed over in all.
    pub delivered: u64,
    /// Slots filled anew because their sample had grown too old.
    pub reopened: u64,
    /// Attempts running.
    pub in_flight: u32,
    /// Whether every step has been taken by the trainer.
    pub finished: bool,
}
