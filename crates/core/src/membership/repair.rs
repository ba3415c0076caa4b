//! Joining through seeds, comparing whole tables, and trying failed members again.
//!
//! Owns the times of these three; relies on the table for digests and on the seeds that the embedder named.

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

/// Room left in a page for what every message carries besides its entries, in bytes. An upper bound on
/// names and document revisions by their limits; too little makes a datagram exceed its payload.
const PAGE_OVERHEAD_BYTES: usize = 300;

/// While comparisons find differences, the next follows after so many probe intervals on average. Chosen,
/// not measured: more delays the merging of tables after a partition, fewer costs bytes while it heals.
const BUSY_SYNC_PROBES: u32 = 4;

/// Members of some buckets.
#[derive(Clone, Debug, Default)]
struct BucketPage {
    indexes: Vec<u8>,
    entries: Vec<Update>,
}

/// How far the join has come.
#[derive(Clone, Debug)]
pub(super) struct Join {
    /// The last member of the last page; the next page follows it.
    after: Option<NodeId>,
    /// The question that waits for its page.
    sequence: Option<u32>,
    /// When to ask the next seed.
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
    /// When to ask a seed; `None` where the list is whole or there is no seed.
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
        let introduction = self.own_update();
        self.send(now, address, None, sequence, body, introduction);
    }

    /// Sends the live members that follow `after`, as many as one datagram holds.
    pub(super) fn send_page(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        receiver: &NodeId,
        sequence: u32,
        after: Option<&NodeId>,
    ) {
        let mut room = self.page_room();
        let mut entries = Vec::new();
        let mut next = None;
        for record in self.table.live_after(after) {
            let entry = Update::alive(&record.info, record.claim.incarnation);
            let bytes = entry.encoded_bytes();
            if bytes > room {
                next = entries.last().map(|entry: &Update| entry.node.clone());
                break;
            }
            room -= bytes;
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
            self.sync_soon(now);
        } else {
            self.request_page(now, from);
        }
    }

    /// When to compare tables or to try a failed member.
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
            self.try_failed_member(now);
            self.try_silent_seed(now);
        }
    }

    /// Compares tables with a seed that is not known as a live member. Where all seeds were restarted, they
    /// find only each other, and whoever was not restarted holds them for left: only this brings the two
    /// together.
    fn try_silent_seed(&mut self, now: Timestamp) {
        if let Some(seed) = self.silent_seed() {
            self.introduce_and_compare(now, seed);
        }
    }

    /// Compares tables with a member that is not known here and probes this node: to all others it is a
    /// member like any, so that no update about it need ever come again.
    pub(super) fn inquire(&mut self, now: Timestamp, from: SocketAddr) {
        if !self.config.mechanisms.anti_entropy || self.next_inquiry_at > now {
            return;
        }
        self.next_inquiry_at = now + self.config.probe_interval;
        self.introduce_and_compare(now, from);
    }

    /// Compares tables with whoever is at an address, who may not know this node.
    fn introduce_and_compare(&mut self, now: Timestamp, to: SocketAddr) {
        let body = Body::Digest { buckets: self.table.digest() };
        let sequence = self.next_sequence();
        let introduction = self.own_update();
        self.send(now, to, None, sequence, body, introduction);
    }

    fn start_sync(&mut self, now: Timestamp) {
        let spread = self.random.random_range(0.5..1.5);
        self.next_sync_at = now + self.config.sync_interval.mul_f64(spread);
        self.table.forget(now, self.config.forget_failed_after, self.config.forget_left_after);
        let body = Body::Digest { buckets: self.table.digest() };
        let sequence = self.next_sequence();
        if let Some((peer, address)) = self.random_peers(1).pop() {
            self.send(now, address, Some(&peer), sequence, body, None);
        }
    }

    /// One difference is a sign of more, as after a start of the whole cluster or a healed partition.
    pub(super) fn sync_soon(&mut self, now: Timestamp) {
        let spread = self.random.random_range(0.5..1.5);
        let soon = now + (self.config.probe_interval * BUSY_SYNC_PROBES).mul_f64(spread);
        self.next_sync_at = self.next_sync_at.min(soon);
    }

    /// A seed at whose address no live member is known.
    fn silent_seed(&mut self) -> Option<SocketAddr> {
        let table = &self.table;
        let is_silent = |seed: &&SocketAddr| table.live().all(|record| record.info.address != **seed);
        self.seeds.iter().filter(is_silent).choose(&mut self.random).copied()
    }

    fn try_failed_member(&mut self, now: Timestamp) {
        let failed = self.table.with_state(MemberState::Failed).choose(&mut self.random);
        let Some((node, address)) = failed.map(|record| (record.info.node.clone(), record.info.address))
        else {
            return;
        };
        let sequence = self.next_sequence();
        let introduction = self.own_update();
        let body = Body::Ping { target: node.clone() };
        self.send(now, address, Some(&node), sequence, body, introduction);
    }

    /// Sends some of the buckets in which the tables differ, at random, so that a few rounds cover all.
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
        let better = self.better_than(indexes, theirs);
        let known = self.view_version;
        for entry in theirs {
            self.apply_entry(now, entry);
        }
        if self.view_version != known {
            self.sync_soon(now);
        }
        if exchange && !better.is_empty() {
            let page = BucketPage { indexes: indexes.to_vec(), entries: better };
            self.send_buckets(now, from, sender, page, false);
        }
    }

    /// What this node knows in some buckets and the other does not.
    fn better_than(&self, indexes: &[u8], theirs: &[Update]) -> Vec<Update> {
        let their_claim = |record: &MemberRecord| {
            theirs.iter().find(|entry| entry.node == record.info.node).map(Update::claim)
        };
        let is_better = |record: &&MemberRecord| match their_claim(record) {
            Some(claim) => bucket_entry(record).claim() > claim,
            None => record.claim.state.is_live(),
        };
        let records = indexes.iter().flat_map(|index| self.table.bucket(*index));
        records.filter(is_better).map(bucket_entry).collect()
    }

    /// The members of some buckets in as many pages as one comparison may take, the first buckets first.
    fn bucket_pages(&self, indexes: &[u8]) -> Vec<BucketPage> {
        let room = self.page_room();
        let mut pages: Vec<BucketPage> = Vec::new();
        let mut used = room;
        for index in indexes {
            let entries: Vec<Update> = self.table.bucket(*index).map(bucket_entry).collect();
            let bytes: usize = entries.iter().map(Update::encoded_bytes).sum();
            if used + bytes > room {
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

    /// A failure that is known elsewhere only is looked into rather than believed: after a partition each side
    /// holds the other's members for failed.
    fn apply_entry(&mut self, now: Timestamp, entry: &Update) {
        let known = self.table.get(&entry.node).map(|record| record.claim);
        let claims_failure = entry.state == ClaimedState::Failed;
        if claims_failure && entry.node != self.own {
            let contradicts = known.is_some_and(|known| known.state.is_live() && entry.claim() > known);
            if contradicts {
                self.order.probe_claimed(entry.clone());
            }
            return;
        }
        self.apply(now, entry, Cause::Gossip);
    }

    /// Sends a page in one datagram, or in more where a bucket has outgrown it.
    fn send_buckets(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        receiver: &NodeId,
        page: BucketPage,
        exchange: bool,
    ) {
        for entries in pages(page.entries, self.page_room()) {
            let sequence = self.next_sequence();
            let body = Body::Buckets { indexes: page.indexes.clone(), entries, exchange };
            self.send(now, to, Some(receiver), sequence, body, None);
        }
    }

    fn page_room(&self) -> usize {
        self.config.maximum_payload_bytes.saturating_sub(PAGE_OVERHEAD_BYTES)
    }
}

/// A member as it goes into a comparison: suspicions stay out of it.
fn bucket_entry(record: &MemberRecord) -> Update {
    let mut claim = record.claim;
    if claim.state == MemberState::Suspect {
        claim.state = MemberState::Alive;
    }
    Update::from_claim(&record.info, claim)
}

/// Splits entries into pages of at most `room` bytes; at least one page, which may be empty.
fn pages(entries: Vec<Update>, room: usize) -> Vec<Vec<Update>> {
    let mut pages = vec![Vec::new()];
    let mut used = 0;
    for entry in entries {
        let bytes = entry.encoded_bytes();
        if used + bytes > room && used > 0 {
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
