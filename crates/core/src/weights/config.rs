//! How many replicas of a pool load at once, and the times of their owner.

use std::time::Duration;

/// Replicas that fetch at once. Measured in a simulation of 870 replicas (a store that allows 18.0 s, a fetch
/// of 3 s, a swap of 0.5 s; `docs/decisions/weight-waves.md`): all have the version after 50.2 s with 64,
/// 25.6 s with 128, 22.5 s with 256.
const MAX_CONCURRENT_LOADS: usize = 256;
/// The greatest part of a pool that loads at once, in percent: the other half goes on serving. Chosen; with
/// half of the pool the same simulation took 20.0 s.
const MAX_LOADING_PERCENT: usize = 50;
/// Chosen, not measured: ten times the fetch of the simulation. Shorter gives a slow replica's place to
/// another although it still fetches; longer lets a dead one hold its place.
const LOAD_CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);
/// As in the simulation of the waves: a report every 0.5 s. A place is held until the report, so longer slows
/// the wave.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Chosen, not measured: longer, and a replica whose swap failed stands idle for longer; shorter costs calls.
const ORDER_REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Chosen, not measured: longer, and a replica that restarted with older weights is found later; shorter
/// costs calls.
const CONFIRMED_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Chosen, not measured: longer, and an owner that was superseded without noticing misses a publication for
/// longer.
const BARRIER_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of an owner of a pool's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaveConfig {
    /// Replicas that fetch from the weight store at once. The store's rate divided by this is each one's
    /// share.
    pub max_concurrent_loads: usize,
    /// The greatest part of a pool that is loading at once, in percent; one replica may always load.
    pub max_loading_percent: usize,
    /// After this time without a confirmation the order is sent again.
    pub load_timeout: Duration,
    /// How often a loading replica is asked for its report.
    pub poll_interval: Duration,
    /// How often a replica that has not confirmed is ordered again. An engine that is loading the version
    /// takes no notice; one whose swap failed partway, or that restarted, begins anew.
    pub order_interval: Duration,
    /// How often a replica that has confirmed is asked again, to find one that restarted with older weights.
    pub sweep_interval: Duration,
    /// An owner with nothing to record for this time appends a barrier, to find out whether it has been
    /// superseded: it may have missed a publication that another owner took.
    pub barrier_interval: Duration,
    /// Keep the record of an order before it is sent. Always on in service; proofs switch it off.
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
    /// How many of `replicas` may load at once.
    pub fn loading_limit(&self, replicas: usize) -> usize {
        let part_of_pool = (replicas * self.max_loading_percent / 100).max(1);
        part_of_pool.min(self.max_concurrent_loads)
    }
}
