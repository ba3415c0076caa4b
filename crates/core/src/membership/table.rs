//! Table of all members that this node knows, including itself.
//!
//! Applies updates by the precedence of their claims and computes digests for table comparison.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::member::{MemberClaim, MemberRecord, MemberState};
use super::message::Update;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Number of buckets in a table digest. Part of the protocol; must be the same on all nodes.
pub(crate) const DIGEST_BUCKETS: u8 = 64;

/// Member records by id.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    records: BTreeMap<NodeId, MemberRecord>,
    live: usize,
}

/// Effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// The claim was not greater than the recorded one, or did not contain an unknown member's address.
    Ignored,
    /// An unknown member was added.
    Added,
    /// A greater claim about a known member replaced the recorded one.
    Superseded {
        /// The previous state.
        previous: MemberState,
        /// When the previous state began.
        since: Timestamp,
        /// Whether the member's zone, address or attributes changed.
        info_changed: bool,
    },
}

impl MemberTable {
    pub(super) fn insert(&mut self, record: MemberRecord) {
        let is_live = record.claim.state.is_live();
        let previous = self.records.insert(record.info.node.clone(), record);
        let was_live = previous.is_some_and(|previous| previous.claim.state.is_live());
        self.update_live_count(was_live, is_live);
    }

    pub(super) fn get(&self, node: &NodeId) -> Option<&MemberRecord> {
        self.records.get(node)
    }

    pub(super) fn live_count(&self) -> usize {
        self.live
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(|record| record.claim.state.is_live())
    }

    pub(super) fn with_state(&self, state: MemberState) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(move |record| record.claim.state == state)
    }

    /// Returns the live members after `after` in id order, or all of them.
    pub(super) fn live_after<'a>(
        &'a self,
        after: Option<&'a NodeId>,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let records = self.records.range::<NodeId, _>((from, Bound::Unbounded));
        records.map(|(_, record)| record).filter(|record| record.claim.state.is_live())
    }

    /// Applies an update if its claim is greater than the recorded one.
    pub(super) fn apply(&mut self, now: Timestamp, update: &Update) -> ApplyOutcome {
        let claim = update.claim();
        let Some(record) = self.records.get_mut(&update.node) else {
            return self.add(now, update);
        };
        if claim <= record.claim {
            return ApplyOutcome::Ignored;
        }
        let previous = record.claim.state;
        let since = record.since;
        if previous != claim.state {
            record.since = now;
        }
        record.claim = claim;
        let info = update.info();
        let info_changed = info.as_ref().is_some_and(|info| *info != record.info);
        if let Some(info) = info {
            record.info = info;
        }
        self.update_live_count(previous.is_live(), claim.state.is_live());
        ApplyOutcome::Superseded { previous, since, info_changed }
    }

    /// Adds an unknown member if the update contains its address. Other claims about unknown members are ignored.
    fn add(&mut self, now: Timestamp, update: &Update) -> ApplyOutcome {
        let Some(info) = update.info() else { return ApplyOutcome::Ignored };
        self.insert(MemberRecord { info, claim: update.claim(), since: now });
        ApplyOutcome::Added
    }

    /// Removes members that failed or left longer ago than the given durations.
    pub(super) fn remove_expired(&mut self, now: Timestamp, failed_after: Duration, left_after: Duration) {
        self.records.retain(|_, record| match record.claim.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Failed => now.saturating_since(record.since) < failed_after,
            MemberState::Left => now.saturating_since(record.since) < left_after,
        });
    }

    /// Returns one digest per bucket over the ids and incarnations of live members.
    ///
    /// Excludes suspicions, which are short-lived, and failed members, which nodes remove at different times.
    pub(super) fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0; usize::from(DIGEST_BUCKETS)];
        for record in self.live() {
            buckets[usize::from(bucket_of(&record.info.node))] ^=
                fingerprint(&record.info.node, record.claim);
        }
        buckets
    }

    /// Returns all members of a bucket, live or not.
    pub(super) fn bucket(&self, index: u8) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(move |record| bucket_of(&record.info.node) == index)
    }

    fn update_live_count(&mut self, was_live: bool, is_live: bool) {
        self.live = self.live + usize::from(is_live) - usize::from(was_live);
    }
}

fn bucket_of(node: &NodeId) -> u8 {
    let hash = xxh3_64(node.as_str().as_bytes()) % u64::from(DIGEST_BUCKETS);
    // Never fails: the remainder is less than the number of buckets, a `u8`.
    u8::try_from(hash).unwrap_or_default()
}

fn fingerprint(node: &NodeId, claim: MemberClaim) -> u32 {
    let hash = xxh3_64(format!("{node}\n{}", claim.incarnation.0).as_bytes());
    // Never fails: the upper half is masked out.
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
