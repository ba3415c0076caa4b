//! Every member that this node knows, itself included.
//!
//! Owns the records and the count of live ones; claims decide which update is taken over.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::member::{MemberClaim, MemberRecord, MemberState};
use super::message::Update;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Buckets that a table is compared by. Part of the protocol, the same on all nodes. Chosen, not measured:
/// with fewer, a difference costs a larger page.
pub(crate) const DIGEST_BUCKETS: u8 = 64;

/// Members by id.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    records: BTreeMap<NodeId, MemberRecord>,
    live: usize,
}

/// What an update did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// Nothing: it was known, or less than what is known.
    Nothing,
    /// A member that was not known.
    Added,
    /// A greater claim about a known member.
    Raised {
        /// How it stood before.
        previous: MemberState,
        /// When it began to stand so.
        since: Timestamp,
        /// Whether its address or attributes changed.
        info_changed: bool,
    },
}

impl MemberTable {
    pub(super) fn insert(&mut self, record: MemberRecord) {
        let is_live = record.claim.state.is_live();
        let previous = self.records.insert(record.info.node.clone(), record);
        let was_live = previous.is_some_and(|previous| previous.claim.state.is_live());
        self.count_change(was_live, is_live);
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

    /// Live members that follow one in the order of ids.
    pub(super) fn live_after<'a>(
        &'a self,
        after: Option<&'a NodeId>,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let records = self.records.range::<NodeId, _>((from, Bound::Unbounded));
        records.map(|(_, record)| record).filter(|record| record.claim.state.is_live())
    }

    /// Takes an update over where its claim is greater than what is known.
    pub(super) fn apply(&mut self, now: Timestamp, update: &Update) -> Applied {
        let claim = update.claim();
        let Some(record) = self.records.get_mut(&update.node) else {
            return self.add(now, update);
        };
        if claim <= record.claim {
            return Applied::Nothing;
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
        self.count_change(previous.is_live(), claim.state.is_live());
        Applied::Raised { previous, since, info_changed }
    }

    /// Only an update with an address can add a member: a failure of somebody unknown helps nobody.
    fn add(&mut self, now: Timestamp, update: &Update) -> Applied {
        let Some(info) = update.info() else { return Applied::Nothing };
        self.insert(MemberRecord { info, claim: update.claim(), since: now });
        Applied::Added
    }

    /// Removes members that failed or left long ago.
    pub(super) fn forget(&mut self, now: Timestamp, failed_after: Duration, left_after: Duration) {
        self.records.retain(|_, record| match record.claim.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Failed => now.saturating_since(record.since) < failed_after,
            MemberState::Left => now.saturating_since(record.since) < left_after,
        });
    }

    /// One digest for each bucket, over ids and incarnations of live members. Suspicions come and go too fast
    /// to be compared, and what has failed is forgotten at different times on different nodes.
    pub(super) fn digest(&self) -> Vec<u32> {
        let mut buckets = vec![0; usize::from(DIGEST_BUCKETS)];
        for record in self.live() {
            buckets[usize::from(bucket_of(&record.info.node))] ^=
                fingerprint(&record.info.node, record.claim);
        }
        buckets
    }

    /// Every member of a bucket, the failed ones too.
    pub(super) fn bucket(&self, index: u8) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(move |record| bucket_of(&record.info.node) == index)
    }

    fn count_change(&mut self, was_live: bool, is_live: bool) {
        self.live = self.live + usize::from(is_live) - usize::from(was_live);
    }
}

fn bucket_of(node: &NodeId) -> u8 {
    let hash = xxh3_64(node.as_str().as_bytes()) % u64::from(DIGEST_BUCKETS);
    // Never fails: the remainder is below the number of buckets, which fits.
    u8::try_from(hash).unwrap_or_default()
}

fn fingerprint(node: &NodeId, claim: MemberClaim) -> u32 {
    let hash = xxh3_64(format!("{node}\n{}", claim.incarnation.0).as_bytes());
    // Never fails: the upper half is masked off.
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
