//! What a trainer has seen: samples lost, doubled and stale, and the time it had nothing to train.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichenpulley_protocol::caller::Slot;
use serde::{Deserialize, Serialize};

use super::state::{TakenSample, TrainerState};

/// A trainer's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Whether the job has given everything and all of it was trained.
    pub finished: bool,
    /// Steps trained.
    pub steps: u64,
    /// Samples trained.
    pub samples: u64,
    /// Slots that were trained more than once.
    pub doubled: u64,
    /// Expected slots that were never trained; counts only once `finished`.
    pub lost: u64,
    /// Samples older than the staleness bound.
    pub stale: u64,
    /// Samples whose spans did not cover their tokens.
    pub without_versions: u64,
    /// Samples by staleness: the trainer's version less the oldest in the sample.
    pub staleness: BTreeMap<u64, u64>,
    /// Samples by the oldest version in them.
    pub versions: BTreeMap<u64, u64>,
    /// Milliseconds in which samples were missing.
    pub idle_ms: u64,
    /// Milliseconds of training.
    pub training_ms: u64,
    /// How often it crashed.
    pub crashes: u64,
}

impl TrainerReport {
    /// The part of the time in which the trainer waited, from 0 to 1.
    pub fn idle_share(&self) -> f64 {
        let whole = self.idle_ms + self.training_ms;
        self.idle_ms as f64 / whole.max(1) as f64
    }
}

/// What a trainer counts while it runs; it outlives the trainer's crashes, since the checker keeps it.
#[derive(Clone, Debug, Default)]
pub(super) struct Clock {
    pub idle: Duration,
    pub training: Duration,
    pub crashes: u64,
    pub finished: bool,
}

/// Works the report out from the state that was saved.
pub(super) fn report(
    state: &TrainerState,
    clock: &Clock,
    staleness_bound: u64,
    expected_samples: u64,
) -> TrainerReport {
    let mut report = TrainerReport {
        finished: clock.finished,
        steps: state.trained.len() as u64,
        idle_ms: clock.idle.as_millis() as u64,
        training_ms: clock.training.as_millis() as u64,
        crashes: clock.crashes,
        ..TrainerReport::default()
    };
    let mut seen = BTreeSet::new();
    for step in &state.trained {
        for sample in &step.samples {
            report.count(sample, step.trainer_version.0, staleness_bound, &mut seen);
        }
    }
    if clock.finished {
        report.lost = expected_samples.saturating_sub(seen.len() as u64);
    }
    report
}

impl TrainerReport {
    fn count(&mut self, sample: &TakenSample, trainer_version: u64, bound: u64, seen: &mut BTreeSet<Slot>) {
        self.samples += 1;
        if !seen.insert(sample.slot) {
            self.doubled += 1;
        }
        let Some(oldest) = sample.oldest_version else {
            self.without_versions += 1;
            return;
        };
        let staleness = trainer_version.saturating_sub(oldest.0);
        *self.staleness.entry(staleness).or_default() += 1;
        *self.versions.entry(oldest.0).or_default() += 1;
        if staleness > bound {
            self.stale += 1;
        }
    }
}
