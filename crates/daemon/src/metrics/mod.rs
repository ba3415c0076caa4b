//! A node's counters, gauges and histograms in the Prometheus text form.
//!
//! One handle for the whole node, registered when it is made. Each file below holds the metrics of one subject with their
//! names; names and labels are read by operators' dashboards and don't change. Imports no part of the node but `logging`,
//! whose dropped lines it shows, so that every part may hold it.

mod batch;
mod ingress;
mod latency;
mod peers;
mod placement;
mod registration;

use std::time::Duration;

use lichenpulley_core::decision::Decision;
use lichenpulley_core::ingress::warmups::ColdCount;
use lichenpulley_protocol::transport::FrameMeter;
use prometheus::{IntCounterVec, IntGauge, Registry, TextEncoder};

use crate::logging;
use batch::BatchMetrics;
use ingress::IngressMetrics;
pub use latency::Latency;
use latency::LatencyMetrics;
use peers::PeerMetrics;
pub use placement::PlacementMetrics;

/// A node's metrics. Cheap to clone; all clones count the same.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    decisions: IntCounterVec,
    dropped_lines: IntGauge,
    latencies: LatencyMetrics,
    peers: PeerMetrics,
    ingress: IngressMetrics,
    batch: BatchMetrics,
    placement: PlacementMetrics,
}

impl Metrics {
    /// An empty set, for one node.
    ///
    /// # Panics
    /// Never: the names are constants that Prometheus accepts, each registered once.
    pub fn new() -> Self {
        let registry = Registry::new();
        registration::process(&registry);
        Self {
            decisions: registration::counters(
                &registry,
                "lichenpulley_decisions_total",
                "Decisions by component, action and reason",
                &["component", "action", "reason"],
            ),
            dropped_lines: registration::gauge(
                &registry,
                "lichenpulley_log_lines_dropped",
                "Lines of the log that were dropped",
            ),
            latencies: LatencyMetrics::new(&registry),
            peers: PeerMetrics::new(&registry),
            ingress: IngressMetrics::new(&registry),
            batch: BatchMetrics::new(&registry),
            placement: PlacementMetrics::new(&registry),
            registry,
        }
    }

    /// The registry, for parts that add their own metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a decision by its labels.
    pub fn count_decision(&self, decision: &Decision) {
        let labels = [decision.component.as_str(), &decision.action, &decision.reason];
        self.decisions.with_label_values(&labels).inc();
    }

    /// Takes a latency into its histogram; `outcome` has few distinct values.
    pub fn observe(&self, latency: Latency, outcome: &str, took: Duration) {
        self.latencies.observe(latency, outcome, took);
    }

    /// How many items of batch jobs run and wait at this node's owner, of the main shard or of one of some regions.
    pub fn set_batch_items(&self, shard: Option<&str>, running: usize, waiting: usize) {
        self.batch.set_items(shard, running, waiting);
    }

    /// How many bytes of the batch jobs' log this node has followed; 0 where another would own next.
    pub fn set_followed_bytes(&self, bytes: usize) {
        self.batch.set_followed_bytes(bytes);
    }

    /// How many ends of batch jobs this node has read and does not know to be kept.
    pub fn set_pending_ends(&self, ends: usize) {
        self.batch.set_pending_ends(ends);
    }

    /// The stores of the batch jobs' logs, and the losses that they tolerate.
    pub fn placement(&self) -> &PlacementMetrics {
        &self.placement
    }

    /// How many replicas are cold for this gateway, and to how many of them it may send.
    pub fn set_cold_replicas(&self, count: ColdCount) {
        self.ingress.set_cold_replicas(count);
    }

    /// How many zones are evacuated, as this node knows them.
    pub fn set_evacuated_zones(&self, zones: usize) {
        self.ingress.set_evacuated_zones(zones);
    }

    /// How many requests are quarantined, since replicas ended under them.
    pub fn set_quarantined_requests(&self, requests: usize) {
        self.ingress.set_quarantined_requests(requests);
    }

    /// Counts a refused request that may be served in some regions only.
    pub fn count_region_refusal(&self, regions: &str, reason: &str) {
        self.ingress.count_region_refusal(regions, reason);
    }

    /// What [`Self::count_region_refusal`] counted: regions, reason and count.
    pub fn region_refusals(&self) -> Vec<(String, String, u64)> {
        self.ingress.region_refusals()
    }

    /// Counts a peer's connection that was closed for what arrived on it.
    pub fn count_closed_connection(&self, reason: &str) {
        self.peers.count_closed(reason);
    }

    /// What counts the frames of one connection that a peer made.
    pub fn frame_meter(&self) -> FrameMeter {
        self.peers.frame_meter()
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// When a metric can't be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        self.dropped_lines.set(i64::try_from(logging::dropped_lines()).unwrap_or(i64::MAX));
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
