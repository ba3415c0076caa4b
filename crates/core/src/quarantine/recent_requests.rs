//! A bounded memory of the requests that ran to an end lately, so that a popular request is not suspected
//! each time that a replica ends where it happens to run.

use std::collections::HashSet;
use std::time::Duration;

use super::Fingerprint;
use crate::time::Timestamp;

/// A request counts as one that ran to an end lately for at least this time, and for at most twice as long.
/// Without the memory one of 50 seeds of the soak quarantined a popular write at all gateways
/// (docs/decisions/quarantine.md); the time itself is chosen, not measured.
const RECENT_TIME: Duration = Duration::from_secs(15);
/// Requests in each half of the memory: together 8,192 of 16 bytes. Chosen, not measured: too few forget
/// popular requests.
const HALF_LIMIT: usize = 4_096;

/// A bounded memory of requests, in two halves of which the older one is dropped. One that comes often is
/// always in it.
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    young: HashSet<Fingerprint>,
    old: HashSet<Fingerprint>,
    turned_at: Timestamp,
}

impl RecentRequests {
    pub(super) fn insert(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        self.turn(now);
        if self.young.len() >= HALF_LIMIT {
            self.drop_old(now);
        }
        self.young.insert(fingerprint);
    }

    pub(super) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.young.contains(fingerprint) || self.old.contains(fingerprint)
    }

    /// Drops what is older than the memory goes back.
    pub(super) fn turn(&mut self, now: Timestamp) {
        if now.saturating_since(self.turned_at) >= RECENT_TIME * 2 {
            self.young.clear();
        }
        if now.saturating_since(self.turned_at) >= RECENT_TIME {
            self.drop_old(now);
        }
    }

    fn drop_old(&mut self, now: Timestamp) {
        self.old = std::mem::take(&mut self.young);
        self.turned_at = now;
    }
}
