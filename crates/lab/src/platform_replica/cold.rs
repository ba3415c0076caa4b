//! A replica that is cold: it stands few requests a second, and falls over beyond that.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A stretch in which a replica stands few requests a second.
pub(super) struct ColdStretch {
    pub(super) until: Instant,
    /// Requests in one second beyond which it falls over, for good.
    stands: usize,
    arrivals: VecDeque<Instant>,
    pub(super) has_failed: bool,
}

impl ColdStretch {
    /// Lasts until a time, and stands so many requests in one second.
    pub(super) fn new(until: Instant, stands: usize) -> Self {
        Self { until, stands, arrivals: VecDeque::new(), has_failed: false }
    }

    /// Takes a request; returns whether the replica stands it.
    pub(super) fn stands_request(&mut self, now: Instant) -> bool {
        if now < self.until {
            self.arrivals.push_back(now);
        }
        while self.arrivals.front().is_some_and(|arrival| now - *arrival >= Duration::from_secs(1)) {
            self.arrivals.pop_front();
        }
        self.has_failed |= self.arrivals.len() > self.stands;
        !self.has_failed
    }
}
