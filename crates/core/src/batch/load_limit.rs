//! Limits how many replicas of one service load a model version at the same time.
//!
//! Once more than a certain number of loads run concurrently, each takes proportionally longer. That number
//! differs between platforms and is not published, so the limit is derived from how load times change with
//! concurrency. This is a gradient limit as used for concurrent requests (Netflix concurrency-limits, 2018),
//! except that the concurrency is known.
//!
//! Contention slows all concurrent loads. A slow replica, a lost order or a report that is read late makes
//! only some loads look long and must not lower the limit. So a round of loads counts as slow only if its
//! fastest load was slow, judged by the time that the replica itself was seen loading.

use std::collections::VecDeque;
use std::time::Duration;

/// Share of a service's replicas that load concurrently before any measurement. On one deployment the limit allowed
/// 156 loads a day where two at a time gave 51 (docs/decisions/platform.md).
const INITIAL_SHARE: f64 = 0.2;
/// Lower bound of the initial limit, so that concurrent loads occur and can be measured. With one, a service with few
/// replicas learns nothing of contention.
const MIN_INITIAL_LIMIT: usize = 2;
/// Loads up to this multiple of the shortest one count as not slowed. Allows for reports being read about 60
/// ms apart while a load takes about a second.
const UNSLOWED_RATIO: f64 = 1.15;
/// Loads beyond this multiple of the shortest one count as slowed by contention. A ratio closer to 1 takes the spread
/// of reports for contention.
const SLOWED_RATIO: f64 = 1.35;
/// Loads started at a lower share of the limit say nothing about it and are ignored.
const MIN_LIMIT_USE: f64 = 0.75;
/// Minimum loads in a round. If a fifth of the replicas are slow, a round of three consists of slow ones only
/// in one case out of a hundred.
const MIN_ROUND: usize = 3;
/// Maximum loads in a round, so that large limits still adapt quickly.
const MAX_ROUND: usize = 8;
/// Number of recent loads among which the shortest is taken as the baseline. With fewer, the time of an idle platform
/// is forgotten; with more, a time is kept that no longer holds.
const HISTORY: usize = 64;

/// Bounds of a load's duration. Reports are polled, so the end lies between two of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTime {
    /// Time from the order to the last report that showed the load in progress.
    pub at_least: Duration,
    /// Time from the order to the first report that showed it done.
    pub at_most: Duration,
}

/// Size of a service, as far as loads are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    /// Number of replicas with model weights.
    pub replicas: usize,
    /// Number of distinct models on them.
    pub models: usize,
}

impl PoolSize {
    fn initial_limit(self) -> usize {
        ((self.replicas as f64 * INITIAL_SHARE).round() as usize).max(MIN_INITIAL_LIMIT)
    }

    /// Lets all models load concurrently, up to the initial limit.
    fn min_limit(self) -> usize {
        self.models.clamp(1, self.initial_limit())
    }
}

/// A completed load and the number of loads in progress when it started, including itself.
#[derive(Clone, Copy, Debug)]
struct RoundLoad {
    time: LoadTime,
    concurrent_loads: usize,
}

/// Adaptive limit of concurrent loads of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadLimit {
    limit: Option<usize>,
    /// Durations of the most recent loads.
    history: VecDeque<Duration>,
    /// Loads of the current round, which are evaluated together.
    round: Vec<RoundLoad>,
    /// Increment of the next increase, less one. Doubles with each round that was not slowed.
    growth: usize,
}

impl LoadLimit {
    /// Returns the limit for a service of this size.
    pub fn get(&self, size: PoolSize) -> usize {
        self.limit.unwrap_or_else(|| size.initial_limit()).max(size.min_limit())
    }

    /// Records a completed load that started as one of `concurrent_loads` in a service of this size.
    pub fn observe(&mut self, time: LoadTime, concurrent_loads: usize, size: PoolSize) {
        self.history.push_back(time.at_most);
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        let limit = self.get(size);
        if (concurrent_loads as f64) < limit as f64 * MIN_LIMIT_USE {
            return;
        }
        self.round.push(RoundLoad { time, concurrent_loads });
        if self.round.len() >= limit.clamp(MIN_ROUND, MAX_ROUND) {
            self.adjust(limit, size);
            self.round.clear();
        }
    }

    /// Returns the loads per second that the platform sustains, or `None` before any load was observed.
    pub(crate) fn loads_per_second(&self, size: PoolSize) -> Option<f64> {
        let shortest = self.history.iter().min()?.as_secs_f64();
        Some(self.get(size) as f64 / shortest.max(f64::MIN_POSITIVE))
    }

    fn adjust(&mut self, limit: usize, size: PoolSize) {
        let shortest = self.history.iter().min().copied().unwrap_or_default();
        let ratio = |time: Duration| time.as_secs_f64() / shortest.as_secs_f64().max(f64::MIN_POSITIVE);
        let slowed = self.round.iter().map(|load| ratio(load.time.at_least)).min_by(f64::total_cmp);
        let max_concurrent = self.round.iter().map(|load| load.concurrent_loads).max().unwrap_or_default();
        if let Some(slowed) = slowed.filter(|slowed| *slowed > SLOWED_RATIO) {
            let sustainable = (max_concurrent as f64 / slowed).round() as usize;
            self.limit = Some(sustainable.clamp(1, limit));
            self.growth = 0;
            return;
        }
        let at_limit = self.round.iter().filter(|load| load.concurrent_loads >= limit);
        let quickest = at_limit.map(|load| ratio(load.time.at_most)).min_by(f64::total_cmp);
        if quickest.is_some_and(|quickest| quickest <= UNSLOWED_RATIO) {
            let max_growth = (limit / 2).max(1);
            self.limit = Some((limit + (self.growth + 1).min(max_growth)).min(size.replicas.max(1)));
            self.growth = self.growth * 2 + 1;
        } else {
            self.growth = 0;
        }
    }
}
