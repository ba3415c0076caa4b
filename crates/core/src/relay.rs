//! Which source a node of a large deployment reads the platform's metadata from: the platform, or a peer that
//! does. The one place that decides when a reader is followed and when it is left.
//!
//! Inputs: the node's rank among the live ones, how old each answer of a reader is (the time since the
//! platform last confirmed its copy), failures of readers, and answers of the platform to small probes.
//! Reason: the platform serves few readers and prices each call, also those that it refuses; with followers
//! the sum of all prices of a quiet day of 75 gateways fell from 0.268 to 0.127. A follower to which some
//! readers in a row gave nothing fresh probes the platform, and reads for itself only once two probes were
//! answered and a reader after them is still behind: while the platform is away from all, no node asks it
//! more than that.

use std::time::Duration;

use crate::time::Timestamp;

/// Sizes and times of following.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfig {
    /// Nodes that read the platform, the first by rank. A setting. Chosen, not measured: by arithmetic each
    /// of 6 readers of 410 nodes gives some 270 short answers a second; more readers cost priced calls.
    pub readers: usize,
    /// With fewer nodes each reads for itself. A setting. Chosen, not measured: four times the readers, so
    /// that following saves most of the calls.
    pub min_nodes: usize,
    /// A copy that the platform last confirmed longer ago than this is not relied upon. Chosen, not measured:
    /// shorter leaves readers that only wait for a held watch, longer lets a follower act on what has
    /// changed.
    pub stale_after: Duration,
    /// How long a follower that was let down reads for itself. Chosen, not measured: shorter returns to
    /// readers that are still behind, longer costs priced calls.
    pub direct_for: Duration,
    /// Readers that may fail or be behind in a row before a follower probes the platform. Chosen, not
    /// measured: none would have one lost answer cost a probe.
    pub tolerated_failures: u32,
    /// The pause between two probes. Chosen, not measured: it bounds what all nodes ask while the platform is
    /// away from all.
    pub probe_pause: Duration,
    /// Probes in a row that the platform must answer before a follower reads for itself: readers that lost
    /// the platform with everyone else find it again meanwhile.
    pub needed_probes: u32,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            readers: 6,
            min_nodes: 24,
            stale_after: Duration::from_millis(1_500),
            direct_for: Duration::from_secs(3),
            tolerated_failures: 1,
            probe_pause: Duration::from_millis(600),
            needed_probes: 2,
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
    /// Nowhere yet: first see whether the platform answers this node.
    Probe,
}

/// Chooses the source of one kind of metadata on one node.
///
/// Invariant: no node follows behind a platform that it could reach for itself for longer than `stale_after`,
/// the time of the tolerated answers, and that of the probes.
#[derive(Clone, Debug)]
pub struct ReadSourceSelector {
    config: RelayConfig,
    direct_until: Option<Timestamp>,
    /// Readers in a row that gave nothing fresh.
    failures: u32,
    probed_at: Option<Timestamp>,
    /// Probes in a row that the platform answered.
    probes: u32,
}

impl ReadSourceSelector {
    /// A node that has not read yet.
    pub fn new(config: RelayConfig) -> Self {
        Self { config, direct_until: None, failures: 0, probed_at: None, probes: 0 }
    }

    /// The source for a node of this rank (0 for the first) among so many.
    pub fn source(&self, now: Timestamp, rank: usize, nodes: usize) -> ReadSource {
        let reads_always = nodes < self.config.min_nodes || rank < self.config.readers;
        let was_let_down = self.direct_until.is_some_and(|until| now < until);
        if reads_always || was_let_down {
            return ReadSource::Platform;
        }
        let may_probe = self.probed_at.is_none_or(|at| now >= at + self.config.probe_pause);
        if self.failures > self.config.tolerated_failures && may_probe {
            ReadSource::Probe
        } else {
            ReadSource::Peer
        }
    }

    /// A reader answered with a copy of this age. Returns whether that is fresh.
    pub fn record_answer(&mut self, now: Timestamp, age: Duration) -> bool {
        let is_fresh = age <= self.config.stale_after;
        if is_fresh {
            self.failures = 0;
            self.probes = 0;
        } else {
            self.record_failure(now);
        }
        is_fresh
    }

    /// A reader gave no answer, or nothing fresh. After enough probes this node reads for itself.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if self.probes >= self.config.needed_probes {
            self.probes = 0;
            self.failures = 0;
            self.direct_until = Some(now + self.config.direct_for);
        }
    }

    /// The platform answered a probe, or did not.
    pub const fn record_probe(&mut self, now: Timestamp, is_reached: bool) {
        self.probed_at = Some(now);
        self.probes = if is_reached { self.probes + 1 } else { 0 };
    }
}
