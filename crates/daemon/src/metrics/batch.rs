//! Metrics of batch jobs: items at the owner, reused texts, progress of following a log, and pending ends.

use lichenpulley_core::batch::controller::ReuseCounts;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::registration::{self, to_gauge};

/// Metrics of the batch jobs.
#[derive(Clone)]
pub(super) struct BatchMetrics {
    items: IntGaugeVec,
    regional_items: IntGaugeVec,
    reused_items: IntCounterVec,
    followed_bytes: IntGauge,
    pending_ends: IntGauge,
}

impl BatchMetrics {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            items: registration::gauge_vec(
                registry,
                "lichenpulley_batch_items",
                "Items of batch jobs at their owner, by state",
                &["state"],
            ),
            regional_items: registration::gauge_vec(
                registry,
                "lichenpulley_regional_batch_items",
                "Items of batch jobs that are bound to some regions at their owner, by shard and state",
                &["shard", "state"],
            ),
            reused_items: registration::counter_vec(
                registry,
                "lichenpulley_batch_items_reused_total",
                "Items of batch jobs that used the text of an earlier job, by what was used",
                &["reason"],
            ),
            followed_bytes: registration::gauge(
                registry,
                "lichenpulley_batch_followed_bytes",
                "Bytes of the batch jobs' log that the node which would own them next has followed",
            ),
            pending_ends: registration::gauge(
                registry,
                "lichenpulley_pending_ends",
                "Ends of batch jobs that this node has read and that are not known to be kept",
            ),
        }
    }

    pub(super) fn set_items(&self, shard: Option<&str>, running: usize, waiting: usize) {
        let set = |state: &str, count: usize| match shard {
            None => self.items.with_label_values(&[state]).set(to_gauge(count)),
            Some(shard) => self.regional_items.with_label_values(&[shard, state]).set(to_gauge(count)),
        };
        set("running", running);
        set("waiting", waiting);
    }

    pub(super) fn count_reused_items(&self, counts: ReuseCounts) {
        let ReuseCounts { scored, complete, partial } = counts;
        for (reason, items) in [("scored", scored), ("complete", complete), ("partial", partial)] {
            self.reused_items.with_label_values(&[reason]).inc_by(items);
        }
    }

    pub(super) fn set_followed_bytes(&self, bytes: usize) {
        self.followed_bytes.set(to_gauge(bytes));
    }

    pub(super) fn set_pending_ends(&self, ends: usize) {
        self.pending_ends.set(to_gauge(ends));
    }
}
