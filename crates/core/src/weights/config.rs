//! Configuration of the weight rollout: concurrent loads, timeouts and polling intervals.

use std::time::Duration;

/// See `docs/decisions/weight-waves.md` for the simulated rollout times.
const MAX_CONCURRENT_LOADS: usize = 256;
/// Leaves half of the pool serving.
const MAX_LOADING_PERCENT: usize = 50;
const LOAD_CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);
/// A load occupies its slot until the report, so a longer interval slows the rollout.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(500);
const ORDER_REPEAT_INTERVAL: Duration = Duration::from_secs(2);
const CONFIRMED_POLL_INTERVAL: Duration = Duration::from_secs(60);
const BARRIER_INTERVAL: Duration = Duration::from_secs(5);

/// Configuration of the owner of a pool's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaveConfig {
    /// Most replicas that fetch from the weight store at once. They share the store's rate.
    pub max_concurrent_loads: usize,
    /// Greatest part of a pool that loads at once, in percent. One replica may always load.
    pub max_loading_percent: usize,
    /// After this time without a confirmation a load counts as failed, and the replica has to be ordered
    /// again.
    pub load_timeout: Duration,
    /// How often a loading replica is polled for its report.
    pub poll_interval: Duration,
    /// How often the order is repeated to a replica that has not confirmed. An engine that is loading the
    /// version ignores it; one that restarted or whose swap failed starts again.
    pub order_interval: Duration,
    /// How often a confirmed replica is polled, to detect one that restarted with older weights.
    pub sweep_interval: Duration,
    /// An owner that has appended nothing for this time appends a barrier, to detect that it has been
    /// superseded and may have missed a publication.
    pub barrier_interval: Duration,
    /// Commit the record of an order before sending it. Always on in production; simulations switch it off.
    pub commit_before_order: bool,
}

impl Default for WaveConfig {
    fn default() -> Self {
        Self {
            max_concurrent_loads: MAX_CONCURRENT_LOADS,
            max_loading_percent: MAX_LOADING_PERCENT,
            load_timeout: LOAD_CONFIRM_TIMEOUT,
            poll_interval: LOADING_POLL_INTERVAL,
            order_interval: ORDER_REPEAT_INTERVAL,
            sweep_interval: CONFIRMED_POLL_INTERVAL,
            barrier_interval: BARRIER_INTERVAL,
            commit_before_order: true,
        }
    }
}

impl WaveConfig {
    /// Returns how many of `replicas` may load at once.
    pub fn loading_limit(&self, replicas: usize) -> usize {
        let pool_share = (replicas * self.max_loading_percent / 100).max(1);
        pool_share.min(self.max_concurrent_loads)
    }
}
