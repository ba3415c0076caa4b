//! Wall-clock time and the fixed-length windows into which usage is divided.

use std::fmt;
use std::time::Duration;

use crate::time::whole_millis;
use speedy::{Readable, Writable};

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time earlier by `duration`, or the epoch if that is later.
    #[must_use]
    pub(crate) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(whole_millis(duration)))
    }

    /// Returns the time later by `duration`.
    #[must_use]
    pub(crate) fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_millis(duration)))
    }
}

/// Number of a window. Consecutive windows of equal length start at the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the number of the next window.
    #[must_use]
    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for WindowNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Length of a window. Never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLength(Duration);

impl WindowLength {
    /// Creates a length, raised to at least one millisecond.
    pub fn new(length: Duration) -> Self {
        Self(length.max(Duration::from_millis(1)))
    }

    /// Returns the window that contains a time.
    pub(crate) fn window_at(self, time: WallTime) -> WindowNumber {
        WindowNumber(time.0 / whole_millis(self.0).max(1))
    }

    /// Returns when a window ends.
    pub(crate) fn end_of(self, window: WindowNumber) -> WallTime {
        WallTime(window.0.saturating_add(1).saturating_mul(whole_millis(self.0)))
    }
}
