//! Estimates how long items occupy a slot.
//!
//! An item's estimate is its expected tokens times the recent slot-seconds per expected token of its services. All
//! runs of a completed item count, including moved and broken ones, because they occupied slots as well. Estimates
//! are hints held by the owner: a new owner starts without any.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Time in which the weight of an observation decreases by half: a few steps of a trainer, hundreds of items. New
/// weights and loads change the time per token within minutes.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum remaining work of an item that has already run, as a share of its estimate. Lengths have a long tail, so
/// an item that exceeds its estimate is not nearly done.
const MIN_REMAINING_SHARE: f64 = 0.25;
/// Minimum remaining work of an item that has already run, as a share of the time that it has run: the longer an item
/// of a long-tailed distribution has run, the longer it is expected to run on.
const MIN_CONTINUED_SHARE: f64 = 0.5;
/// Mean work of an item in slot-seconds that is assumed until an item was completed. Jobs that come before then would
/// otherwise begin all of their groups.
pub const DEFAULT_ITEM_S: f64 = 1.0;
/// Time from a complete text to its listing that is assumed until it is measured.
const DEFAULT_SCORING_DELAY: Duration = Duration::from_millis(300);
/// Weight of the newest observation in the mean scoring delay.
const SCORING_DELAY_WEIGHT: f64 = 0.05;

/// A sum whose parts lose half of their weight every ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Timestamp,
}

impl DecayingSum {
    /// Adds a part.
    pub fn add(&mut self, part: f64, now: Timestamp) {
        self.sum = self.value(now) + part;
        self.at = now;
    }

    /// Returns the sum at a time.
    pub fn value(&self, now: Timestamp) -> f64 {
        let half_lives = now.saturating_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.sum * 0.5_f64.powf(half_lives)
    }
}

/// Work and expected tokens of recently completed items.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    slot_seconds: DecayingSum,
    tokens: DecayingSum,
}

/// The recent slot-seconds per expected token of each service, and the recent scoring delay.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimates {
    services: BTreeMap<String, Observed>,
    scoring_delay_s: Option<f64>,
}

impl WorkEstimates {
    /// Adds a completed item: its expected tokens, and how long all of its runs took together.
    pub fn observe(&mut self, service: &str, tokens: u64, ran: Duration, now: Timestamp) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Observed::default());
        }
        if let Some(observed) = self.services.get_mut(service) {
            observed.slot_seconds.add(ran.as_secs_f64(), now);
            observed.tokens.add(tokens.max(1) as f64, now);
        }
    }

    /// Returns the slot-seconds per expected token in these services together, or `None` until an item was
    /// completed in one of them. Both sums are taken at the time of their last observation, so that the ratio stays
    /// defined when no item completes for a long time.
    pub fn seconds_per_token<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> Option<f64> {
        let observed = services.into_iter().filter_map(|service| self.services.get(service));
        let (seconds, tokens) = observed.fold((0.0, 0.0), |(seconds, tokens), observed| {
            (seconds + observed.slot_seconds.sum, tokens + observed.tokens.sum)
        });
        (tokens > 0.0).then(|| seconds / tokens)
    }

    /// Adds the time from a complete text to its listing.
    pub fn observe_scoring(&mut self, delay: Duration) {
        let delay_s = delay.as_secs_f64();
        let mean = self.scoring_delay_s.get_or_insert(delay_s);
        *mean += SCORING_DELAY_WEIGHT * (delay_s - *mean);
    }

    /// Returns the time from a complete text with a scorer to its listing, in seconds.
    pub fn scoring_delay_s(&self) -> f64 {
        self.scoring_delay_s.unwrap_or(DEFAULT_SCORING_DELAY.as_secs_f64())
    }
}

/// Returns the work left of an item with this estimate that has run for a time.
pub fn remaining_s(estimate_s: f64, ran: Duration) -> f64 {
    let ran_s = ran.as_secs_f64();
    (estimate_s - ran_s).max(estimate_s * MIN_REMAINING_SHARE).max(ran_s * MIN_CONTINUED_SHARE)
}
