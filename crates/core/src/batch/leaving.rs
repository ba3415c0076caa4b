//! Decides when an owner hands the batch jobs over to a much more capable node.
//!
//! Inputs: the most capable other coordinator whose capacity is at least twice this node's, whether the
//! owner's authority is confirmed, and the time. Otherwise ownership is sticky: nodes of similar capacity
//! never take it from each other, since each change of owner costs the pause of a takeover.

use std::time::Duration;

use crate::identity::NodeId;
use crate::time::Timestamp;

/// How long a more capable node must be observed without interruption before the jobs are handed over to it.
/// Prevents ownership from following a node that comes and goes.
const LEAVE_AFTER: Duration = Duration::from_millis(2_000);

/// Tracks the presence of a more capable node.
#[derive(Clone, Debug, Default)]
pub struct LeaveMonitor {
    /// The more capable node and when it was first observed.
    preferred: Option<(NodeId, Timestamp)>,
}

impl LeaveMonitor {
    /// Returns whether the owner should hand over now. `preferred` is the more capable node, if there is one;
    /// a different node restarts the wait. Without confirmed authority the owner stays, because it could not
    /// commit its progress.
    pub fn poll(&mut self, preferred: Option<&NodeId>, is_confirmed: bool, now: Timestamp) -> bool {
        let Some(preferred) = preferred else {
            self.preferred = None;
            return false;
        };
        match &self.preferred {
            Some((node, since)) if node == preferred => {
                is_confirmed && now.saturating_since(*since) >= LEAVE_AFTER
            }
            _ => {
                self.preferred = Some((preferred.clone(), now));
                false
            }
        }
    }
}
