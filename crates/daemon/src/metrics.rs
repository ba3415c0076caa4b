//! Counters in the Prometheus text form.

use std::sync::Arc;

use lichenpulley_core::decision::Decision;
use lichenpulley_protocol::transport::{Direction, FrameMeter};
use prometheus::{IntCounter, IntCounterVec, Opts, Registry, TextEncoder};

/// A node's metrics. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    decisions: IntCounterVec,
    closed_connections: IntCounterVec,
    peer_frames: IntCounterVec,
    peer_bytes: IntCounterVec,
}

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
        Self { registry, decisions, closed_connections, peer_frames, peer_bytes }
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

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
    registry.register(Box::new(counters.clone())).expect("registered once");
    counters
}
