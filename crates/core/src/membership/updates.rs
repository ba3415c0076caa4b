//! Updates that ride on messages: each on a bounded number of them, and within a budget of bytes.

use std::collections::BTreeMap;

use super::config::Config;
use super::message::{ClaimedState, Message, Update};
use crate::identity::NodeId;
use crate::time::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The bytes of the shortest update: a node id of one letter, an incarnation and a tag.
const MIN_UPDATE_BYTES: usize = 14;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    bytes: usize,
    transmissions: u32,
}

/// Updates that have not been sent often enough, at most one for each member: the greatest.
#[derive(Clone, Debug)]
pub(super) struct UpdateQueue {
    queued: BTreeMap<NodeId, QueuedUpdate>,
    budget: ByteBudget,
}

impl UpdateQueue {
    pub(super) fn new(config: &Config, now: Timestamp) -> Self {
        Self { queued: BTreeMap::new(), budget: ByteBudget::new(config, now) }
    }

    /// Queues an update in place of an earlier one about the same member.
    pub(super) fn push(&mut self, update: Update) {
        let bytes = update.encoded_bytes();
        self.queued.insert(update.node.clone(), QueuedUpdate { update, bytes, transmissions: 0 });
    }

    /// Fills a message with updates as far as its room and the byte budget go. An update that has been sent `limit`
    /// times is dropped.
    pub(super) fn fill(&mut self, now: Timestamp, message: &mut Message, room: usize, limit: u32) {
        self.budget.refill(now);
        let mut room = room;
        for node in self.most_urgent(room.min(self.budget.available())) {
            let Some(queued) = self.queued.get_mut(&node) else { continue };
            if queued.bytes > room || message.updates.iter().any(|update| update.node == node) {
                continue;
            }
            // Nothing smaller overtakes an update that must wait for the budget, or refutations would starve
            // behind suspicions, which are shorter.
            if queued.bytes > self.budget.available() {
                return;
            }
            room -= queued.bytes;
            self.budget.spend(queued.bytes);
            message.updates.push(queued.update.clone());
            queued.transmissions += 1;
            if queued.transmissions >= limit {
                self.queued.remove(&node);
            }
        }
    }

    /// The updates that could fill `room` bytes and one more: the least sent first, refutations and joins before
    /// doubts.
    fn most_urgent(&self, room: usize) -> Vec<NodeId> {
        let mut nodes: Vec<_> = self.queued.iter().map(urgency).collect();
        let wanted = room / MIN_UPDATE_BYTES + 1;
        if wanted < nodes.len() {
            nodes.select_nth_unstable(wanted);
            nodes.truncate(wanted);
        }
        nodes.sort_unstable();
        nodes.into_iter().map(|(_, _, node)| node.clone()).collect()
    }
}

/// Sorts updates: less comes first.
fn urgency<'a>((node, queued): (&'a NodeId, &QueuedUpdate)) -> (u32, bool, &'a NodeId) {
    let is_doubt = !matches!(queued.update.state, ClaimedState::Alive { .. });
    (queued.transmissions, is_doubt, node)
}

/// A token bucket of bytes, kept in millionths of a byte so that no refill is rounded away.
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
        let earned = elapsed.saturating_mul(self.bytes_per_second);
        self.micro_bytes = self.micro_bytes.saturating_add(earned).min(self.maximum_micro_bytes);
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
