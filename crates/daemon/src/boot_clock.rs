//! A monotonic clock that includes the time during which the machine is suspended.
//!
//! The monotonic clock behind timers and [`tokio::time::Instant`] stops during a suspension, so state from before
//! it looks recent afterwards. State that other nodes may have taken over in the meantime, such as an owner's
//! authority, is timed by this clock instead. Imports no other module of the node.

use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::time::whole_millis;
use rustix::time::{ClockId, clock_gettime};

/// The system clock that includes suspensions.
#[cfg(target_os = "linux")]
const CLOCK: ClockId = ClockId::Boottime;
/// The monotonic clock. Other systems may stop it during a suspension.
#[cfg(not(target_os = "linux"))]
const CLOCK: ClockId = ClockId::Monotonic;

/// A reading of a [`BootClock`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

/// The time since the machine booted. Cheap to clone; all clones share the time added by [`Self::skip`].
#[derive(Clone, Debug, Default)]
pub struct BootClock {
    skipped_ms: Arc<AtomicU64>,
}

impl BootClock {
    /// Returns the current time.
    pub fn now(&self) -> BootInstant {
        let time = clock_gettime(CLOCK);
        // The time since boot is never negative and its nanoseconds are below one second, so the fallbacks are
        // never used.
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        let skipped = Duration::from_millis(self.skipped_ms.load(Ordering::Relaxed));
        BootInstant(Duration::new(seconds, nanoseconds) + skipped)
    }

    /// Returns the time elapsed since `earlier`, including suspensions.
    pub fn since(&self, earlier: BootInstant) -> Duration {
        self.now().saturating_since(earlier)
    }

    /// Advances this clock alone, to simulate a suspension of the machine in tests.
    pub fn skip(&self, time: Duration) {
        let skipped_ms = whole_millis(time);
        self.skipped_ms.fetch_add(skipped_ms, Ordering::Relaxed);
    }
}
