//! Expected response time of a replica that reports its pace.
//!
//! Replicas of a service differ in speed for good, and each of them is slower for some hundred milliseconds at a
//! time. One node sees too few answers to tell the two apart by their times alone. The reported pace tells them
//! apart: a response time divided by the pace and the load at the time is the *base latency*, which is stable, so
//! that a few samples suffice. The expected response time is the base latency times the present pace and load.

use std::time::Duration;

use super::replica_load::ReplicaLoad;
use crate::time::Timestamp;

/// Time after which a reported pace counts as 100 %. It is shorter than the slowdowns that the pace reports, which last
/// some 600 ms, so that a pace is never used for longer than what it describes. Until then the difference from
/// 100 % decreases linearly, as does the probability that the slowdown still lasts.
pub const PACE_VALIDITY: Duration = Duration::from_millis(500);
/// Weight of the latest sample in the mean base latency once there are more than five. Samples vary by some tens of
/// percent, since the pace may change while a request runs.
const BASE_SAMPLE_WEIGHT: f64 = 0.2;

/// Number of samples from which the mean base latency gets no more accurate, since the latest ones outweigh the others.
const MAX_EFFECTIVE_SAMPLES: u32 = 9;
/// Weight of a base latency that the owner of the batch jobs shared, in samples. The owner's figure is the mean of
/// many samples, but of other requests; after five own samples, these outweigh it.
const SHARED_BASE_SAMPLES: f64 = 4.0;
/// Number of samples from which a base latency is shared.
const MIN_SHARED_SAMPLES: u32 = 5;

/// The pace that a replica reported last.
#[derive(Clone, Copy, Debug)]
struct ReportedPace {
    at: Timestamp,
    percent: u32,
    slots: u32,
}

impl ReportedPace {
    /// Returns the present pace relative to the usual one.
    fn factor(self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.at).as_secs_f64() / PACE_VALIDITY.as_secs_f64();
        let difference = f64::from(self.percent) / 100.0 - 1.0;
        1.0 + difference * (1.0 - age).max(0.0)
    }

    fn is_fresh(self, now: Timestamp) -> bool {
        now.saturating_since(self.at) < PACE_VALIDITY
    }
}

/// Mean of the base latencies that this node measured at a replica.
#[derive(Clone, Copy, Debug)]
struct MeasuredBase {
    mean_ms: f64,
    samples: u32,
}

/// What one node knows of the speed of a replica.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseModel {
    pace: Option<ReportedPace>,
    measured: Option<MeasuredBase>,
}

impl ResponseModel {
    /// Whether the replica has reported a pace. One answer without a pace does not change that, since an intermediary
    /// may have given it.
    pub(super) const fn reports_pace(&self) -> bool {
        self.pace.is_some()
    }

    pub(super) const fn record_load(&mut self, load: ReplicaLoad, now: Timestamp) {
        if let Some(percent) = load.pace_percent {
            self.pace = Some(ReportedPace { at: now, percent, slots: load.slots });
        }
    }

    /// Records a response time. `busy` is the load at the time. The base latency can only be determined if the pace
    /// at the time is known.
    pub(super) fn record_response(&mut self, took: Duration, busy: u32, now: Timestamp) {
        let Some(pace) = self.pace.filter(|pace| pace.is_fresh(now)) else { return };
        let sample = took.as_secs_f64() * 1_000.0 / (pace.factor(now) * load_factor(busy, pace.slots));
        let measured = self.measured.get_or_insert(MeasuredBase { mean_ms: sample, samples: 0 });
        measured.samples = measured.samples.saturating_add(1);
        let weight = BASE_SAMPLE_WEIGHT.max(1.0 / f64::from(measured.samples));
        measured.mean_ms += weight * (sample - measured.mean_ms);
    }

    /// Returns the base latency measured by this node in milliseconds and its weight in samples.
    pub(super) fn measured_ms(&self) -> Option<(f64, f64)> {
        let measured = self.measured?;
        Some((measured.mean_ms, f64::from(measured.samples.min(MAX_EFFECTIVE_SAMPLES))))
    }

    /// Returns the base latency in milliseconds, given the one that the owner of the batch jobs shared, if any.
    pub(super) fn base_ms(&self, shared_ms: Option<f64>) -> Option<f64> {
        let Some((own_ms, weight)) = self.measured_ms() else { return shared_ms };
        let Some(shared_ms) = shared_ms else { return Some(own_ms) };
        Some((own_ms * weight + shared_ms * SHARED_BASE_SAMPLES) / (weight + SHARED_BASE_SAMPLES))
    }

    /// Returns the base latency in milliseconds if it is accurate enough for other nodes.
    pub(super) fn ms_to_share(&self) -> Option<f64> {
        self.measured.filter(|measured| measured.samples >= MIN_SHARED_SAMPLES).map(|base| base.mean_ms)
    }

    /// Returns the factor by which the present pace and load lengthen the base latency. `slots` are those of the
    /// replica's record, for a replica that did not report them.
    pub(super) fn present_factor(&self, busy: u32, slots: u32, now: Timestamp) -> f64 {
        match self.pace {
            Some(pace) => pace.factor(now) * load_factor(busy, pace.slots),
            None => load_factor(busy, slots),
        }
    }
}

/// Returns the factor by which requests in hand lengthen a response.
fn load_factor(busy: u32, slots: u32) -> f64 {
    1.0 + f64::from(busy) / f64::from(slots.max(1))
}
