//! Metrics of batch jobs: items and queues at the owner, reused texts, progress of following a log, and pending ends.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use lichenpulley_core::batch::controller::ReuseCounts;
use lichenpulley_core::batch::queue_report::QueueReport;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::registration::{self, to_gauge};

/// Label of the shard of jobs that may be stored anywhere.
const MAIN_SHARD: &str = "main";

/// Metrics of the batch jobs.
#[derive(Clone)]
pub(super) struct BatchMetrics {
    items: IntGaugeVec,
    regional_items: IntGaugeVec,
    reused_items: IntCounterVec,
    followed_bytes: IntGauge,
    pending_ends: IntGauge,
    queue: QueueMetrics,
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
            queue: QueueMetrics::new(registry),
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

    pub(super) fn set_queue(&self, shard: Option<&str>, report: &QueueReport) {
        self.queue.set(shard.unwrap_or(MAIN_SHARD), report);
    }

    pub(super) fn set_followed_bytes(&self, bytes: usize) {
        self.followed_bytes.set(to_gauge(bytes));
    }

    pub(super) fn set_pending_ends(&self, ends: usize) {
        self.pending_ends.set(to_gauge(ends));
    }
}

/// Gauges of the waiting work by service.
#[derive(Clone)]
struct QueueMetrics {
    items: IntGaugeVec,
    drain: IntGaugeVec,
    shortage: IntGaugeVec,
    /// The labels in use by shard, so that those of a service without work are removed.
    labels: Arc<Mutex<BTreeMap<String, QueueLabels>>>,
}

/// Labels of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct QueueLabels {
    levels: BTreeSet<(String, String)>,
    /// Services with a known drain time.
    drains: BTreeSet<String>,
    services: BTreeSet<String>,
}

impl QueueMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            items: registration::gauge_vec(
                registry,
                "lichenpulley_batch_queue_items",
                "Items of batch jobs at their owner, by shard, service, priority and state",
                &["shard", "service", "priority", "state"],
            ),
            drain: registration::gauge_vec(
                registry,
                "lichenpulley_batch_queue_drain_ms",
                "Estimated time in which the needed batch work of a service drains",
                &["shard", "service"],
            ),
            shortage: registration::gauge_vec(
                registry,
                "lichenpulley_batch_queue_shortage",
                "1 while the batch work of a service can't be done in time",
                &["shard", "service"],
            ),
            labels: Arc::default(),
        }
    }

    fn set(&self, shard: &str, report: &QueueReport) {
        let mut labels = QueueLabels::default();
        for queue in &report.services {
            let service = queue.service.as_str();
            for (priority, level) in queue.levels() {
                let priority = priority.to_string();
                let gauge = |state| self.items.with_label_values(&[shard, service, &priority, state]);
                gauge("running").set(i64::from(level.running));
                gauge("waiting").set(i64::from(level.waiting));
                labels.levels.insert((service.to_owned(), priority));
            }
            self.shortage.with_label_values(&[shard, service]).set(i64::from(queue.is_short));
            labels.services.insert(service.to_owned());
            if let Some(drain_ms) = queue.drain_ms {
                let drain_ms = i64::try_from(drain_ms).unwrap_or(i64::MAX);
                self.drain.with_label_values(&[shard, service]).set(drain_ms);
                labels.drains.insert(service.to_owned());
            }
        }
        let mut by_shard = self.labels.lock().unwrap_or_else(PoisonError::into_inner);
        let before = by_shard.insert(shard.to_owned(), labels.clone()).unwrap_or_default();
        // Removing fails only for labels that are not in use.
        for (service, priority) in before.levels.difference(&labels.levels) {
            for state in ["running", "waiting"] {
                let _ = self.items.remove_label_values(&[shard, service, priority, state]);
            }
        }
        for service in before.drains.difference(&labels.drains) {
            let _ = self.drain.remove_label_values(&[shard, service]);
        }
        for service in before.services.difference(&labels.services) {
            let _ = self.shortage.remove_label_values(&[shard, service]);
        }
    }
}
