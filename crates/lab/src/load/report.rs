//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::call::{Called, Outcome};

/// Times are recorded up to this, in microseconds.
const LONGEST_MICROSECONDS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Records calls.
#[derive(Debug)]
pub struct Recorder {
    outcomes: BTreeMap<Outcome, u64>,
    whole: Histogram<u64>,
    first_token: Histogram<u64>,
    tokens: u64,
    attempts: u64,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            whole: histogram(),
            first_token: histogram(),
            tokens: 0,
            attempts: 0,
        }
    }
}

/// A histogram of microseconds.
///
/// # Panics
/// Never: the bounds are constants that the library accepts.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS).expect("constant, valid bounds")
}

/// Records a duration; one beyond the longest counts as the longest.
pub fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_micros() as u64);
}

impl Recorder {
    /// Records one call.
    pub fn record(&mut self, called: Called) {
        *self.outcomes.entry(called.outcome).or_default() += 1;
        self.tokens += u64::from(called.tokens);
        self.attempts += u64::from(called.attempts);
        if called.outcome != Outcome::Completed {
            return;
        }
        record(&mut self.whole, called.whole);
        if let Some(first_token) = called.first_token {
            record(&mut self.first_token, first_token);
        }
    }

    /// The figures of a run that took `elapsed`.
    pub fn report(&self, elapsed: Duration) -> LoadReport {
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let completed = self.outcomes.get(&Outcome::Completed).copied().unwrap_or_default();
        LoadReport {
            outcomes: self.outcomes.clone(),
            seconds,
            completed_per_second: completed as f64 / seconds,
            tokens_per_second: self.tokens as f64 / seconds,
            attempts: self.attempts,
            whole: Quantiles::of(&self.whole),
            first_token: Quantiles::of(&self.first_token),
        }
    }
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests by what became of them.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// How long the run took.
    pub seconds: f64,
    /// Whole, right answers a second.
    pub completed_per_second: f64,
    /// Tokens received a second.
    pub tokens_per_second: f64,
    /// Attempts that the gateways reported.
    pub attempts: u64,
    /// Time to the whole answer.
    pub whole: Quantiles,
    /// Time to the first token; empty where answers came whole.
    pub first_token: Quantiles,
}

impl LoadReport {
    /// How many requests ended so.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }
}

/// Quantiles in microseconds, of completed requests only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

impl Quantiles {
    /// The quantiles of a histogram; zeros where it is empty.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}
