//! Counts the decisions of a system's nodes and keeps one example of each kind.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_daemon::node::Node;
use lichenpulley_protocol::operator::DecisionEvent;
use serde::Serialize;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;
use tokio::task::JoinSet;

use crate::locked::lock;

/// What was done and why; decisions that agree in these are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct DecisionKind {
    /// Which part decided.
    pub component: Component,
    /// What was done.
    pub action: String,
    /// Why.
    pub reason: String,
}

/// Decisions of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionCount {
    /// What was done and why.
    #[serde(flatten)]
    pub kind: DecisionKind,
    /// How often.
    pub count: u64,
    /// The first of them.
    pub example: Decision,
}

/// Watches nodes until it is dropped.
pub struct DecisionTally {
    counts: Arc<Mutex<BTreeMap<DecisionKind, DecisionCount>>>,
    _readers: JoinSet<()>,
}

impl DecisionTally {
    /// Begins to watch.
    pub fn watch(nodes: &[Node]) -> Self {
        let counts = Arc::default();
        let mut readers = JoinSet::new();
        for node in nodes {
            readers.spawn(read(node.context().decisions.watch(), Arc::clone(&counts)));
        }
        Self { counts, _readers: readers }
    }

    /// What was counted so far, by component, action and reason.
    pub fn counts(&self) -> Vec<DecisionCount> {
        lock(&self.counts).values().cloned().collect()
    }
}

async fn read(
    mut events: Receiver<DecisionEvent>,
    counts: Arc<Mutex<BTreeMap<DecisionKind, DecisionCount>>>,
) {
    loop {
        match events.recv().await {
            Ok(event) => count(&mut lock(&counts), event.decision),
            // Some are not counted; the summary shows kinds, not exact numbers.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn count(counts: &mut BTreeMap<DecisionKind, DecisionCount>, decision: Decision) {
    let kind = DecisionKind {
        component: decision.component,
        action: decision.action.clone(),
        reason: decision.reason.clone(),
    };
    let entry =
        counts.entry(kind.clone()).or_insert_with(|| DecisionCount { kind, count: 0, example: decision });
    entry.count += 1;
}
