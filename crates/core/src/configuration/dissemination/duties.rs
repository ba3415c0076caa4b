//! What a node's place among the live members asks of it, and whether it may speak for the cluster.

use std::time::Duration;

use super::Config;
use super::placement::Placement;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// The duties of one node. Each begins only once the node's place has held for [`Config::settle`], so that a view
/// which is still filling up makes no crowd of readers.
#[derive(Clone, Debug, Default)]
pub(super) struct Duties {
    /// Since when the node is among the readers of its region.
    reader_since: Option<Timestamp>,
    /// Since when the node is in the quorum set.
    quorum_since: Option<Timestamp>,
    /// The most live members seen, until that has been forgotten.
    most_members: usize,
    /// Since when fewer than a majority of them are seen.
    minority_since: Option<Timestamp>,
}

impl Duties {
    /// The live members changed.
    pub(super) fn members_changed(
        &mut self,
        placement: &Placement,
        node: &NodeId,
        config: &Config,
        now: Timestamp,
    ) {
        let reader = placement.is_reader(node, config.readers_per_region);
        self.reader_since = self.reader_since.or(Some(now)).filter(|_| reader);
        let in_quorum_set = placement.in_quorum_set(node);
        self.quorum_since = self.quorum_since.or(Some(now)).filter(|_| in_quorum_set);
        self.forget_lost_members(config, now);
        self.most_members = self.most_members.max(placement.len());
        let majority = placement.len() * 2 > self.most_members;
        self.minority_since = self.minority_since.or(Some(now)).filter(|_| !majority);
    }

    /// Members that have been gone for long were taken away for good.
    fn forget_lost_members(&mut self, config: &Config, now: Timestamp) {
        let forgotten = |since: Timestamp| now.saturating_since(since) >= config.member_memory;
        if self.minority_since.is_some_and(forgotten) {
            self.most_members = 0;
            self.minority_since = None;
        }
    }

    /// Whether the node sees a majority of the members that it has known lately. In a minority that was cut off it
    /// may lack a revision that is in force elsewhere, so its word does not count for a starting node.
    pub(super) fn sees_majority(&self, config: &Config, now: Timestamp) -> bool {
        let forgotten = |since: Timestamp| now.saturating_since(since) >= config.member_memory;
        self.minority_since.is_none_or(forgotten)
    }

    /// Whether the node is to read the platform.
    pub(super) fn is_reader(&self) -> bool {
        self.reader_since.is_some()
    }

    /// When a reader's place has held for long enough.
    pub(super) fn reads_from(&self, settle: Duration) -> Option<Timestamp> {
        self.reader_since.map(|since| since + settle)
    }

    /// Whether the node has been in the quorum set for long enough.
    pub(super) fn in_quorum_set(&self, settle: Duration, now: Timestamp) -> bool {
        self.quorum_since.is_some_and(|since| now.saturating_since(since) >= settle)
    }
}
