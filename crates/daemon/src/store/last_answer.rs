//! Time of the last answer from any store of a shard, shared by the tasks of the shard's owner.
//!
//! The shard log records each answer, and the owner's cut-off monitor reads the time since. Times are read
//! from this node's monotonic clock, in milliseconds since the value was created.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::time::whole_millis;
use tokio::time::Instant;

/// Time of the last answer. Cheap to clone; all clones share the value.
#[derive(Clone, Debug)]
pub struct LastAnswer {
    origin: Instant,
    last_ms: Arc<AtomicU64>,
}

impl LastAnswer {
    /// Starts at the current time, as if a store had just answered.
    pub fn start() -> Self {
        Self { origin: Instant::now(), last_ms: Arc::default() }
    }

    /// Records that a store has just answered.
    pub fn record(&self) {
        self.last_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns the time since a store last answered.
    pub(crate) fn time_since_last_answer(&self) -> Duration {
        Duration::from_millis(self.now_ms().saturating_sub(self.last_ms.load(Ordering::Relaxed)))
    }

    fn now_ms(&self) -> u64 {
        whole_millis(self.origin.elapsed())
    }
}
