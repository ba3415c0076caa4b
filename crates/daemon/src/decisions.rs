//! Publishes decisions: writes them to the log, counts them by reason and broadcasts them to watchers.
//!
//! Assigns the sequence numbers of this node's decisions. Imports `metrics` for the counters and no other module of
//! the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::operator::DecisionEvent;
use log::kv::{Key, Value, VisitSource};
use tokio::sync::broadcast;

use crate::metrics::Metrics;
use lichenpulley_core::time::whole_millis;

/// Number of decisions buffered for slow watchers. A watcher that falls further behind loses the oldest ones and
/// sees a gap in `sequence`.
const WATCHER_BACKLOG: usize = 4_096;

/// Records the decisions of a node's modules. Cheap to clone.
#[derive(Clone)]
pub struct DecisionLog {
    node: NodeId,
    sequence: Arc<AtomicU64>,
    sender: broadcast::Sender<DecisionEvent>,
    metrics: Metrics,
}

impl DecisionLog {
    /// Creates a log for one node.
    pub fn new(node: NodeId, metrics: Metrics) -> Self {
        let (sender, _) = broadcast::channel(WATCHER_BACKLOG);
        Self { node, sequence: Arc::default(), sender, metrics }
    }

    /// Counts and logs a decision and sends it to all watchers.
    pub fn record(&self, decision: Decision) {
        self.metrics.count_decision(&decision);
        log_decision(&decision);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let event =
            DecisionEvent { node: self.node.clone(), sequence, unix_ms: unix_milliseconds(), decision };
        // Sending fails only if there are no watchers.
        let _ = self.sender.send(event);
    }

    /// Subscribes to the decisions recorded from now on.
    pub fn watch(&self) -> broadcast::Receiver<DecisionEvent> {
        self.sender.subscribe()
    }
}

/// Logs a decision as one line, with its subject, reason and inputs as fields.
fn log_decision(decision: &Decision) {
    let target = decision.component.as_str();
    let level = log_level(decision);
    if log::log_enabled!(target: target, level) {
        log::logger().log(
            &log::Record::builder()
                .level(level)
                .target(target)
                .key_values(&DecisionFields(decision))
                .args(format_args!("{}", decision.action))
                .build(),
        );
    }
}

/// Returns the log level of a decision: debug for the routine decisions of each request or probe, else info.
fn log_level(decision: &Decision) -> log::Level {
    match (decision.component, decision.action.as_str()) {
        (Component::Routing, "replica_cold") => log::Level::Info,
        (Component::Routing | Component::Membership, _) => log::Level::Debug,
        _ => log::Level::Info,
    }
}

struct DecisionFields<'a>(&'a Decision);

impl log::kv::Source for DecisionFields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), log::kv::Error> {
        visitor.visit_pair(Key::from("id"), Value::from(self.0.subject.as_str()))?;
        visitor.visit_pair(Key::from("reason"), Value::from(self.0.reason.as_str()))?;
        for input in &self.0.inputs {
            visitor.visit_pair(Key::from_str(&input.name), Value::from(input.value.as_str()))?;
        }
        Ok(())
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_milliseconds() -> u64 {
    // A clock set before the epoch counts as the epoch.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    whole_millis(since_epoch)
}
