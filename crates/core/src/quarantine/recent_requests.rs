//! A bounded set of recently completed requests. It keeps a frequent request from being suspected whenever a
//! replica that runs it crashes.

use std::collections::HashSet;
use std::time::Duration;

use super::Fingerprint;
use crate::time::Timestamp;

/// Minimum time for which a completed request is kept; the maximum is twice as long. See
/// docs/decisions/quarantine.md. Without this memory one of 50 seeds of the soak quarantined a popular write at all
/// gateways.
const MIN_RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of requests in each generation.
const MAX_GENERATION_SIZE: usize = 4_096;

/// A set of requests in two generations, of which the older one is dropped at each rotation. A request that
/// completes often stays in the set.
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    recent: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    rotated_at: Timestamp,
}

impl RecentRequests {
    pub(super) fn insert(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        self.expire(now);
        if self.recent.len() >= MAX_GENERATION_SIZE {
            self.rotate(now);
        }
        self.recent.insert(fingerprint);
    }

    pub(super) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.recent.contains(fingerprint) || self.previous.contains(fingerprint)
    }

    /// Drops expired generations.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if now.saturating_since(self.rotated_at) >= MIN_RETENTION * 2 {
            self.recent.clear();
        }
        if now.saturating_since(self.rotated_at) >= MIN_RETENTION {
            self.rotate(now);
        }
    }

    /// Starts a new generation and drops the older one.
    fn rotate(&mut self, now: Timestamp) {
        self.previous = std::mem::take(&mut self.recent);
        self.rotated_at = now;
    }
}
