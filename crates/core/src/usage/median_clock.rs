//! The time of day as most nodes have it: the clock in the middle of those that report. Owns the last offset
//! of each; relies on this node's steady clock in between.

use std::collections::BTreeMap;
use std::time::Duration;

use super::window::WallTime;
use crate::time::Timestamp;
use crate::time::whole_millis;

/// A clock from which nothing came for this long is left out: it may have been set since.
const HEARD_FOR: Duration = Duration::from_secs(15);
/// A clock that differs by more has jumped, in milliseconds; a report that was held up on its way differs by
/// less. Smaller corrects clocks that are right, greater counts requests in the wrong window.
const JUMP_MS: i64 = 300;

/// A clock as it was last heard.
#[derive(Clone, Copy, Debug)]
struct HeardClock {
    at: Timestamp,
    /// Its time of day less this node's steady clock, in milliseconds.
    offset_ms: i64,
}

/// The clocks of this node and of those that report to it.
#[derive(Clone, Debug, Default)]
pub struct MedianClock {
    clocks: BTreeMap<String, HeardClock>,
}

impl MedianClock {
    /// A node said what time of day it has.
    pub fn observe_clock(&mut self, source: &str, wall: WallTime, now: Timestamp) {
        let offset_ms = as_signed(wall.0) - as_signed(steady_ms(now));
        self.clocks.retain(|_, clock| now.saturating_since(clock.at) < HEARD_FOR);
        self.clocks.insert(source.to_owned(), HeardClock { at: now, offset_ms });
    }

    /// The time of day now, by the clock in the middle; `None` before any was heard.
    pub fn now(&self, now: Timestamp) -> Option<WallTime> {
        let wall_ms = self.middle()? + as_signed(steady_ms(now));
        // Before 1970 there is no window to count in.
        Some(WallTime(u64::try_from(wall_ms).unwrap_or(0)))
    }

    /// The true time of what a node says happened at `wall`.
    pub fn corrected(&self, source: &str, wall: WallTime) -> WallTime {
        let clock = self.clocks.get(source).map(|clock| clock.offset_ms);
        let (Some(offset_ms), Some(middle_ms)) = (clock, self.middle()) else { return wall };
        let ahead_ms = offset_ms - middle_ms;
        if ahead_ms.abs() <= JUMP_MS {
            return wall;
        }
        WallTime(u64::try_from(as_signed(wall.0) - ahead_ms).unwrap_or(0))
    }

    fn middle(&self) -> Option<i64> {
        let mut offsets: Vec<i64> = self.clocks.values().map(|clock| clock.offset_ms).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

fn steady_ms(now: Timestamp) -> u64 {
    whole_millis(now.saturating_since(Timestamp::ORIGIN))
}

fn as_signed(milliseconds: u64) -> i64 {
    i64::try_from(milliseconds).unwrap_or(i64::MAX)
}
