//! Wall-clock time that tolerates wrong clocks on single nodes: the median of the clocks of all reporting
//! nodes. Between reports it advances with this node's monotonic clock.

use std::collections::BTreeMap;
use std::time::Duration;

use super::window::WallTime;
use crate::time::Timestamp;
use crate::time::whole_millis;

/// A clock without a sample for this long is ignored, since it may have been set in the meantime.
const CLOCK_EXPIRY: Duration = Duration::from_secs(15);
/// Greatest offset from the median, in milliseconds, that is not corrected. Tolerates delayed reports.
const MAX_SKEW_MS: i64 = 300;

/// The last sample of a node's clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    at: Timestamp,
    /// The node's wall-clock time minus this node's monotonic clock, in milliseconds.
    offset_ms: i64,
}

/// Median of the clocks of this node and of those that report to it.
#[derive(Clone, Debug, Default)]
pub struct MedianClock {
    clocks: BTreeMap<String, ClockSample>,
}

impl MedianClock {
    /// Records the wall-clock time reported by a node.
    pub fn observe_clock(&mut self, source: &str, wall: WallTime, now: Timestamp) {
        let offset_ms = as_signed(wall.0) - as_signed(monotonic_ms(now));
        self.clocks.retain(|_, clock| now.saturating_since(clock.at) < CLOCK_EXPIRY);
        self.clocks.insert(source.to_owned(), ClockSample { at: now, offset_ms });
    }

    /// Returns the current time by the median clock, or `None` before the first sample.
    pub fn now(&self, now: Timestamp) -> Option<WallTime> {
        let wall_ms = self.median_offset_ms()? + as_signed(monotonic_ms(now));
        // Windows start at the Unix epoch.
        Some(WallTime(u64::try_from(wall_ms).unwrap_or(0)))
    }

    /// Converts a node's wall-clock time to median time if its clock differs from the median by more than
    /// 300 ms.
    pub fn corrected(&self, source: &str, wall: WallTime) -> WallTime {
        let clock = self.clocks.get(source).map(|clock| clock.offset_ms);
        let (Some(offset_ms), Some(median_ms)) = (clock, self.median_offset_ms()) else { return wall };
        let ahead_ms = offset_ms - median_ms;
        if ahead_ms.abs() <= MAX_SKEW_MS {
            return wall;
        }
        WallTime(u64::try_from(as_signed(wall.0) - ahead_ms).unwrap_or(0))
    }

    fn median_offset_ms(&self) -> Option<i64> {
        let mut offsets: Vec<i64> = self.clocks.values().map(|clock| clock.offset_ms).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

fn monotonic_ms(now: Timestamp) -> u64 {
    whole_millis(now.saturating_since(Timestamp::ORIGIN))
}

fn as_signed(milliseconds: u64) -> i64 {
    i64::try_from(milliseconds).unwrap_or(i64::MAX)
}
