//! Selects whether a node reads metadata from the platform or from a peer.
//!
//! In a large deployment only a few nodes, the readers, read the platform, because it supports few readers and
//! charges for each call. The other nodes, the followers, read from a reader. If several readers in a row fail
//! or return stale copies, a follower probes the platform. It reads the platform directly only after the
//! required probes have succeeded and a further reader is still behind. During an outage of the platform,
//! followers therefore send it nothing but the rate-limited probes.

use std::time::Duration;

use crate::time::Timestamp;

/// Settings of the read source selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfig {
    /// Minimum number of nodes, by rank, that always read the platform.
    pub readers: usize,
    /// Maximum average number of nodes that follow one reader. The work of a reader therefore does not grow with the
    /// deployment.
    pub max_followers: usize,
    /// Minimum number of nodes for following. In smaller deployments all nodes read the platform.
    pub min_nodes: usize,
    /// Age above which a copy is stale, measured from its last confirmation by the platform.
    pub stale_after: Duration,
    /// How long a follower reads the platform directly after its readers were stale.
    pub direct_read_duration: Duration,
    /// Number of consecutive reader failures that a follower tolerates before it probes the platform.
    pub tolerated_failures: u32,
    /// Minimum interval between probes. Limits the load on the platform during an outage.
    pub probe_interval: Duration,
    /// How long a node must rank among the readers before it reads a list of several pages from the platform. Nodes
    /// that start together know few of the others and would all rank themselves among the first.
    pub settle_time: Duration,
    /// Number of consecutive successful probes required before a follower reads the platform directly. Gives
    /// readers time to recover after an outage of the platform.
    pub required_probes: u32,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            readers: 6,
            max_followers: 64,
            min_nodes: 24,
            stale_after: Duration::from_millis(1_500),
            direct_read_duration: Duration::from_secs(3),
            tolerated_failures: 1,
            probe_interval: Duration::from_millis(600),
            settle_time: Duration::from_millis(1_500),
            required_probes: 2,
        }
    }
}

impl RelayConfig {
    /// Returns the number of readers among this many nodes.
    pub fn readers_among(&self, nodes: usize) -> usize {
        self.readers.max(nodes.div_ceil(self.max_followers.max(1)))
    }
}

/// Where to read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// The platform.
    Platform,
    /// A reader.
    Peer,
    /// Nowhere yet; probe the platform first.
    Probe,
}

/// Selects the read source for one kind of metadata on one node.
///
/// Invariant: if the node can reach the platform, it uses stale copies for no longer than `stale_after` plus the
/// time of the tolerated failures and the required probes. Of a list with several pages it may use a stale copy for
/// as long as no reader reaches the platform.
#[derive(Clone, Debug)]
pub struct ReadSourceSelector {
    config: RelayConfig,
    direct_until: Option<Timestamp>,
    /// Consecutive readers that failed or returned stale copies.
    failures: u32,
    probed_at: Option<Timestamp>,
    /// Consecutive successful probes.
    successful_probes: u32,
    /// Whether the list has several pages.
    is_list_long: bool,
    /// Since when the node ranks among the readers.
    ranked_since: Option<Timestamp>,
}

impl ReadSourceSelector {
    /// Creates a selector for a node that has not read yet.
    pub fn new(config: RelayConfig) -> Self {
        Self {
            config,
            direct_until: None,
            failures: 0,
            probed_at: None,
            successful_probes: 0,
            is_list_long: false,
            ranked_since: None,
        }
    }

    /// Records whether the list has several pages. If so, only readers read it from the platform: if overloaded readers
    /// made their followers read it themselves, the platform and the followers would be overloaded as well.
    pub const fn set_long_list(&mut self, is_long: bool) {
        self.is_list_long = is_long;
    }

    /// Records the node's zero-based rank among the live nodes.
    pub fn observe_rank(&mut self, now: Timestamp, rank: usize, nodes: usize) {
        let since = self.ranked_since.unwrap_or(now);
        self.ranked_since = self.ranks_among_readers(rank, nodes).then_some(since);
    }

    fn ranks_among_readers(&self, rank: usize, nodes: usize) -> bool {
        nodes < self.config.min_nodes || rank < self.config.readers_among(nodes)
    }

    /// Whether the node has ranked among the readers for long enough to read a list of several pages.
    fn is_settled_reader(&self, now: Timestamp) -> bool {
        self.ranked_since.is_some_and(|since| now >= since + self.config.settle_time)
    }

    /// Returns the source for the node with a zero-based rank among the live nodes.
    pub fn source(&self, now: Timestamp, rank: usize, nodes: usize) -> ReadSource {
        let reads_always = self.ranks_among_readers(rank, nodes);
        if self.is_list_long {
            return if reads_always && self.is_settled_reader(now) {
                ReadSource::Platform
            } else {
                ReadSource::Peer
            };
        }
        let reads_directly = self.direct_until.is_some_and(|until| now < until);
        if reads_always || reads_directly {
            return ReadSource::Platform;
        }
        let may_probe = self.probed_at.is_none_or(|at| now >= at + self.config.probe_interval);
        if self.failures > self.config.tolerated_failures && may_probe {
            ReadSource::Probe
        } else {
            ReadSource::Peer
        }
    }

    /// Records a reader's answer and returns whether it is fresh. `age` is the time since the platform last
    /// confirmed the copy.
    pub fn record_answer(&mut self, now: Timestamp, age: Duration) -> bool {
        let is_fresh = age <= self.config.stale_after;
        if is_fresh {
            self.failures = 0;
            self.successful_probes = 0;
        } else {
            self.record_failure(now);
        }
        is_fresh
    }

    /// Records a reader that failed or returned a stale copy. After the required probes have succeeded, switches
    /// to direct reads.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if self.successful_probes >= self.config.required_probes {
            self.successful_probes = 0;
            self.failures = 0;
            self.direct_until = Some(now + self.config.direct_read_duration);
        }
    }

    /// Records the result of a probe of the platform.
    pub const fn record_probe(&mut self, now: Timestamp, succeeded: bool) {
        self.probed_at = Some(now);
        self.successful_probes = if succeeded { self.successful_probes + 1 } else { 0 };
    }
}
