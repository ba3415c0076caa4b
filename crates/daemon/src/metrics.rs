//! Counters in the Prometheus text form.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::decision::Decision;
use lichenpulley_core::ingress::warmups::ColdCount;
use lichenpulley_protocol::transport::{Direction, FrameMeter};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::logging;
use crate::store::placement::PlacementMetrics;

/// A node's metrics. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    decisions: IntCounterVec,
    closed_connections: IntCounterVec,
    peer_frames: IntCounterVec,
    peer_bytes: IntCounterVec,
    latencies: HistogramVec,
    batch_items: IntGaugeVec,
    regional_items: IntGaugeVec,
    region_refusals: IntCounterVec,
    cold_replicas: IntGaugeVec,
    followed_bytes: IntGauge,
    placement: PlacementMetrics,
    evacuated_zones: IntGauge,
    quarantined_requests: IntGauge,
    pending_ends: IntGauge,
    dropped_lines: IntGauge,
}

/// What a latency is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// A plain request, from the time it was read whole to its answer.
    Request,
    /// A stream, to the head of its answer.
    StreamBegin,
    /// A run of an item of a batch job.
    ItemRun,
    /// An append to the log of the batch jobs.
    Append,
    /// An order to a replica, until it reports what was ordered.
    Order,
    /// A score request at one replica.
    Score,
}

impl Latency {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::StreamBegin => "stream_begin",
            Self::ItemRun => "item_run",
            Self::Append => "append",
            Self::Order => "order",
            Self::Score => "score",
        }
    }
}

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

impl Metrics {
    /// An empty set, for one node.
    ///
    /// # Panics
    /// Never: the names are constants that Prometheus accepts, each registered once.
    pub fn new() -> Self {
        let registry = Registry::new();
        let decisions = counters(
            &registry,
            "lichenpulley_decisions_total",
            "Decisions by component, action and reason",
            &["component", "action", "reason"],
        );
        let closed_connections = counters(
            &registry,
            "lichenpulley_peer_connections_closed_total",
            "Peers' connections closed for what arrived on them, by reason",
            &["reason"],
        );
        register_process(&registry);
        let peer_frames = counters(
            &registry,
            "lichenpulley_peer_frames_total",
            "Frames on connections that peers made to this node, by direction",
            &["direction"],
        );
        let peer_bytes = counters(
            &registry,
            "lichenpulley_peer_bytes_total",
            "Bytes of these frames, without TCP and IP headers, by direction",
            &["direction"],
        );
        let latencies = latencies(&registry);
        let batch_items = batch_items(&registry);
        let region_refusals = counters(
            &registry,
            "lichenpulley_region_refusals_total",
            "Requests refused that are bound to some regions, by these and by reason",
            &["regions", "reason"],
        );
        let regional_items = regional_items(&registry);
        let cold_replicas = cold_replicas(&registry);
        let followed_bytes = gauge(
            &registry,
            "lichenpulley_batch_followed_bytes",
            "Bytes of the batch jobs' log that the node which would own them next has followed",
        );
        let placement = PlacementMetrics::new(&registry).expect("valid names, registered once");
        let evacuated_zones = gauge(
            &registry,
            "lichenpulley_evacuated_zones",
            "Zones whose replicas this node sends nothing, as the operator asked",
        );
        let quarantined_requests = gauge(
            &registry,
            "lichenpulley_quarantined_requests",
            "Requests that this node keeps from all replicas, since replicas ended under them",
        );
        let pending_ends = gauge(
            &registry,
            "lichenpulley_pending_ends",
            "Ends of batch jobs that this node has read and that are not known to be kept",
        );
        let dropped_lines =
            gauge(&registry, "lichenpulley_log_lines_dropped", "Lines of the log that were dropped");
        Self {
            registry,
            decisions,
            closed_connections,
            peer_frames,
            peer_bytes,
            latencies,
            batch_items,
            regional_items,
            region_refusals,
            cold_replicas,
            followed_bytes,
            placement,
            evacuated_zones,
            quarantined_requests,
            pending_ends,
            dropped_lines,
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
        self.latencies.with_label_values(&[latency.as_str(), outcome]).observe(took.as_secs_f64());
    }

    /// How many items of batch jobs run and wait at this node's owner, of the main shard or of one of some regions.
    pub fn set_batch_items(&self, shard: Option<&str>, running: usize, waiting: usize) {
        let set = |state: &str, count: usize| {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            match shard {
                None => self.batch_items.with_label_values(&[state]).set(count),
                Some(shard) => self.regional_items.with_label_values(&[shard, state]).set(count),
            }
        };
        set("running", running);
        set("waiting", waiting);
    }

    /// What the log of the batch jobs bears.
    pub fn placement(&self) -> &PlacementMetrics {
        &self.placement
    }

    /// How many replicas are cold for this gateway, and to how many of them it may send.
    pub fn set_cold_replicas(&self, count: ColdCount) {
        let set = |share: &str, count: usize| {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.cold_replicas.with_label_values(&[share]).set(count);
        };
        set("own", count.own);
        set("none", count.cold - count.own);
    }

    /// How many bytes of the batch jobs' log this node has followed; none where another would own next.
    pub fn set_followed_bytes(&self, bytes: usize) {
        self.followed_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts a refused request that may be served in some regions only.
    pub fn count_region_refusal(&self, regions: &str, reason: &str) {
        self.region_refusals.with_label_values(&[regions, reason]).inc();
    }

    /// What [`Self::count_region_refusal`] counted: regions, reason and count.
    pub fn region_refusals(&self) -> Vec<(String, String, u64)> {
        let families = prometheus::core::Collector::collect(&self.region_refusals);
        let metrics = families.iter().flat_map(|family| family.get_metric());
        let read = |metric: &prometheus::proto::Metric| {
            let label = |name: &str| {
                let label = metric.get_label().iter().find(|label| label.name() == name);
                label.map(|label| label.value().to_owned()).unwrap_or_default()
            };
            (label("regions"), label("reason"), metric.get_counter().get_value() as u64)
        };
        metrics.map(read).collect()
    }

    /// How many zones are evacuated, as this node knows them.
    pub fn set_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.set(i64::try_from(zones).unwrap_or(i64::MAX));
    }

    /// How many requests are held back, since replicas ended under them.
    pub fn set_quarantined_requests(&self, requests: usize) {
        self.quarantined_requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Says how many ends of batch jobs are held.
    pub fn set_pending_ends(&self, ends: usize) {
        self.pending_ends.set(i64::try_from(ends).unwrap_or(i64::MAX));
    }

    /// Counts a peer's connection that was closed for what arrived on it.
    pub fn count_closed_connection(&self, reason: &str) {
        self.closed_connections.with_label_values(&[reason]).inc();
    }

    /// What counts the frames of one connection that a peer made.
    pub fn frame_meter(&self) -> FrameMeter {
        let received = FrameCounters::new(self, "received");
        let sent = FrameCounters::new(self, "sent");
        Arc::new(move |direction, bytes| match direction {
            Direction::Received => received.count(bytes),
            Direction::Sent => sent.count(bytes),
        })
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

/// Processor time, memory and open files of the process, under the names that every Prometheus client uses. The
/// budget of control (docs/CAPACITY.md) is watched by them.
#[cfg(target_os = "linux")]
fn register_process(registry: &Registry) {
    let process = prometheus::process_collector::ProcessCollector::for_self();
    registry.register(Box::new(process)).expect("registered once");
}

#[cfg(not(target_os = "linux"))]
fn register_process(_registry: &Registry) {}

/// Counters of one direction, looked up once for each connection.
struct FrameCounters {
    frames: IntCounter,
    bytes: IntCounter,
}

impl FrameCounters {
    fn new(metrics: &Metrics, direction: &str) -> Self {
        Self {
            frames: metrics.peer_frames.with_label_values(&[direction]),
            bytes: metrics.peer_bytes.with_label_values(&[direction]),
        }
    }

    fn count(&self, bytes: usize) {
        self.frames.inc();
        self.bytes.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }
}

fn latencies(registry: &Registry) -> HistogramVec {
    let options =
        HistogramOpts::new("lichenpulley_latency_seconds", "Latencies by what they are of and their outcome");
    let options = options.buckets(LATENCY_BOUNDS.to_vec());
    let latencies = HistogramVec::new(options, &["of", "outcome"]).expect("a valid name");
    registry.register(Box::new(latencies.clone())).expect("registered once");
    latencies
}

fn batch_items(registry: &Registry) -> IntGaugeVec {
    let options = Opts::new("lichenpulley_batch_items", "Items of batch jobs at their owner, by state");
    let items = IntGaugeVec::new(options, &["state"]).expect("a valid name");
    registry.register(Box::new(items.clone())).expect("registered once");
    items
}

fn regional_items(registry: &Registry) -> IntGaugeVec {
    let options = Opts::new(
        "lichenpulley_regional_batch_items",
        "Items of batch jobs that are bound to some regions at their owner, by shard and state",
    );
    let items = IntGaugeVec::new(options, &["shard", "state"]).expect("a valid name");
    registry.register(Box::new(items.clone())).expect("registered once");
    items
}

fn cold_replicas(registry: &Registry) -> IntGaugeVec {
    let help = "Cold replicas, by whether this gateway has a share of what they bear";
    let options = Opts::new("lichenpulley_cold_replicas", help);
    let replicas = IntGaugeVec::new(options, &["share"]).expect("a valid name");
    registry.register(Box::new(replicas.clone())).expect("registered once");
    replicas
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid name");
    registry.register(Box::new(gauge.clone())).expect("registered once");
    gauge
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
    registry.register(Box::new(counters.clone())).expect("registered once");
    counters
}
