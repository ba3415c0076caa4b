//! Metrics of a node, exported in the Prometheus text format.
//!
//! [`Metrics`] is one handle for the whole node. Each submodule defines the metrics of one subject; their names and labels
//! are stable, since operators' dashboards use them. Depends only on `logging`, for its count of dropped lines, so that every
//! other subsystem can use it.

mod batch;
mod ingress;
mod latency;
mod peers;
mod placement;
mod registration;

use std::time::Duration;

use lichenpulley_core::batch::controller::ReuseCounts;
use lichenpulley_core::batch::queue_report::QueueReport;
use lichenpulley_core::decision::Decision;
use lichenpulley_core::ingress::warmups::ColdCount;
use lichenpulley_core::retry::early_moves::{EarlyMoveDenial, EarlyMoveResult};
use lichenpulley_protocol::operator::RegionRefusals;
use lichenpulley_protocol::transport::FrameMeter;
use prometheus::{IntCounterVec, IntGauge, Registry, TextEncoder};

use crate::logging;
use batch::BatchMetrics;
use ingress::IngressMetrics;
pub use latency::Latency;
use latency::LatencyMetrics;
use peers::PeerMetrics;
pub use placement::PlacementMetrics;

/// Metrics of a node. Cheap to clone; clones share all metrics.
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
    /// Creates and registers all metrics of a node.
    ///
    /// # Panics
    /// Never panics: the names are valid constants, each registered once.
    pub fn new() -> Self {
        let registry = Registry::new();
        registration::register_process_metrics(&registry);
        Self {
            decisions: registration::counter_vec(
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

    /// Returns the registry, for subsystems that register their own metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a decision by component, action and reason.
    pub fn count_decision(&self, decision: &Decision) {
        let labels = [decision.component.as_str(), &decision.action, &decision.reason];
        self.decisions.with_label_values(&labels).inc();
    }

    /// Records a latency; `outcome` must have few distinct values, since each makes a time series.
    pub fn observe(&self, latency: Latency, outcome: &str, elapsed: Duration) {
        self.latencies.observe(latency, outcome, elapsed);
    }

    /// Sets the number of running and waiting batch items of a shard that this node owns; `None` is the main shard.
    pub fn set_batch_items(&self, shard: Option<&str>, running: usize, waiting: usize) {
        self.batch.set_items(shard, running, waiting);
    }

    /// Counts items of batch jobs that used the text of an earlier job.
    pub fn count_reused_items(&self, counts: ReuseCounts) {
        self.batch.count_reused_items(counts);
    }

    /// Sets the waiting work of a shard that this node owns; `None` is the main shard.
    pub fn set_batch_queue(&self, shard: Option<&str>, report: &QueueReport) {
        self.batch.set_queue(shard, report);
    }

    /// Sets the bytes of the batch log that this node has followed; 0 if it is not the next candidate.
    pub fn set_followed_bytes(&self, bytes: usize) {
        self.batch.set_followed_bytes(bytes);
    }

    /// Sets the number of ends of batch jobs that this node has read and does not know to be committed.
    pub fn set_pending_ends(&self, ends: usize) {
        self.batch.set_pending_ends(ends);
    }

    /// Returns the metrics of the replica sets of the batch logs.
    pub fn placement(&self) -> &PlacementMetrics {
        &self.placement
    }

    /// Sets the number of cold replicas, and the number of those that this gateway may send to.
    pub fn set_cold_replicas(&self, count: ColdCount) {
        self.ingress.set_cold_replicas(count);
    }

    /// Sets the number of evacuated zones in the view of this node.
    pub fn set_evacuated_zones(&self, zones: usize) {
        self.ingress.set_evacuated_zones(zones);
    }

    /// Sets the number of quarantined requests.
    pub fn set_quarantined_requests(&self, requests: usize) {
        self.ingress.set_quarantined_requests(requests);
    }

    /// Sets the memory that request bodies hold, in bytes.
    pub fn set_request_body_bytes(&self, bytes: u64) {
        self.ingress.set_request_body_bytes(bytes);
    }

    /// Sets the number of bytes kept for callers that have not read them.
    pub fn set_unread_answer_bytes(&self, bytes: u64) {
        self.ingress.set_unread_answer_bytes(bytes);
    }

    /// Counts a refused request that is restricted to some regions.
    pub fn count_region_refusal(&self, regions: &str, reason: &str) {
        self.ingress.count_region_refusal(regions, reason);
    }

    /// Counts a refused request of a caller.
    pub fn count_refusal(&self, reason: &str) {
        self.ingress.count_refusal(reason);
    }

    /// Counts a plain request that moved early, once it has ended.
    pub fn count_early_move(&self, result: EarlyMoveResult) {
        self.ingress.count_early_move(result);
    }

    /// Counts an overdue plain request that did not move early.
    pub fn count_early_move_denial(&self, denial: EarlyMoveDenial) {
        self.ingress.count_early_move_denial(denial);
    }

    /// Returns the counts of [`Self::count_region_refusal`].
    pub fn region_refusals(&self) -> Vec<RegionRefusals> {
        self.ingress.region_refusals()
    }

    /// Counts a question for base latencies to the owner of the batch jobs.
    pub fn count_shared_base_question(&self, answer: &str) {
        self.ingress.count_shared_base_question(answer);
    }

    /// Counts a request before which the load of two replicas was queried.
    pub fn count_probes(&self, result: &str) {
        self.ingress.count_probes(result);
    }

    /// Counts a peer's connection that was closed because of an error on it.
    pub fn count_closed_connection(&self, reason: &str) {
        self.peers.count_closed(reason);
    }

    /// Returns a meter that counts the frames of one incoming peer connection.
    pub fn frame_meter(&self) -> FrameMeter {
        self.peers.frame_meter()
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns an error if a metric can't be encoded.
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
