//! Tells when decisions of a watched node were missed.
//!
//! Owns the last number of each node. Numbers that begin anew mean that the node was started again.

use std::collections::BTreeMap;

use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::operator::DecisionEvent;

/// What a watcher missed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gap {
    /// So many decisions of a node were made and not seen.
    Lost {
        /// The node.
        node: NodeId,
        /// How many.
        count: u64,
    },
    /// The node began to count anew, so it was started again; how many were missed is not known.
    Restarted {
        /// The node.
        node: NodeId,
    },
}

/// The last sequence number seen of each node.
#[derive(Debug, Default)]
pub struct SequenceTracker {
    last_seen: BTreeMap<NodeId, u64>,
}

impl SequenceTracker {
    /// Notes an event and tells what was missed before it. The first event of a node is never a gap.
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
