//! Usage counts of this node: requests that began to run and are not yet acknowledged by the holder of the
//! usage duty. [`super::usage`] reports them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::TenantName;
use lichenpulley_core::time::Timestamp;
use lichenpulley_core::usage::meter::UsageMeter;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval at which a stopping node checks whether all counts are reported.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts the requests that began to run on this node. Thread-safe; the lock is held only for short,
/// non-blocking operations.
#[derive(Debug)]
pub struct NodeUsage {
    meter: Mutex<UsageMeter>,
    pub(super) counted: Notify,
    pub(super) origin: Instant,
    /// Identifies this incarnation of the node in reports.
    pub(super) source: String,
    pub(super) is_enabled: bool,
}

impl NodeUsage {
    /// Creates an empty count. Nothing is ever counted unless usage `is_enabled`.
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

    /// Counts a request of a tenant that began to run at `at`.
    pub(super) fn count(&self, at: Instant, tenant: TenantName) {
        let at = Timestamp::ORIGIN + at.saturating_duration_since(self.origin);
        self.meter().count(at, tenant);
        self.counted.notify_one();
    }

    /// Waits up to `limit` until all counts are reported, and logs how many are left.
    pub(crate) async fn wait_until_reported(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while !self.meter().is_empty() && Instant::now() < deadline {
            tokio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
        }
        let left = self.meter().len();
        if left > 0 {
            log::warn!(target: "duties", "{left} requests are missing from the usage: no holder accepted them before this node stopped. Stop nodes one at a time.");
        }
    }

    pub(super) fn meter(&self) -> MutexGuard<'_, UsageMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
