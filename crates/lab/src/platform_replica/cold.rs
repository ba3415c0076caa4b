//! Simulates a cold replica, which fails for good when it receives too many requests a second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A period in which a replica survives only a limited request rate.
pub(super) struct ColdPeriod {
    pub(super) until: Instant,
    /// Maximum number of requests in one second; with more, the replica fails for good.
    max_requests_per_s: usize,
    arrivals: VecDeque<Instant>,
    pub(super) has_failed: bool,
}

impl ColdPeriod {
    /// Creates a cold period that ends at `until`.
    pub(super) fn new(until: Instant, max_requests_per_s: usize) -> Self {
        Self { until, max_requests_per_s, arrivals: VecDeque::new(), has_failed: false }
    }

    /// Counts a request and returns whether the replica still works.
    pub(super) fn survives_request(&mut self, now: Instant) -> bool {
        if now < self.until {
            self.arrivals.push_back(now);
        }
        while self.arrivals.front().is_some_and(|arrival| now - *arrival >= Duration::from_secs(1)) {
            self.arrivals.pop_front();
        }
        self.has_failed |= self.arrivals.len() > self.max_requests_per_s;
        !self.has_failed
    }
}
