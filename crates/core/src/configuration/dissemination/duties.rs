//! Roles of a node, derived from the live members: platform reader, quorum set member, member of a majority.

use std::time::Duration;

use super::Config;
use super::placement::Placement;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Roles of one node and when it acquired them.
///
/// A role takes effect after it has been held for [`Config::settle_time`], so that an incomplete view of the
/// members at startup does not produce too many readers.
#[derive(Clone, Debug, Default)]
pub(super) struct Duties {
    /// When the node became a reader of its region.
    reader_since: Option<Timestamp>,
    /// When the node joined the quorum set.
    quorum_since: Option<Timestamp>,
    /// Highest recent number of live members.
    peak_members: usize,
    /// When the node last lost sight of a majority of `peak_members`.
    minority_since: Option<Timestamp>,
}

impl Duties {
    /// Updates the roles after a change of the live members.
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
        self.reset_peak_members(config, now);
        self.peak_members = self.peak_members.max(placement.len());
        let is_majority = placement.len() * 2 > self.peak_members;
        self.minority_since = self.minority_since.or(Some(now)).filter(|_| !is_majority);
    }

    /// Resets the peak once the view has been a minority for `member_retention`; the missing members are then
    /// considered removed.
    fn reset_peak_members(&mut self, config: &Config, now: Timestamp) {
        let is_expired = |since: Timestamp| now.saturating_since(since) >= config.member_retention;
        if self.minority_since.is_some_and(is_expired) {
            self.peak_members = 0;
            self.minority_since = None;
        }
    }

    /// Returns whether the node sees a majority of the recently known members.
    ///
    /// A node in a partitioned minority may lack a revision that is in force elsewhere, so its answers must not
    /// count for the bootstrap of other nodes.
    pub(super) fn sees_majority(&self, config: &Config, now: Timestamp) -> bool {
        let is_expired = |since: Timestamp| now.saturating_since(since) >= config.member_retention;
        self.minority_since.is_none_or(is_expired)
    }

    /// Returns whether the node has the reader role, in effect or not.
    pub(super) fn is_reader(&self) -> bool {
        self.reader_since.is_some()
    }

    /// Returns when the reader role takes effect, or `None` if the node is not a reader.
    pub(super) fn reading_starts_at(&self, settle_time: Duration) -> Option<Timestamp> {
        self.reader_since.map(|since| since + settle_time)
    }

    /// Returns whether the node has been in the quorum set for `settle_time`.
    pub(super) fn in_quorum_set(&self, settle_time: Duration, now: Timestamp) -> bool {
        self.quorum_since.is_some_and(|since| now.saturating_since(since) >= settle_time)
    }
}
