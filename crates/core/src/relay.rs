//! From where a node of a large deployment takes the platform's metadata: from the platform, or from a peer that does.
//!
//! The platform bears few readers and prices each call. So a few nodes read it, and the others follow one of them. A
//! follower's copy may be as old as its reader's last word from the platform: each answer tells that age, and one that
//! is too old sends the follower to the platform for itself.

use std::time::Duration;

use crate::time::Timestamp;

/// Sizes and times of following.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfig {
    /// Nodes that read the platform, the first by rank.
    pub readers: usize,
    /// With fewer nodes each reads for itself.
    pub least_nodes: usize,
    /// A copy that the platform last confirmed so long ago is not relied upon.
    pub stale_after: Duration,
    /// A follower that was let down reads for itself at least so long.
    pub direct_for: Duration,
    /// Readers that may fail in a row before a follower reads for itself.
    pub tolerated_failures: u32,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            readers: 6,
            least_nodes: 24,
            stale_after: Duration::from_millis(1_500),
            direct_for: Duration::from_secs(3),
            tolerated_failures: 1,
        }
    }
}

/// From where to read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// The platform.
    Platform,
    /// A node that reads it.
    Peer,
}

/// Chooses the source of one kind of metadata on one node.
///
/// Invariant: no node follows for longer than `stale_after`, and the time of one answer, behind a platform that it could
/// reach for itself.
#[derive(Clone, Debug)]
pub struct RelayChoice {
    config: RelayConfig,
    direct_until: Option<Timestamp>,
    failures: u32,
}

impl RelayChoice {
    /// A node that has not read yet.
    pub fn new(config: RelayConfig) -> Self {
        Self { config, direct_until: None, failures: 0 }
    }

    /// The source for a node of this rank (0 for the first) among so many.
    pub fn source(&self, now: Timestamp, rank: usize, nodes: usize) -> ReadSource {
        let reads_always = nodes < self.config.least_nodes || rank < self.config.readers;
        let was_let_down = self.direct_until.is_some_and(|until| now < until);
        if reads_always || was_let_down { ReadSource::Platform } else { ReadSource::Peer }
    }

    /// A reader answered with a copy of this age.
    pub fn answered(&mut self, now: Timestamp, age: Duration) {
        self.failures = 0;
        if age > self.config.stale_after {
            self.direct_until = Some(now + self.config.direct_for);
        }
    }

    /// A reader gave no answer.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures > self.config.tolerated_failures {
            self.failures = 0;
            self.direct_until = Some(now + self.config.direct_for);
        }
    }
}
