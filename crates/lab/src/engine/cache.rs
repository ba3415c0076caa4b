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

/// How the cache behaves.
#[derive(Clone, Debug)]
pub struct CacheConfig {
    /// Prompt blocks that fit.
    pub blocks: NonZeroUsize,
    /// How late events are published.
    pub event_lag: Duration,
    /// Every so many events one is lost; zero loses none.
    pub lose_every: u64,
}

impl Default for CacheConfig {
    fn default() -> Self {
        let blocks = NonZeroUsize::new(1_024).unwrap_or(NonZeroUsize::MIN);
        Self { blocks, event_lag: Duration::from_millis(500), lose_every: 17 }
    }
}

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
    config: CacheConfig,
    blocks: LruCache<u64, ()>,
    events: VecDeque<(Timestamp, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(config: CacheConfig) -> Self {
        let blocks = LruCache::new(config.blocks);
        Self { config, blocks, events: VecDeque::new(), next_sequence: 1 }
    }

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
        let published = |at: Timestamp| at + self.config.event_lag <= now;
        let chosen = self.events.iter().filter(|(at, event)| published(*at) && event.sequence > after);
        CacheEvents { events: chosen.map(|(_, event)| event.clone()).collect() }
    }

    fn record(&mut self, now: Timestamp, prefix: u64, cached: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let lost = self.config.lose_every != 0 && sequence.is_multiple_of(self.config.lose_every);
        if lost {
            return;
        }
        if self.events.len() == EVENT_BACKLOG {
            self.events.pop_front();
        }
        self.events.push_back((now, CacheEvent { sequence, prefix, cached }));
    }
}
