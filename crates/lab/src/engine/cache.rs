//! The prefix cache: a limited number of prompt blocks, the least recently used evicted first, with events that
//! are published late and with gaps.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::{CacheEvent, CacheEvents, prefix_hashes};
use lru::LruCache;

/// Events kept for readers.
const EVENT_BACKLOG: usize = 1_024;

/// Prompt blocks that fit. Chosen, not measured: small enough that blocks are evicted under load.
const BLOCKS: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();
/// How late events are published. Chosen, not measured: a router's view of the cache is never that of now.
const EVENT_LAG: Duration = Duration::from_millis(500);
/// Every so many events one is lost. Chosen, not measured: a reader has to live with gaps.
const LOSE_EVERY: u64 = 17;

/// Blocks of one prompt as the cache saw them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheLookup {
    /// Blocks looked up.
    pub blocks: u64,
    /// Leading blocks that were cached.
    pub cached: u64,
}

/// A prefix cache.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: LruCache<u64, ()>,
    events: VecDeque<(Timestamp, CacheEvent)>,
    next_sequence: u64,
}

impl Default for PrefixCache {
    /// An empty cache.
    fn default() -> Self {
        Self { blocks: LruCache::new(BLOCKS), events: VecDeque::new(), next_sequence: 1 }
    }
}

impl PrefixCache {
    /// Looks the prompt's blocks up and then caches all of them.
    pub fn admit(&mut self, now: Timestamp, prompt: &str) -> CacheLookup {
        let mut lookup = CacheLookup::default();
        for prefix in prefix_hashes(prompt) {
            let all_before_cached = lookup.cached == lookup.blocks;
            lookup.blocks += 1;
            if self.touch(now, prefix) && all_before_cached {
                lookup.cached += 1;
            }
        }
        lookup
    }

    /// Marks a block as used; true where it was cached.
    fn touch(&mut self, now: Timestamp, prefix: u64) -> bool {
        if self.blocks.get(&prefix).is_some() {
            return true;
        }
        let evicted = self.blocks.push(prefix, ());
        if let Some((evicted, ())) = evicted {
            self.record(now, evicted, false);
        }
        self.record(now, prefix, true);
        false
    }

    /// Empties the cache: other weights make the cached keys and values worthless.
    pub fn clear(&mut self, now: Timestamp) {
        while let Some((prefix, ())) = self.blocks.pop_lru() {
            self.record(now, prefix, false);
        }
    }

    /// Events after `after` that are old enough to be published.
    pub fn events(&self, now: Timestamp, after: u64) -> CacheEvents {
        let published = |at: Timestamp| at + EVENT_LAG <= now;
        let chosen = self.events.iter().filter(|(at, event)| published(*at) && event.sequence > after);
        CacheEvents { events: chosen.map(|(_, event)| event.clone()).collect() }
    }

    fn record(&mut self, now: Timestamp, prefix: u64, cached: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if sequence.is_multiple_of(LOSE_EVERY) {
            return;
        }
        if self.events.len() == EVENT_BACKLOG {
            self.events.pop_front();
        }
        self.events.push_back((now, CacheEvent { sequence, prefix, cached }));
    }
}
