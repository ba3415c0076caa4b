//! Waves of fenced orders that bring a weight version to all replicas of a pool.
//!
//! The owner of a pool's weights drives a [`WeightsController`]. The log holds the published version, which
//! replicas have been ordered and which have confirmed it, so that a new owner goes on where the old one stopped
//! and the weight store never serves more fetches at once than allowed, across owners too.

mod controller;
mod ledger;
mod replica;

pub use controller::{Action, Event, OrderCommand, WaveProgress, WeightsController};
pub use ledger::{WeightsLedger, WeightsRecord, WeightsRecordError};
pub use replica::{OrderResult, WeightReport};

use std::time::Duration;

/// Settings of an owner of a pool's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaveConfig {
    /// Replicas that fetch from the weight store at once. The store's rate divided by this is each one's share.
    pub max_concurrent_loads: usize,
    /// The greatest part of a pool that is loading at once, in percent; one replica may always load.
    pub max_loading_percent: usize,
    /// After this time without a confirmation the order is sent again.
    pub load_timeout: Duration,
    /// How often a loading replica is asked for its report.
    pub poll_interval: Duration,
    /// How often a replica that has not confirmed is ordered again. An engine that is loading the version takes no
    /// notice; one whose swap failed partway, or that restarted, begins anew.
    pub order_interval: Duration,
    /// How often a replica that has confirmed is asked again, to find one that restarted with older weights.
    pub sweep_interval: Duration,
    /// An owner with nothing to record for so long appends a barrier, to find out whether it has been superseded: it
    /// may have missed a publication that another owner took.
    pub barrier_interval: Duration,
    /// Keep the record of an order before it is sent. Always on in service; proofs switch it off.
    pub keep_before_order: bool,
}

impl Default for WaveConfig {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 256,
            max_loading_percent: 50,
            load_timeout: Duration::from_secs(30),
            poll_interval: Duration::from_millis(500),
            order_interval: Duration::from_secs(2),
            sweep_interval: Duration::from_secs(60),
            barrier_interval: Duration::from_secs(5),
            keep_before_order: true,
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
