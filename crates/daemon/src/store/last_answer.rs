//! When a store of a shard last answered, shared by the tasks of the shard's owner.
//!
//! The log records each answer; the owner's watch for being cut off reads how long there was none. Times are this node's
//! own steady clock, in milliseconds since the clock was made.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::time::whole_millis;
use tokio::time::Instant;

/// The time of the last answer. Cheap to clone; all clones share it.
#[derive(Clone, Debug)]
pub struct LastAnswer {
    origin: Instant,
    last_ms: Arc<AtomicU64>,
}

impl LastAnswer {
    /// Counts from now on, as if a store had just answered.
    pub fn start() -> Self {
        Self { origin: Instant::now(), last_ms: Arc::default() }
    }

    /// A store answered.
    pub fn record(&self) {
        self.last_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// How long no store has answered.
    pub(crate) fn time_since_last_answer(&self) -> Duration {
        Duration::from_millis(self.now_ms().saturating_sub(self.last_ms.load(Ordering::Relaxed)))
    }

    fn now_ms(&self) -> u64 {
        whole_millis(self.origin.elapsed())
    }
}
