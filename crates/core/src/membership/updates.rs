//! Updates that ride on messages: each on a bounded number of them, and within a budget of bytes.

use std::collections::BTreeMap;

use super::config::Config;
use super::message::{Message, Update};
use crate::identity::NodeId;
use crate::time::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

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

    /// Fills a message with updates, the least sent first, as far as its room and the byte budget go. An update
    /// that has been sent `limit` times is dropped.
    pub(super) fn fill(&mut self, now: Timestamp, message: &mut Message, room: usize, limit: u32) {
        if self.queued.is_empty() {
            return;
        }
        self.budget.refill(now);
        let mut room = room.min(self.budget.available());
        for node in self.least_sent_first() {
            let Some(queued) = self.queued.get_mut(&node) else { continue };
            if queued.bytes > room || message.updates.iter().any(|update| update.node == node) {
                continue;
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

    fn least_sent_first(&self) -> Vec<NodeId> {
        let mut nodes: Vec<_> =
            self.queued.iter().map(|(node, queued)| (queued.transmissions, node)).collect();
        nodes.sort_unstable();
        nodes.into_iter().map(|(_, node)| node.clone()).collect()
    }
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
