//! The stream of decisions: kept in a short ring, sent to watchers, counted by reason, written to the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use lichenpulley_core::decision::Decision;
use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::operator::DecisionEvent;
use tokio::sync::broadcast;

use crate::metrics::Metrics;

/// Decisions that a slow watcher may fall behind before it loses some; the loss shows as a jump in `sequence`.
const WATCHER_BACKLOG: usize = 4_096;

/// Where parts record their decisions.
#[derive(Clone)]
pub struct DecisionLog {
    node: NodeId,
    sequence: Arc<AtomicU64>,
    sender: broadcast::Sender<DecisionEvent>,
    metrics: Metrics,
}

impl DecisionLog {
    /// A log for one node.
    pub fn new(node: NodeId, metrics: Metrics) -> Self {
        let (sender, _) = broadcast::channel(WATCHER_BACKLOG);
        Self { node, sequence: Arc::default(), sender, metrics }
    }

    /// Counts a decision and sends it to whoever watches.
    pub fn record(&self, decision: Decision) {
        self.metrics.count_decision(&decision);
        log::debug!(
            target: decision.component.as_str(),
            "{} {}: {}.", decision.action, decision.subject, decision.reason
        );
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let event =
            DecisionEvent { node: self.node.clone(), sequence, unix_ms: unix_milliseconds(), decision };
        // An error only says that nobody watches.
        let _ = self.sender.send(event);
    }

    /// Decisions from now on.
    pub fn watch(&self) -> broadcast::Receiver<DecisionEvent> {
        self.sender.subscribe()
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
