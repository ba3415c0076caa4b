//! Which prompt prefixes a replica probably has in its cache. A hint, never a promise: cache events come late
//! and with gaps, and the engine evicts as it likes.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt that make its prefix group. Chosen, not measured: fewer join prompts that share little.
const PREFIX_GROUP_BYTES: usize = 256;
/// Prefix groups remembered for each replica. Chosen, not measured: fewer forget what the replica still
/// caches.
const MAX_GROUPS: usize = 512;

/// The group of prompts that share their first 256 bytes.
pub fn prefix_group(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_GROUP_BYTES)])
}

/// The groups that a replica was sent of late.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    uses: BTreeMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl PrefixHints {
    /// Notes that the replica was sent this group.
    pub fn insert(&mut self, group: u64) {
        self.clock += 1;
        self.uses.insert(group, self.clock);
        self.order.push_back((group, self.clock));
        while self.uses.len() > MAX_GROUPS || self.order.len() > 2 * MAX_GROUPS {
            self.forget_oldest();
        }
    }

    /// Whether the replica probably has this group.
    pub fn contains(&self, group: u64) -> bool {
        self.uses.contains_key(&group)
    }

    fn forget_oldest(&mut self) {
        let Some((group, used)) = self.order.pop_front() else { return };
        if self.uses.get(&group) == Some(&used) {
            self.uses.remove(&group);
        }
    }
}
