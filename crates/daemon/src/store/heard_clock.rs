//! When the stores of a shard last answered, as its owner's other tasks see it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// The time of the last answer. Cheap to clone; all clones are one clock.
#[derive(Clone, Debug)]
pub struct HeardClock {
    origin: Instant,
    last_ms: Arc<AtomicU64>,
}

impl HeardClock {
    /// A clock that heard of a store just now.
    pub fn start() -> Self {
        Self { origin: Instant::now(), last_ms: Arc::default() }
    }

    /// A store answered.
    pub fn heard(&self) {
        self.last_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// How long no store has answered.
    pub(crate) fn silent_for(&self) -> Duration {
        Duration::from_millis(self.now_ms().saturating_sub(self.last_ms.load(Ordering::Relaxed)))
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
