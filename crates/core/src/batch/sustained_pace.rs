//! The pace that a replica kept for longer than one slowdown.
//!
//! A replica that shares its machine is 2.5 times slower than usual for some 600 ms at a time. Its mean pause over a
//! quarter of a second shows the slowdown, but the slowdown usually ends before a run that moves away has made up for
//! the move. The sustained pace is therefore measured over periods that together exceed two slowdowns. It is the
//! shortest of their mean pauses: a mean over all of them would still rise by some 40 % through a single slowdown,
//! which is more than the speedup for which runs move.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Length of a period. A slowdown of 600 ms touches at most three of four consecutive periods.
const PERIOD: Duration = Duration::from_millis(300);
/// Number of periods, which last 1.2 s together.
const PERIODS: usize = 4;
/// Without a pause for this long, earlier periods are no longer used, since the replica may have changed meanwhile.
const MAX_IDLE: Duration = Duration::from_millis(600);

/// The pauses that ended within one period.
#[derive(Clone, Copy, Debug)]
struct Period {
    began: Timestamp,
    sum_ms: f64,
    count: u32,
}

impl Period {
    const fn new(began: Timestamp) -> Self {
        Self { began, sum_ms: 0.0, count: 0 }
    }
}

/// Pauses between events at one replica, corrected to zero load, over the latest periods.
#[derive(Clone, Debug, Default)]
pub(super) struct SustainedPace {
    current: Option<Period>,
    last_at: Timestamp,
    /// Mean pauses of the latest complete periods, in milliseconds, oldest first.
    complete_ms: VecDeque<f64>,
}

impl SustainedPace {
    /// Records a pause of `gap` that ended at `now` and is `gap_ms` long without load.
    pub(super) fn observe(&mut self, now: Timestamp, gap: Duration, gap_ms: f64) {
        let idle = now.saturating_since(self.last_at).saturating_sub(gap);
        if idle > MAX_IDLE {
            *self = Self::default();
        }
        self.last_at = now;
        let period = self.current.get_or_insert(Period::new(now));
        period.sum_ms += gap_ms;
        period.count += 1;
        if now.saturating_since(period.began) >= PERIOD {
            let mean = period.sum_ms / f64::from(period.count);
            self.current = Some(Period::new(now));
            if self.complete_ms.len() == PERIODS {
                self.complete_ms.pop_front();
            }
            self.complete_ms.push_back(mean);
        }
    }

    /// Returns the shortest mean pause of the latest periods, in milliseconds without load; `None` unless the pauses
    /// cover all of them.
    pub(super) fn shortest_mean_ms(&self) -> Option<f64> {
        if self.complete_ms.len() < PERIODS {
            return None;
        }
        self.complete_ms.iter().copied().reduce(f64::min)
    }
}
