//! How many replicas of one service load a version at a time.
//!
//! A load takes longer in proportion once more than so many are under way; how many that is differs between
//! platforms and none says. The limit is found from how long loads take beside others: a gradient limit, as
//! for concurrent requests (Netflix concurrency-limits, 2018; here with the queue's length known).
//!
//! Crowding slows all loads that go on together. A slow replica, a lost order or an owner that reads reports
//! late makes single loads look long; they lower nothing, since a round of loads counts as slow by its
//! quickest one alone, and by the time that the replica itself was seen busy.

use std::collections::VecDeque;
use std::time::Duration;

/// The part of a service's replicas that load at a time before anything was measured. Chosen; only the limit
/// as a whole is measured: 156 loads a day of one deployment, where two at a time gave 51
/// (docs/decisions/platform.md).
const FIRST_SHARE: f64 = 0.2;
/// Fewer are never worth waiting for one another. Chosen, not measured: with one, a service of few replicas
/// learns nothing of crowding.
const MIN_FIRST: usize = 2;
/// A load that took no longer than this share of the shortest was not slowed by the others. Reports are read
/// some 60 ms apart, against loads of about a second.
const QUICK_RATIO: f64 = 1.15;
/// A load that took longer than this share of the shortest was slowed by the others. Chosen, not measured:
/// closer to 1 takes the spread of reports for crowding, further off lets loads crowd.
const SLOW_RATIO: f64 = 1.35;
/// Loads that began beside so great a share of the limit say something about it. Chosen, not measured: a
/// smaller share lets loads that had room judge the limit.
const TELLING_SHARE: f64 = 0.75;
/// Loads of a round at least: with a fifth of the replicas slow, all of three are in one round of a hundred.
/// Chosen from that chance, not measured.
const MIN_ROUND: usize = 3;
/// Loads of a round at most: some of those that go on together are enough. Chosen, not measured: longer
/// rounds change the limit later.
const MAX_ROUND: usize = 8;
/// The shortest load is looked for among so many of the newest: some seconds of loads at the limit. Chosen,
/// not measured: fewer forget what an idle platform does, more keep a time that no longer holds.
const HISTORY: usize = 64;

/// How long a load took at the replica. Reports are read now and then, so that its end is known to lie
/// between two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTime {
    /// From the order until the last report that showed the load under way.
    pub at_least: Duration,
    /// From the order until the first report that showed it done.
    pub at_most: Duration,
}

/// What the replicas of a service amount to, as far as loads are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    /// Replicas with weights.
    pub replicas: usize,
    /// Models among them.
    pub models: usize,
}

impl PoolSize {
    fn first_limit(self) -> usize {
        ((self.replicas as f64 * FIRST_SHARE).round() as usize).max(MIN_FIRST)
    }

    /// Each model can advance beside the others, where that is no more than the platform is taken to bear at
    /// first.
    fn least_limit(self) -> usize {
        self.models.clamp(1, self.first_limit())
    }
}

/// A load that began as one of `beside` under way.
#[derive(Clone, Copy, Debug)]
struct RoundLoad {
    time: LoadTime,
    beside: usize,
}

/// The number of loads of one service that may be under way at a time.
#[derive(Clone, Debug, Default)]
pub struct LoadLimit {
    limit: Option<usize>,
    /// Times of the newest loads.
    history: VecDeque<Duration>,
    /// Loads that are judged together.
    round: Vec<RoundLoad>,
    /// How much the next round that was not slowed adds, less one.
    growth: usize,
}

impl LoadLimit {
    /// The limit for a service of this size.
    pub fn get(&self, size: PoolSize) -> usize {
        self.limit.unwrap_or_else(|| size.first_limit()).max(size.least_limit())
    }

    /// A load is done that began as one of `beside` under way, in a service of this size.
    pub fn observe(&mut self, time: LoadTime, beside: usize, size: PoolSize) {
        self.history.push_back(time.at_most);
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        let limit = self.get(size);
        if (beside as f64) < limit as f64 * TELLING_SHARE {
            return;
        }
        self.round.push(RoundLoad { time, beside });
        if self.round.len() >= limit.clamp(MIN_ROUND, MAX_ROUND) {
            self.judge(limit, size);
            self.round.clear();
        }
    }

    /// How many loads a second the platform sustains, by those that were observed; `None` before any.
    pub(crate) fn loads_per_second(&self, size: PoolSize) -> Option<f64> {
        let shortest = self.history.iter().min()?.as_secs_f64();
        Some(self.get(size) as f64 / shortest.max(f64::MIN_POSITIVE))
    }

    fn judge(&mut self, limit: usize, size: PoolSize) {
        let shortest = self.history.iter().min().copied().unwrap_or_default();
        let ratio = |time: Duration| time.as_secs_f64() / shortest.as_secs_f64().max(f64::MIN_POSITIVE);
        let slowed = self.round.iter().map(|load| ratio(load.time.at_least)).min_by(f64::total_cmp);
        let crowd = self.round.iter().map(|load| load.beside).max().unwrap_or_default();
        if let Some(slowed) = slowed.filter(|slowed| *slowed > SLOW_RATIO) {
            let borne = (crowd as f64 / slowed).round() as usize;
            self.limit = Some(borne.clamp(1, limit));
            self.growth = 0;
            return;
        }
        let at_limit = self.round.iter().filter(|load| load.beside >= limit);
        let quickest = at_limit.map(|load| ratio(load.time.at_most)).min_by(f64::total_cmp);
        if quickest.is_some_and(|quickest| quickest <= QUICK_RATIO) {
            let most_growth = (limit / 2).max(1);
            self.limit = Some((limit + (self.growth + 1).min(most_growth)).min(size.replicas.max(1)));
            self.growth = self.growth * 2 + 1;
        } else {
            self.growth = 0;
        }
    }
}
