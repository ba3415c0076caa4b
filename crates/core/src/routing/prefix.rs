//! Tracks which prompt prefixes a replica probably has cached. This is only a hint: the engine evicts entries
//! without notice.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

/// Length of the prompt prefix, in bytes, that determines the prefix group.
const PREFIX_GROUP_BYTES: usize = 256;
/// Maximum number of prefix groups tracked for each replica.
const MAX_GROUPS: usize = 512;

/// Returns the prefix group of a prompt: a hash of its first 256 bytes.
pub fn prefix_group(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_GROUP_BYTES)])
}

/// The prefix groups most recently sent to a replica.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    uses: BTreeMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    use_count: u64,
}

impl PrefixHints {
    /// Records that a prompt of this group was sent to the replica.
    pub fn insert(&mut self, group: u64) {
        self.use_count += 1;
        self.uses.insert(group, self.use_count);
        self.order.push_back((group, self.use_count));
        while self.uses.len() > MAX_GROUPS || self.order.len() > 2 * MAX_GROUPS {
            self.evict_oldest();
        }
    }

    /// Whether the replica probably has this group cached.
    pub fn contains(&self, group: u64) -> bool {
        self.uses.contains_key(&group)
    }

    fn evict_oldest(&mut self) {
        let Some((group, used)) = self.order.pop_front() else { return };
        if self.uses.get(&group) == Some(&used) {
            self.uses.remove(&group);
        }
    }
}
