//! Metrics of the replica sets of batch logs: their size and the losses that they tolerate.

use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::placement::FaultTolerance;
use prometheus::{IntGaugeVec, Registry};

use super::registration::{self, to_gauge};

/// Size and fault tolerance of the replica set of each batch log, reported by the owner of the log.
#[derive(Clone)]
pub struct PlacementMetrics {
    members: IntGaugeVec,
    tolerated: IntGaugeVec,
}

impl PlacementMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            members: registration::gauge_vec(
                registry,
                "lichenpulley_log_members",
                "Stores that keep a log of batch jobs, at its owner",
                &["shard"],
            ),
            tolerated: registration::gauge_vec(
                registry,
                "lichenpulley_log_borne_losses",
                "Losses that a log of batch jobs bears, at its owner, by what is lost",
                &["shard", "of"],
            ),
        }
    }

    /// Sets the size and the fault tolerance of the replica set of a log.
    pub(crate) fn show(&self, shard: &ShardId, members: usize, tolerance: FaultTolerance) {
        let shard = shard.as_str();
        let set = |of: &str, count: usize| {
            self.tolerated.with_label_values(&[shard, of]).set(to_gauge(count));
        };
        self.members.with_label_values(&[shard]).set(to_gauge(members));
        set("disks", tolerance.disks);
        set("zones", tolerance.zones);
        set("regions", tolerance.regions);
    }
}
