//! Figures of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::{CallOutcome, CallRecord};

/// Times are recorded up to this, in microseconds.
const MAX_MICROSECONDS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Records calls.
#[derive(Debug)]
pub struct Recorder {
    outcomes: BTreeMap<CallOutcome, u64>,
    /// Microseconds to each whole answer.
    whole: Histogram<u64>,
}

impl Default for Recorder {
    /// # Panics
    /// Never: the bounds are constants that the library accepts.
    fn default() -> Self {
        let whole = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
        Self { outcomes: BTreeMap::new(), whole: whole.expect("constant, valid bounds") }
    }
}

impl Recorder {
    /// Records one call; a time beyond the longest counts as the longest.
    pub fn record(&mut self, record: CallRecord) {
        *self.outcomes.entry(record.outcome).or_default() += 1;
        if record.outcome == CallOutcome::Completed {
            self.whole.saturating_record(record.whole.as_micros() as u64);
        }
    }

    /// The figures so far.
    pub fn report(&self) -> LoadReport {
        LoadReport { outcomes: self.outcomes.clone(), whole: Quantiles::of(&self.whole) }
    }
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests by what became of them.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// Time to the whole answer.
    pub whole: Quantiles,
}

impl LoadReport {
    /// How many requests ended so.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }
}

/// Quantiles in microseconds, of completed requests only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
}

impl Quantiles {
    /// The quantiles of a histogram; zeros where it is empty.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Self { p50_us: histogram.value_at_quantile(0.5), p99_us: histogram.value_at_quantile(0.99) }
    }
}
