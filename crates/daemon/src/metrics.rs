//! Counters in the Prometheus text form.

use lichenpulley_core::decision::Decision;
use prometheus::{IntCounterVec, Opts, Registry, TextEncoder};

/// A node's metrics. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    decisions: IntCounterVec,
}

impl Metrics {
    /// An empty set, for one node.
    ///
    /// # Panics
    /// Never: the names are constants that Prometheus accepts, each registered once.
    pub fn new() -> Self {
        let registry = Registry::new();
        let options = Opts::new("lichenpulley_decisions_total", "Decisions by component, action and reason");
        let decisions =
            IntCounterVec::new(options, &["component", "action", "reason"]).expect("a valid name");
        registry.register(Box::new(decisions.clone())).expect("registered once");
        Self { registry, decisions }
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
