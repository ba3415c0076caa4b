//! The replicated state of a batch shard, built by applying the records of its log.
//!
//! Invariants: an item is listed once and keeps its position; an ended job stays ended; the events of an item
//! have no gaps or duplicates; a score is listed only with the complete text that was committed before it.
//! Applying a record a second time changes nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::item_index::ItemIndex;
use super::job::{BatchJob, ItemResult, OutputEvent};
use super::record::Record;
use crate::identity::{BatchId, NodeId};
use crate::usage::account::UsageAccount;

/// State of one item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemState {
    /// Events committed so far.
    pub events: Vec<OutputEvent>,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether its text is complete and waits for its score.
    pub is_generated: bool,
    /// Number of answers in which its scorer reported a failure.
    pub score_failures: u32,
    /// Whether its result is listed.
    pub is_listed: bool,
    /// Whether texts of its events are missing. The events are then retained until the texts are filled in,
    /// even after the item is listed.
    pub is_outlined: bool,
}

impl ItemState {
    /// Returns the number of the last committed event.
    pub fn last_event(&self) -> Option<u64> {
        self.events.last().map(|event| event.number)
    }

    /// Returns the bytes of the committed events.
    pub(super) fn event_bytes(&self) -> usize {
        self.events.iter().map(OutputEvent::held_bytes).sum()
    }
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobState {
    /// The job as submitted.
    pub job: BatchJob,
    /// The shard's clock when the job was accepted, in milliseconds.
    pub accepted_at_ms: u64,
    /// Results in the order in which they were listed.
    pub results: Vec<ItemResult>,
    /// State of each item, by position.
    pub items: Vec<ItemState>,
    /// Whether the caller ended the job.
    pub is_ended: bool,
    /// Positions of the items by id.
    pub positions: HashMap<String, u32>,
}

impl JobState {
    fn new(job: BatchJob, accepted_at_ms: u64) -> Self {
        let positions = job.items.iter().zip(0..).map(|(item, position)| (item.id.clone(), position));
        let positions = positions.collect();
        let items = vec![ItemState::default(); job.items.len()];
        Self { job, accepted_at_ms, results: Vec::new(), items, is_ended: false, positions }
    }

    /// Returns whether an item is neither listed nor part of an ended job.
    pub fn is_open(&self, item: u32) -> bool {
        !self.is_ended && self.items.get(item as usize).is_some_and(|state| !state.is_listed)
    }
}

/// The last order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastOrder {
    /// The node that gave the order.
    pub holder: NodeId,
    /// The shard's clock when the order was appended, in milliseconds.
    pub at_ms: u64,
}

/// How long the last order to a replica is retained. Must not be shorter than any order lease.
const LAST_ORDER_RETENTION_MS: u64 = 60_000;

/// All state of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(super) jobs: BTreeMap<BatchId, JobState>,
    item_index: ItemIndex,
    /// Jobs with missing event texts.
    pub(super) outlined: BTreeSet<BatchId>,
    clock_ms: u64,
    pub(super) orders: BTreeMap<String, LastOrder>,
    usage: UsageAccount,
    /// Desired number of replicas by service and zone.
    scaled: BTreeMap<(String, String), u32>,
}

impl Ledger {
    /// Returns all jobs.
    pub const fn jobs(&self) -> &BTreeMap<BatchId, JobState> {
        &self.jobs
    }

    /// Returns a job.
    pub fn job(&self, batch: &BatchId) -> Option<&JobState> {
        self.jobs.get(batch)
    }

    /// Returns the index of the jobs by item id.
    pub(super) const fn item_index(&self) -> &ItemIndex {
        &self.item_index
    }

    /// Returns the shard's clock in milliseconds.
    pub(crate) const fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the last order to a replica, if it is recent enough to matter.
    pub fn last_order(&self, replica: &str) -> Option<&LastOrder> {
        self.orders.get(replica)
    }

    /// Returns the usage of all tenants.
    pub const fn usage(&self) -> &UsageAccount {
        &self.usage
    }

    /// Returns the last ordered number of replicas by service and zone.
    pub(crate) const fn scaled(&self) -> &BTreeMap<(String, String), u32> {
        &self.scaled
    }

    /// Applies a record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(job) => self.accept(job),
            Record::Ended(batch) => self.end(&batch),
            Record::Dropped(batch) => self.drop_job(&batch),
            Record::Progress { batch, item, events } => {
                self.update_item(&batch, item, |state| append_events(state, events));
            }
            Record::Failed { batch, item, failures } => {
                self.update_item(&batch, item, |state| state.failures = state.failures.max(failures));
            }
            Record::Generated { batch, item, events, replaces } => {
                self.update_item(&batch, item, |state| apply_generated(state, events, replaces));
            }
            Record::ScoreFailed { batch, item, failures } => {
                self.update_item(&batch, item, |state| {
                    state.score_failures = state.score_failures.max(failures)
                });
            }
            Record::Outlined { batch, item, events, kind } => {
                self.mark_outlined(&batch, item);
                self.apply(kind.restore(batch.clone(), item, &events));
                // A restarted text clears the flag, but its new events lack their texts as well.
                self.mark_outlined(&batch, item);
            }
            Record::Listed { batch, result } => self.list_with_text(&batch, result),
            Record::Completed { batch, item, events } => self.complete(&batch, item, events),
            Record::Scored { batch, item, score } => self.list_scored(&batch, item, score),
            Record::Ordered { replica, holder, at_ms } => {
                self.record_order(replica, LastOrder { holder, at_ms });
            }
            Record::UsageCounted { source, through, counts } => self.usage.count(&source, through, &counts),
            Record::UsageClosed(window) => self.usage.close(window),
            Record::UsageDelivered(window) => self.usage.delivered(window),
            Record::Usage(parts) => self.usage = UsageAccount::from_parts(parts),
            Record::Scaled { service, zone, desired } => self.scale(service, zone, desired),
            Record::Clock(milliseconds) => self.clock_ms = self.clock_ms.max(milliseconds),
        }
    }

    fn accept(&mut self, job: BatchJob) {
        if !self.jobs.contains_key(&job.id) {
            self.item_index.insert(&job);
            self.jobs.insert(job.id.clone(), JobState::new(job, self.clock_ms));
        }
    }

    fn end(&mut self, batch: &BatchId) {
        if let Some(job) = self.jobs.get_mut(batch) {
            job.is_ended = true;
        }
    }

    fn drop_job(&mut self, batch: &BatchId) {
        if let Some(state) = self.jobs.remove(batch) {
            self.item_index.remove(&state.job);
        }
        self.outlined.remove(batch);
    }

    fn scale(&mut self, service: String, zone: String, desired: u32) {
        self.scaled.insert((service, zone), desired);
    }

    /// Updates the state of an item. Records of a job that has been dropped are ignored.
    fn update_item(&mut self, batch: &BatchId, item: u32, update: impl FnOnce(&mut ItemState)) {
        if let Some(state) = self.item(batch, item) {
            update(state);
        }
    }

    /// Lists a result whose record contains the text.
    fn list_with_text(&mut self, batch: &BatchId, result: ItemResult) {
        if let Some(state) = self.item(batch, result.item).filter(|state| !state.is_listed) {
            state.is_outlined = false;
        }
        self.list(batch, result);
    }

    fn item(&mut self, batch: &BatchId, item: u32) -> Option<&mut ItemState> {
        self.jobs.get_mut(batch)?.items.get_mut(item as usize)
    }

    fn list(&mut self, batch: &BatchId, result: ItemResult) {
        let Some(job) = self.jobs.get_mut(batch) else { return };
        let Some(state) = job.items.get_mut(result.item as usize) else { return };
        if state.is_listed {
            return;
        }
        state.is_listed = true;
        if !state.is_outlined {
            state.events = Vec::new();
        }
        job.results.push(result);
    }

    /// Appends the last events of an item and lists it. Only a text without gaps is listed as complete.
    fn complete(&mut self, batch: &BatchId, item: u32, events: Vec<OutputEvent>) {
        let Some(state) = self.item(batch, item) else { return };
        let last = events.last().map(|event| event.number).or(state.last_event());
        append_events(state, events);
        if state.last_event() == last {
            let result = ItemResult::complete(item, &state.events, None);
            self.list(batch, result);
        }
    }

    fn mark_outlined(&mut self, batch: &BatchId, item: u32) {
        let Some(state) = self.item(batch, item) else { return };
        state.is_outlined = true;
        self.outlined.insert(batch.clone());
    }

    fn record_order(&mut self, replica: String, order: LastOrder) {
        self.clock_ms = self.clock_ms.max(order.at_ms);
        let clock_ms = self.clock_ms;
        self.orders.retain(|_, order| clock_ms.saturating_sub(order.at_ms) <= LAST_ORDER_RETENTION_MS);
        let is_latest = self.orders.get(&replica).is_none_or(|held| held.at_ms <= order.at_ms);
        if is_latest {
            self.orders.insert(replica, order);
        }
    }

    fn list_scored(&mut self, batch: &BatchId, item: u32, score: String) {
        let Some(state) = self.item(batch, item).filter(|state| state.is_generated) else { return };
        let result = ItemResult::complete(item, &state.events, Some(score));
        self.list(batch, result);
    }

    /// Rebuilds the ledger from a snapshot and the records after it.
    ///
    /// # Errors
    /// Fails when the snapshot or a record cannot be decoded.
    pub fn recover(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Self, speedy::Error> {
        let mut ledger = Self::default();
        if let Some(bytes) = snapshot {
            Self::snapshot_records(bytes)?.into_iter().for_each(|record| ledger.apply(record));
        }
        for bytes in records {
            ledger.apply(Record::decode(bytes)?);
        }
        Ok(ledger)
    }
}

/// Appends the last events of a text that awaits its score. Only a text without gaps counts as complete, and
/// it does not change after that.
fn apply_generated(state: &mut ItemState, events: Vec<OutputEvent>, replaces: bool) {
    if state.is_generated || state.is_listed {
        return;
    }
    if replaces {
        state.events.clear();
        state.is_outlined = false;
    }
    let last = events.last().map(|event| event.number).or(state.last_event());
    append_events(state, events);
    state.is_generated = state.last_event() == last;
}

fn append_events(state: &mut ItemState, events: Vec<OutputEvent>) {
    for event in events {
        let next = state.last_event().map_or(event.number, |last| last + 1);
        if !state.is_listed && !state.is_generated && event.number == next {
            state.events.push(event);
        }
    }
}
