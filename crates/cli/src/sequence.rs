//! Detects gaps in the sequence numbers of the decisions of each watched node.
//!
//! A sequence number that is lower than expected means that the node was restarted.

use std::collections::BTreeMap;

use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::operator::DecisionEvent;

/// A gap in the decisions of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gap {
    /// Decisions were made but not received.
    Lost {
        /// The node.
        node: NodeId,
        /// Number of missing decisions.
        count: u64,
    },
    /// The node restarted its numbering, so the number of missing decisions is unknown.
    Restarted {
        /// The node.
        node: NodeId,
    },
}

/// Tracks the last sequence number of each node.
#[derive(Debug, Default)]
pub struct SequenceTracker {
    last_seen: BTreeMap<NodeId, u64>,
}

impl SequenceTracker {
    /// Records an event and returns the gap before it, if any. The first event of a node has no gap.
    pub fn observe(&mut self, event: &DecisionEvent) -> Option<Gap> {
        let previous = self.last_seen.insert(event.node.clone(), event.sequence)?;
        let expected = previous + 1;
        let node = event.node.clone();
        if event.sequence > expected {
            return Some(Gap::Lost { node, count: event.sequence - expected });
        }
        (event.sequence < expected).then_some(Gap::Restarted { node })
    }
}
