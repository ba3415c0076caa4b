//! Joining through seeds, anti-entropy between member tables, and reconnecting to failed members and seeds.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::{IteratorRandom, SliceRandom};

use super::event::Cause;
use super::machine::Membership;
use super::member::{MemberRecord, MemberState};
use super::message::{Body, ClaimedState, Update};
use super::table::DIGEST_BUCKETS;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Space reserved in a page for the other parts of a message, in bytes. An upper bound, given the limits on
/// names and document revisions.
const PAGE_OVERHEAD_BYTES: usize = 300;

/// Mean delay, in probe intervals, until the next comparison after one that found differences.
const BUSY_SYNC_PROBE_INTERVALS: u32 = 4;

/// The members of a set of buckets.
#[derive(Clone, Debug, Default)]
struct BucketPage {
    indexes: Vec<u8>,
    entries: Vec<Update>,
}

/// Progress of the join.
#[derive(Clone, Debug)]
pub(super) struct Join {
    /// The last member of the last page received.
    after: Option<NodeId>,
    /// Sequence number of the pending page request.
    sequence: Option<u32>,
    /// When to try the next seed.
    retry_at: Timestamp,
    next_seed: usize,
    finished: bool,
}

impl Join {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { after: None, sequence: None, retry_at: now, next_seed: 0, finished: false }
    }
}

impl Membership {
    /// Returns when to try the next seed, or `None` if the member list is complete or there are no seeds.
    pub(super) fn join_due(&self) -> Option<Timestamp> {
        let is_alone = self.table.live_count() <= 1;
        let is_wanted = is_alone || !self.join.finished;
        (is_wanted && !self.seeds.is_empty()).then_some(self.join.retry_at)
    }

    pub(super) fn advance_join(&mut self, now: Timestamp) {
        if self.join_due().is_none_or(|due| due > now) {
            return;
        }
        let seed = self.seeds[self.join.next_seed % self.seeds.len()];
        self.join.next_seed += 1;
        self.request_page(now, seed);
    }

    fn request_page(&mut self, now: Timestamp, address: SocketAddr) {
        let sequence = self.next_sequence();
        self.join.sequence = Some(sequence);
        self.join.retry_at = now + self.config.join_retry;
        let body = Body::ListRequest { after: self.join.after.clone() };
        let own_update = self.own_update();
        self.send(now, address, None, sequence, body, own_update);
    }

    /// Sends one page of the live members after `after`, limited to one datagram.
    pub(super) fn send_page(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        receiver: &NodeId,
        sequence: u32,
        after: Option<&NodeId>,
    ) {
        let mut capacity = self.page_capacity();
        let mut entries = Vec::new();
        let mut next = None;
        for record in self.table.live_after(after) {
            let entry = Update::alive(&record.info, record.claim.incarnation);
            let bytes = entry.encoded_bytes();
            if bytes > capacity {
                next = entries.last().map(|entry: &Update| entry.node.clone());
                break;
            }
            capacity -= bytes;
            entries.push(entry);
        }
        self.send(now, to, Some(receiver), sequence, Body::ListPage { entries, next }, None);
    }

    pub(super) fn receive_page(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sequence: u32,
        entries: &[Update],
        next: Option<NodeId>,
    ) {
        for entry in entries {
            self.apply(now, entry, Cause::JoinList);
        }
        if self.join.sequence != Some(sequence) {
            return;
        }
        self.join.sequence = None;
        self.join.finished = next.is_none();
        self.join.after = next;
        if self.join.finished {
            self.schedule_early_sync(now);
        } else {
            self.request_page(now, from);
        }
    }

    /// Returns when to compare tables or to reconnect next, or `None` if anti-entropy is disabled.
    pub(super) fn repair_due(&self) -> Option<Timestamp> {
        let due = self.next_sync_at.min(self.next_reconnect_at);
        self.config.mechanisms.anti_entropy.then_some(due)
    }

    pub(super) fn advance_repair(&mut self, now: Timestamp) {
        if !self.config.mechanisms.anti_entropy {
            return;
        }
        if self.next_sync_at <= now {
            self.start_sync(now);
        }
        if self.next_reconnect_at <= now {
            self.next_reconnect_at = now + self.config.reconnect_interval;
            self.probe_failed_member(now);
            self.sync_with_unknown_seed(now);
        }
    }

    /// Compares tables with a seed that is not a known live member.
    ///
    /// If all seeds restart, they find only each other, while the other nodes record them as left. Without this
    /// comparison the two groups would stay separate.
    fn sync_with_unknown_seed(&mut self, now: Timestamp) {
        if let Some(seed) = self.seed_without_member() {
            self.send_digest_with_own_update(now, seed);
        }
    }

    /// Compares tables with an unknown sender that probed this node.
    ///
    /// The other members may know the sender already, in which case no further update about it is disseminated.
    pub(super) fn sync_with_unknown_sender(&mut self, now: Timestamp, from: SocketAddr) {
        if !self.config.mechanisms.anti_entropy || self.next_unknown_sender_sync_at > now {
            return;
        }
        self.next_unknown_sender_sync_at = now + self.config.probe_interval;
        self.send_digest_with_own_update(now, from);
    }

    /// Starts a table comparison with the node at an address. Includes this node's own update, because the
    /// receiver may not know this node.
    fn send_digest_with_own_update(&mut self, now: Timestamp, to: SocketAddr) {
        let body = Body::Digest { buckets: self.table.digest() };
        let sequence = self.next_sequence();
        let own_update = self.own_update();
        self.send(now, to, None, sequence, body, own_update);
    }

    fn start_sync(&mut self, now: Timestamp) {
        let jitter = self.random.random_range(0.5..1.5);
        self.next_sync_at = now + self.config.sync_interval.mul_f64(jitter);
        self.table.remove_expired(now, self.config.forget_failed_after, self.config.forget_left_after);
        let body = Body::Digest { buckets: self.table.digest() };
        let sequence = self.next_sequence();
        if let Some((peer, address)) = self.random_peers(1).pop() {
            self.send(now, address, Some(&peer), sequence, body, None);
        }
    }

    /// Brings the next comparison forward. A difference suggests further ones, for example after a cluster start
    /// or a healed partition.
    pub(super) fn schedule_early_sync(&mut self, now: Timestamp) {
        let jitter = self.random.random_range(0.5..1.5);
        let soon = now + (self.config.probe_interval * BUSY_SYNC_PROBE_INTERVALS).mul_f64(jitter);
        self.next_sync_at = self.next_sync_at.min(soon);
    }

    /// Returns a random seed address that belongs to no known live member.
    fn seed_without_member(&mut self) -> Option<SocketAddr> {
        let table = &self.table;
        let has_no_member = |seed: &&SocketAddr| table.live().all(|record| record.info.address != **seed);
        self.seeds.iter().filter(has_no_member).choose(&mut self.random).copied()
    }

    fn probe_failed_member(&mut self, now: Timestamp) {
        let failed = self.table.with_state(MemberState::Failed).choose(&mut self.random);
        let Some((node, address)) = failed.map(|record| (record.info.node.clone(), record.info.address))
        else {
            return;
        };
        let sequence = self.next_sequence();
        let own_update = self.own_update();
        let body = Body::Ping { target: node.clone() };
        self.send(now, address, Some(&node), sequence, body, own_update);
    }

    /// Sends a random selection of the buckets that differ. Repeated comparisons cover all of them.
    pub(super) fn receive_digest(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: &NodeId,
        theirs: &[u32],
    ) {
        let ours = self.table.digest();
        if theirs.len() != ours.len() {
            return;
        }
        let indexes =
            (0..DIGEST_BUCKETS).filter(|index| theirs[usize::from(*index)] != ours[usize::from(*index)]);
        let mut differing: Vec<u8> = indexes.collect();
        differing.shuffle(&mut self.random);
        for page in self.bucket_pages(&differing) {
            self.send_buckets(now, from, sender, page, true);
        }
    }

    pub(super) fn receive_buckets(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: &NodeId,
        indexes: &[u8],
        theirs: &[Update],
        exchange: bool,
    ) {
        let newer = self.newer_entries(indexes, theirs);
        let known = self.view_version;
        for entry in theirs {
            self.apply_sync_entry(now, entry);
        }
        if self.view_version != known {
            self.schedule_early_sync(now);
        }
        if exchange && !newer.is_empty() {
            let page = BucketPage { indexes: indexes.to_vec(), entries: newer };
            self.send_buckets(now, from, sender, page, false);
        }
    }

    /// Returns the members of the given buckets for which this node has newer claims than the remote entries.
    fn newer_entries(&self, indexes: &[u8], theirs: &[Update]) -> Vec<Update> {
        let their_claim = |record: &MemberRecord| {
            theirs.iter().find(|entry| entry.node == record.info.node).map(Update::claim)
        };
        let is_newer = |record: &&MemberRecord| match their_claim(record) {
            Some(claim) => bucket_entry(record).claim() > claim,
            None => record.claim.state.is_live(),
        };
        let records = indexes.iter().flat_map(|index| self.table.bucket(*index));
        records.filter(is_newer).map(bucket_entry).collect()
    }

    /// Packs the members of the given buckets into at most `sync_pages` pages, in the order of `indexes`.
    fn bucket_pages(&self, indexes: &[u8]) -> Vec<BucketPage> {
        let capacity = self.page_capacity();
        let mut pages: Vec<BucketPage> = Vec::new();
        let mut used = capacity;
        for index in indexes {
            let entries: Vec<Update> = self.table.bucket(*index).map(bucket_entry).collect();
            let bytes: usize = entries.iter().map(Update::encoded_bytes).sum();
            if used + bytes > capacity {
                if pages.len() >= self.config.sync_pages {
                    break;
                }
                pages.push(BucketPage::default());
                used = 0;
            }
            used += bytes;
            if let Some(page) = pages.last_mut() {
                page.indexes.push(*index);
                page.entries.extend(entries);
            }
        }
        pages
    }

    /// Applies an entry of a table comparison. A claimed failure of a member that is live here is verified by a
    /// probe instead of applied, because after a partition each side records the other's members as failed.
    fn apply_sync_entry(&mut self, now: Timestamp, entry: &Update) {
        let known = self.table.get(&entry.node).map(|record| record.claim);
        let claims_failure = entry.state == ClaimedState::Failed;
        if claims_failure && entry.node != self.own_id {
            let contradicts = known.is_some_and(|known| known.state.is_live() && entry.claim() > known);
            if contradicts {
                self.order.verify_failure(entry.clone());
            }
            return;
        }
        self.apply(now, entry, Cause::Gossip);
    }

    /// Sends a page, split into several datagrams if a bucket does not fit into one.
    fn send_buckets(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        receiver: &NodeId,
        page: BucketPage,
        exchange: bool,
    ) {
        for entries in split_into_pages(page.entries, self.page_capacity()) {
            let sequence = self.next_sequence();
            let body = Body::Buckets { indexes: page.indexes.clone(), entries, exchange };
            self.send(now, to, Some(receiver), sequence, body, None);
        }
    }

    fn page_capacity(&self) -> usize {
        self.config.maximum_payload_bytes.saturating_sub(PAGE_OVERHEAD_BYTES)
    }
}

/// Returns the entry of a member in a table comparison. Suspects are reported as alive.
fn bucket_entry(record: &MemberRecord) -> Update {
    let mut claim = record.claim;
    if claim.state == MemberState::Suspect {
        claim.state = MemberState::Alive;
    }
    Update::from_claim(&record.info, claim)
}

/// Splits entries into pages of at most `capacity` bytes. Returns at least one page, which may be empty.
fn split_into_pages(entries: Vec<Update>, capacity: usize) -> Vec<Vec<Update>> {
    let mut pages = vec![Vec::new()];
    let mut used = 0;
    for entry in entries {
        let bytes = entry.encoded_bytes();
        if used + bytes > capacity && used > 0 {
            pages.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(page) = pages.last_mut() {
            page.push(entry);
        }
    }
    pages
}
