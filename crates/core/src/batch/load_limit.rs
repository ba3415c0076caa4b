//! How many replicas of one service load a version at a time.
//!
//! A load takes longer in proportion once more than so many are under way; how many that is differs between platforms
//! and is not told. The limit is found from how long loads take beside others: a gradient limit, as for concurrent
//! requests (Netflix concurrency-limits, 2018; here with the queue's length known).

use std::time::Duration;

/// The part of a service's replicas that load at a time before anything was measured.
const FIRST_SHARE: f64 = 0.2;
/// Fewer are never worth waiting for one another.
const LEAST_FIRST: usize = 2;
/// A load that took no longer than this share of the shortest was not slowed by the others.
const QUICK_RATIO: f64 = 1.1;
/// A load that took longer than this share of the shortest was slowed by the others, or its order was lost.
const SLOW_RATIO: f64 = 1.35;
/// So many slow loads in a row show that the others slow them.
const SLOW_IN_A_ROW: usize = 2;

/// The number of loads of one service that may be under way at a time.
#[derive(Clone, Debug, Default)]
pub struct LoadLimit {
    limit: Option<usize>,
    shortest: Option<Duration>,
    quick: usize,
    slow: usize,
}

impl LoadLimit {
    /// The limit for a service of so many replicas.
    pub fn get(&self, replicas: usize) -> usize {
        let first = ((replicas as f64 * FIRST_SHARE).round() as usize).max(LEAST_FIRST);
        self.limit.unwrap_or(first)
    }

    /// A load took so long that began as one of `beside` under way, in a service of so many replicas.
    pub fn observe(&mut self, took: Duration, beside: usize, replicas: usize) {
        let shortest = self.shortest.map_or(took, |shortest| shortest.min(took));
        self.shortest = Some(shortest);
        let limit = self.get(replicas);
        let ratio = took.as_secs_f64() / shortest.as_secs_f64().max(f64::MIN_POSITIVE);
        if ratio > SLOW_RATIO {
            self.slow += 1;
            self.quick = 0;
            if self.slow >= SLOW_IN_A_ROW {
                self.slow = 0;
                let unslowed = (beside as f64 / ratio).round() as usize;
                self.limit = Some(unslowed.clamp(1, limit));
            }
            return;
        }
        self.slow = 0;
        if ratio <= QUICK_RATIO && beside >= limit {
            self.quick += 1;
            if self.quick >= limit {
                self.quick = 0;
                self.limit = Some((limit + 1).min(replicas.max(1)));
            }
        }
    }
}
