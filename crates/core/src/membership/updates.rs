//! Queue of updates to piggyback on messages, with a limit on transmissions per update and a byte budget.

use std::collections::BTreeMap;

use super::config::Config;
use super::message::{ClaimedState, Message, Update};
use crate::identity::NodeId;
use crate::time::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Minimum encoded size of an update, in bytes: a node id of one letter, an incarnation and a tag.
const MIN_UPDATE_BYTES: usize = 14;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    bytes: usize,
    transmissions: u32,
}

/// Updates below their transmission limit, at most one per member: the one with the greatest claim.
#[derive(Clone, Debug)]
pub(super) struct UpdateQueue {
    queued: BTreeMap<NodeId, QueuedUpdate>,
    budget: ByteBudget,
}

impl UpdateQueue {
    pub(super) fn new(config: &Config, now: Timestamp) -> Self {
        Self { queued: BTreeMap::new(), budget: ByteBudget::new(config, now) }
    }

    /// Queues an update, replacing an earlier one about the same member.
    pub(super) fn push(&mut self, update: Update) {
        let bytes = update.encoded_bytes();
        self.queued.insert(update.node.clone(), QueuedUpdate { update, bytes, transmissions: 0 });
    }

    /// Adds updates to a message within its remaining space and the byte budget. Removes an update from the queue
    /// once it has been sent `limit` times.
    pub(super) fn fill(&mut self, now: Timestamp, message: &mut Message, remaining_bytes: usize, limit: u32) {
        self.budget.refill(now);
        let mut remaining_bytes = remaining_bytes;
        for node in self.highest_priority(remaining_bytes.min(self.budget.available())) {
            let Some(queued) = self.queued.get_mut(&node) else { continue };
            if queued.bytes > remaining_bytes || message.updates.iter().any(|update| update.node == node) {
                continue;
            }
            // Stops at the first update that exceeds the budget. Otherwise suspicions, which are shorter, would
            // starve refutations.
            if queued.bytes > self.budget.available() {
                return;
            }
            remaining_bytes -= queued.bytes;
            self.budget.spend(queued.bytes);
            message.updates.push(queued.update.clone());
            queued.transmissions += 1;
            if queued.transmissions >= limit {
                self.queued.remove(&node);
            }
        }
    }

    /// Returns the members with the highest-priority updates, enough to fill `remaining_bytes`: fewest
    /// transmissions first, then alive claims before other claims.
    fn highest_priority(&self, remaining_bytes: usize) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.queued.iter().map(priority_key).collect();
        let count = remaining_bytes / MIN_UPDATE_BYTES + 1;
        if count < nodes.len() {
            nodes.select_nth_unstable(count);
            nodes.truncate(count);
        }
        nodes.sort_unstable();
        nodes.into_iter().map(|(_, _, node)| node.clone()).collect()
    }
}

/// Returns the sort key of an update; lower keys are sent first.
fn priority_key<'a>((node, queued): (&'a NodeId, &QueuedUpdate)) -> (u32, bool, &'a NodeId) {
    let is_adverse = !matches!(queued.update.state, ClaimedState::Alive { .. });
    (queued.transmissions, is_adverse, node)
}

/// A token bucket for bytes, counted in millionths of a byte so that small refills are not lost to rounding.
#[derive(Clone, Debug)]
struct ByteBudget {
    micro_bytes: u64,
    maximum_micro_bytes: u64,
    bytes_per_second: u64,
    refilled_at: Timestamp,
}

impl ByteBudget {
    fn new(config: &Config, now: Timestamp) -> Self {
        let maximum = u64::from(config.update_burst_bytes) * MICROS_PER_SECOND;
        Self {
            micro_bytes: maximum,
            maximum_micro_bytes: maximum,
            bytes_per_second: u64::from(config.update_bytes_per_second),
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.as_micros().saturating_sub(self.refilled_at.as_micros());
        let refilled = elapsed.saturating_mul(self.bytes_per_second);
        self.micro_bytes = self.micro_bytes.saturating_add(refilled).min(self.maximum_micro_bytes);
        self.refilled_at = now;
    }

    fn available(&self) -> usize {
        usize::try_from(self.micro_bytes / MICROS_PER_SECOND).unwrap_or(usize::MAX)
    }

    fn spend(&mut self, bytes: usize) {
        let spent = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_mul(MICROS_PER_SECOND);
        self.micro_bytes = self.micro_bytes.saturating_sub(spent);
    }
}
