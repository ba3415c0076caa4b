//! What the records of a batch shard amount to.
//!
//! Invariants: an item is listed once, and keeps its position; a job that was ended stays ended; events of an
//! item are kept without a gap and each once; a score is listed only with the whole text that was kept before
//! it. Applying a record a second time changes nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use speedy::{Readable, Writable};

use super::job::{BatchJob, ItemResult, OutputEvent};
use super::record::Record;
use crate::identity::{BatchId, NodeId};
use crate::usage::account::UsageAccount;

/// What is kept of one item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemState {
    /// Events that have come.
    pub events: Vec<OutputEvent>,
    /// Runs that failed.
    pub failures: u32,
    /// Whether its text is whole and waits for its score.
    pub is_generated: bool,
    /// Answers of its scorer that said that it failed.
    pub score_failures: u32,
    /// Whether it stands in the job's list.
    pub is_listed: bool,
    /// Whether texts of its events are missing; they are kept until these come, also where it is listed.
    pub is_outlined: bool,
}

impl ItemState {
    /// The number of the last event that is kept.
    pub fn last_event(&self) -> Option<u64> {
        self.events.last().map(|event| event.number)
    }
}

/// What is kept of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobState {
    /// The job as it was handed in.
    pub job: BatchJob,
    /// The shard's clock when it was taken, in milliseconds.
    pub accepted_at_ms: u64,
    /// Results in the order in which they were listed.
    pub results: Vec<ItemResult>,
    /// What is kept of each item.
    pub items: Vec<ItemState>,
    /// Whether its caller ended it.
    pub is_ended: bool,
    /// Items by id.
    pub positions: HashMap<String, u32>,
}

impl JobState {
    fn new(job: BatchJob, accepted_at_ms: u64) -> Self {
        let positions = job.items.iter().zip(0..).map(|(item, position)| (item.id.clone(), position));
        let positions = positions.collect();
        let items = vec![ItemState::default(); job.items.len()];
        Self { job, accepted_at_ms, results: Vec::new(), items, is_ended: false, positions }
    }

    /// Whether an item may still run.
    pub fn is_open(&self, item: u32) -> bool {
        !self.is_ended && self.items.get(item as usize).is_some_and(|state| !state.is_listed)
    }
}

/// The last order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastOrder {
    /// Who gave it.
    pub holder: NodeId,
    /// The shard's clock when it was written down, in milliseconds.
    pub at_ms: u64,
}

/// Marks of orders are kept so long: no lease is longer. Chosen, not measured: a shorter time would let two
/// holders order one replica within a lease.
const MARK_RETENTION_MS: u64 = 60_000;

/// All jobs of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(super) jobs: BTreeMap<BatchId, JobState>,
    /// Jobs of which texts are missing.
    pub(super) outlined: BTreeSet<BatchId>,
    clock_ms: u64,
    orders: BTreeMap<String, LastOrder>,
    usage: UsageAccount,
    /// Replicas that zones are to have, by service and zone.
    scaled: BTreeMap<(String, String), u32>,
}

/// A snapshot: records that amount to the same ledger.
#[derive(Debug, Readable, Writable)]
struct Snapshot {
    records: Vec<Record>,
}

impl Ledger {
    /// The jobs.
    pub const fn jobs(&self) -> &BTreeMap<BatchId, JobState> {
        &self.jobs
    }

    /// One job.
    pub fn job(&self, batch: &BatchId) -> Option<&JobState> {
        self.jobs.get(batch)
    }

    /// The shard's clock, in milliseconds.
    pub(crate) const fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// The last order to a replica, where it is recent enough to matter.
    pub fn last_order(&self, replica: &str) -> Option<&LastOrder> {
        self.orders.get(replica)
    }

    /// What tenants used.
    pub const fn usage(&self) -> &UsageAccount {
        &self.usage
    }

    /// Replicas that zones are to have by the last order, by service and zone.
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
                self.change(&batch, item, |state| append_events(state, events));
            }
            Record::Failed { batch, item, failures } => {
                self.change(&batch, item, |state| state.failures = state.failures.max(failures));
            }
            Record::Generated { batch, item, events, replaces } => {
                self.change(&batch, item, |state| keep_whole(state, events, replaces));
            }
            Record::ScoreFailed { batch, item, failures } => {
                self.change(&batch, item, |state| state.score_failures = state.score_failures.max(failures));
            }
            Record::Outlined { batch, item, events, kind } => {
                self.mark_outlined(&batch, item);
                self.apply(kind.restore(batch.clone(), item, &events));
                // A text that was begun anew is an outline too.
                self.mark_outlined(&batch, item);
            }
            Record::Listed { batch, result } => self.list_with_text(&batch, result),
            Record::Completed { batch, item, events } => self.complete(&batch, item, events),
            Record::Scored { batch, item, score } => self.list_scored(&batch, item, score),
            Record::Ordered { replica, holder, at_ms } => {
                self.mark_order(replica, LastOrder { holder, at_ms });
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
        let accepted_at_ms = self.clock_ms;
        self.jobs.entry(job.id.clone()).or_insert_with(|| JobState::new(job, accepted_at_ms));
    }

    fn end(&mut self, batch: &BatchId) {
        if let Some(job) = self.jobs.get_mut(batch) {
            job.is_ended = true;
        }
    }

    fn drop_job(&mut self, batch: &BatchId) {
        self.jobs.remove(batch);
        self.outlined.remove(batch);
    }

    fn scale(&mut self, service: String, zone: String, desired: u32) {
        self.scaled.insert((service, zone), desired);
    }

    /// Changes what is kept of an item. A record of a job that was dropped meanwhile changes nothing.
    fn change(&mut self, batch: &BatchId, item: u32, change: impl FnOnce(&mut ItemState)) {
        if let Some(state) = self.item(batch, item) {
            change(state);
        }
    }

    /// Lists a result whose text stands in its record.
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

    /// Invariant: only a text without a gap is listed as whole.
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

    fn mark_order(&mut self, replica: String, mark: LastOrder) {
        self.clock_ms = self.clock_ms.max(mark.at_ms);
        let clock_ms = self.clock_ms;
        self.orders.retain(|_, mark| clock_ms.saturating_sub(mark.at_ms) <= MARK_RETENTION_MS);
        let is_latest = self.orders.get(&replica).is_none_or(|held| held.at_ms <= mark.at_ms);
        if is_latest {
            self.orders.insert(replica, mark);
        }
    }

    fn list_scored(&mut self, batch: &BatchId, item: u32, score: String) {
        let Some(state) = self.item(batch, item).filter(|state| state.is_generated) else { return };
        let result = ItemResult::complete(item, &state.events, Some(score));
        self.list(batch, result);
    }

    /// The ledger as a snapshot.
    ///
    /// # Errors
    /// When it is too long for the codec.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, speedy::Error> {
        let mut records = Vec::new();
        let mut by_age: Vec<&JobState> = self.jobs.values().collect();
        by_age.sort_by_key(|job| job.accepted_at_ms);
        for job in by_age {
            records.push(Record::Clock(job.accepted_at_ms));
            job_records(job, &mut records);
        }
        let mut orders: Vec<(&String, &LastOrder)> = self.orders.iter().collect();
        orders.sort_by_key(|(_, mark)| mark.at_ms);
        records.extend(orders.into_iter().map(|(replica, mark)| {
            let (replica, holder) = (replica.clone(), mark.holder.clone());
            Record::Ordered { replica, holder, at_ms: mark.at_ms }
        }));
        records.extend(self.scaled.iter().map(|((service, zone), desired)| {
            let (service, zone) = (service.clone(), zone.clone());
            Record::Scaled { service, zone, desired: *desired }
        }));
        records.push(Record::Usage(self.usage.parts()));
        records.push(Record::Clock(self.clock_ms));
        Snapshot { records }.write_to_vec()
    }

    /// The records of a snapshot.
    pub(super) fn snapshot_records(bytes: &[u8]) -> Result<Vec<Record>, speedy::Error> {
        Ok(Snapshot::read_from_buffer(bytes)?.records)
    }

    /// The ledger that a snapshot and the records after it amount to.
    ///
    /// # Errors
    /// When the bytes are none of ours.
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

/// Invariant: only a text without a gap counts as whole, and once it does it is not changed.
fn keep_whole(state: &mut ItemState, events: Vec<OutputEvent>, replaces: bool) {
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

fn job_records(job: &JobState, records: &mut Vec<Record>) {
    let batch = &job.job.id;
    records.push(Record::Accepted(job.job.clone()));
    for result in &job.results {
        records.push(Record::Listed { batch: batch.clone(), result: result.clone() });
    }
    for (state, item) in job.items.iter().zip(0..) {
        if state.failures > 0 {
            records.push(Record::Failed { batch: batch.clone(), item, failures: state.failures });
        }
        if state.is_generated {
            let events = state.events.clone();
            records.push(Record::Generated { batch: batch.clone(), item, events, replaces: true });
        } else if !state.events.is_empty() {
            records.push(Record::Progress { batch: batch.clone(), item, events: state.events.clone() });
        }
    }
    for (state, item) in job.items.iter().zip(0..).filter(|(state, _)| state.score_failures > 0) {
        let failures = state.score_failures;
        records.push(Record::ScoreFailed { batch: batch.clone(), item, failures });
    }
    if job.is_ended {
        records.push(Record::Ended(batch.clone()));
    }
}
