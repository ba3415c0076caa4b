//! What this node counts of requests that began to run, until a holder of the duty has taken it.
//!
//! Owns the meter. Usable from any thread; the counts are handed over by [`super::usage`].

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::TenantName;
use lichenpulley_core::time::Timestamp;
use lichenpulley_core::usage::meter::UsageMeter;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time between two looks at whether all is handed over.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts requests that began to run on this node. Usable from any thread; the lock is held for a moment
/// only.
#[derive(Debug)]
pub struct NodeUsage {
    meter: Mutex<UsageMeter>,
    pub(super) counted: Notify,
    pub(super) origin: Instant,
    /// This incarnation of this node.
    pub(super) source: String,
    pub(super) is_enabled: bool,
}

impl NodeUsage {
    /// Nothing is counted yet. Where usage `is_wanted` by nobody nothing ever is.
    pub fn new(node: &str, is_enabled: bool) -> Self {
        let incarnation: u32 = rand::random();
        Self {
            meter: Mutex::default(),
            counted: Notify::new(),
            origin: Instant::now(),
            source: format!("{node}/{incarnation:x}"),
            is_enabled,
        }
    }

    /// A request of a tenant began to run at `at`.
    pub(super) fn count(&self, at: Instant, tenant: TenantName) {
        let at = Timestamp::ORIGIN + at.saturating_duration_since(self.origin);
        self.meter().count(at, tenant);
        self.counted.notify_one();
    }

    /// Waits at most `limit` until all that was counted is handed over; a line says what is left.
    pub(crate) async fn wait_until_reported(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while !self.meter().is_empty() && Instant::now() < deadline {
            tokio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
        }
        let left = self.meter().len();
        if left > 0 {
            log::warn!(target: "duties", "{left} requests are missing from the usage: no holder took them before this node stopped. Stop nodes one after the other.");
        }
    }

    pub(super) fn meter(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
