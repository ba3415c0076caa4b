//! The owner of a shard of batch jobs: which items run where, what is listed, what is given up.
//!
//! The driver hands in events and `now`, and takes out [`Action`]s. Invariants: nothing is shown before its record is
//! kept by a majority; an item's events are taken once each, in order, from a version that its job allows; no item of
//! an ended job is started.

mod action;
mod config;
mod duties;
mod handing_over;
mod inputs;
mod live_item;
mod retention;
mod runs;
mod scoring;
mod starting;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::group_tally::GroupTally;
use super::job::{BatchItem, BatchJob};
use super::ledger::{JobState, Ledger};
use super::order_lease::OrderLease;
use super::record::Record;
use super::schedule::{ReplicaState, Slowdown};
use super::score_plan::ScorePlan;
use super::weights::{Load, LoadEnd, LoadPlan};
use crate::decision::{Component, Decision};
use crate::duties::{DutyCall, DutyPlan};
use crate::identity::{BatchId, TenantName};
use crate::ingress::admission::AdmissionGate;
use crate::ingress::routes::{Route, RouteTable};
use crate::ingress::warmups::Warmups;
use crate::quarantine::Quarantine;
use crate::time::Timestamp;
pub use action::{Action, RunEnd, RunEvent, RunId, RunStart, Submission};
pub use config::ControllerConfig;
use live_item::{ItemStage, LiveItem};

struct Run {
    batch: BatchId,
    item: u32,
    replica: String,
    tokens: u64,
    started_at: Timestamp,
    last_event_at: Option<Timestamp>,
}

/// The owner's state machine.
pub struct Controller {
    config: ControllerConfig,
    ledger: Ledger,
    /// Appends that are not decided yet, in order.
    appending: VecDeque<Vec<Record>>,
    accepting: HashSet<BatchId>,
    ending: HashSet<BatchId>,
    items: HashMap<(BatchId, u32), LiveItem>,
    /// Groups of the jobs that are open.
    tallies: HashMap<BatchId, GroupTally>,
    runs: BTreeMap<RunId, Run>,
    last_run: u64,
    routes: Option<Arc<RouteTable>>,
    replicas: BTreeMap<String, ReplicaState>,
    /// What may be sent where.
    gate: AdmissionGate,
    /// What may be sent nowhere.
    quarantine: Arc<Quarantine>,
    slowdown: Slowdown,
    loads: LoadPlan,
    scores: ScorePlan,
    /// The shard's clock when this owner began.
    clock_base_ms: u64,
    began_at: Timestamp,
    last_append_at: Timestamp,
    lease: OrderLease,
    /// Loads whose orders are on their way to the stores, by replica.
    ordering: HashMap<String, Load>,
    /// Calls to the platform that are on their way to the stores, by subject.
    calling: HashMap<String, DutyCall>,
    duties: DutyPlan,
    held_bytes: usize,
    /// Whether the authority was confirmed lately; nothing is started or ordered otherwise.
    is_confirmed: bool,
    actions: VecDeque<Action>,
    /// What is to be looked at once all events at hand are taken in.
    due: DueWork,
}

/// Work that events make necessary. It is done once for all events that came together.
#[derive(Clone, Copy, Debug, Default)]
struct DueWork {
    now: Timestamp,
    items: bool,
    loads: bool,
}

impl Controller {
    /// The owner of what its log amounts to.
    pub fn new(config: ControllerConfig, ledger: Ledger, now: Timestamp, lease: OrderLease) -> Self {
        let mut controller = Self {
            duties: DutyPlan::new(config.duties),
            calling: HashMap::new(),
            config,
            clock_base_ms: ledger.clock_ms(),
            ledger,
            appending: VecDeque::new(),
            accepting: HashSet::new(),
            ending: HashSet::new(),
            items: HashMap::new(),
            tallies: HashMap::new(),
            runs: BTreeMap::new(),
            last_run: 0,
            routes: None,
            replicas: BTreeMap::new(),
            gate: AdmissionGate::new(Warmups::of_owner(now)),
            quarantine: Arc::default(),
            slowdown: Slowdown::default(),
            loads: LoadPlan::default(),
            scores: ScorePlan::default(),
            began_at: now,
            last_append_at: now,
            lease,
            ordering: HashMap::new(),
            held_bytes: 0,
            is_confirmed: true,
            actions: VecDeque::new(),
            due: DueWork::default(),
        };
        controller.restore_items();
        controller
    }

    /// What is kept and may be shown.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The next thing to do.
    pub fn poll_action(&mut self) -> Option<Action> {
        if self.actions.is_empty() {
            self.do_due_work();
        }
        self.actions.pop_front()
    }

    /// Says whether a majority of stores confirmed this owner lately. Without it nothing is started or ordered.
    pub const fn set_confirmed(&mut self, is_confirmed: bool) {
        self.is_confirmed = is_confirmed;
    }

    /// What the log amounts to, to stand for all records before; `None` while records are on their way or texts are
    /// missing.
    ///
    /// # Errors
    /// When it is too long for the codec.
    pub fn snapshot(&self) -> Result<Option<Vec<u8>>, speedy::Error> {
        let is_settled = self.appending.is_empty() && !self.ledger.is_outline();
        if is_settled { self.ledger.to_snapshot().map(Some) } else { Ok(None) }
    }

    /// Takes the texts that were not read when this owner began.
    pub fn fill_texts(&mut self, whole: Ledger) {
        self.held_bytes += self.ledger.fill_texts(whole);
    }

    /// How many items run and how many wait.
    pub fn item_counts(&self) -> (usize, usize) {
        let waits = |item: &&LiveItem| item.run.is_none() && item.stage == ItemStage::Generating;
        let waiting = self.items.values().filter(waits).count();
        (self.runs.len(), waiting)
    }

    /// The shard's clock, in milliseconds: never ahead of the time since the first owner began.
    fn clock_ms(&self, now: Timestamp) -> u64 {
        let since = u64::try_from(now.saturating_since(self.began_at).as_millis()).unwrap_or(u64::MAX);
        self.clock_base_ms.saturating_add(since)
    }

    fn restore_items(&mut self) {
        let mut whole = Vec::new();
        for (batch, state) in self.ledger.jobs() {
            self.held_bytes += held_bytes(state);
            if !state.is_ended {
                self.tallies.insert(batch.clone(), GroupTally::of(state));
            }
            for (item, position) in state.items.iter().zip(0..) {
                if !state.is_open(position) {
                    continue;
                }
                let key = (batch.clone(), position);
                let mut live = LiveItem {
                    failures: item.failures,
                    score_failures: item.score_failures,
                    ..LiveItem::default()
                };
                if item.is_whole {
                    whole.push(key.clone());
                } else {
                    live.events = item.events.clone();
                    live.written = item.events.len();
                }
                self.items.insert(key, live);
            }
        }
        for (batch, item) in whole {
            self.begin_scoring(self.began_at, &batch, item);
        }
    }

    /// Takes a job.
    pub fn submit(&mut self, now: Timestamp, job: BatchJob) -> Submission {
        if let Some(kept) = self.ledger.job(&job.id) {
            let is_own = kept.job.is_open_to(job.tenant.as_ref());
            return if is_own { Submission::Kept } else { Submission::IdTaken };
        }
        if self.accepting.contains(&job.id) {
            return Submission::Pending;
        }
        let bytes = job_bytes(&job);
        if self.held_bytes + bytes > self.config.capacity_bytes {
            let decision = Decision::new(Component::Rollout, "batch_refused", "no_room", &job.id);
            self.decide(decision.with("held_bytes", self.held_bytes));
            return Submission::Full;
        }
        self.held_bytes += bytes;
        self.accepting.insert(job.id.clone());
        let decision = Decision::new(Component::Rollout, "batch_taken", "has_room", &job.id);
        let decision = decision.with("items", job.items.len()).with("min_version", job.min_version);
        let decision = decision.with("tenant", job.tenant.as_ref().map_or("none", TenantName::as_str));
        self.decide(
            decision.with("step", job.step.map_or_else(|| "none".to_owned(), |step| step.to_string())),
        );
        let clock = Record::Clock(self.clock_ms(now));
        self.append(now, vec![clock, Record::Accepted(job)]);
        Submission::Pending
    }

    /// Ends a job: its runs are stopped at once, and the end is shown once it is kept. Returns whether it is kept
    /// already; `None` where there is no such job.
    pub fn end(&mut self, now: Timestamp, batch: &BatchId) -> Option<bool> {
        let is_ended = match self.ledger.job(batch) {
            Some(job) => job.is_ended,
            None if self.accepting.contains(batch) => false,
            None => return None,
        };
        if !is_ended && self.ending.insert(batch.clone()) {
            self.append(now, vec![Record::Ended(batch.clone())]);
            self.forget_items(now, batch);
            self.decide(Decision::new(Component::Rollout, "batch_ended", "caller", batch));
            self.work(now);
        }
        Some(is_ended)
    }

    /// The oldest append is decided: what it says is shown from now on.
    pub fn appended(&mut self, now: Timestamp) {
        let Some(records) = self.appending.pop_front() else { return };
        for record in records {
            self.apply(now, record);
        }
        self.work_and_load(now);
    }

    /// Applies a record that is decided, and does what follows from it.
    fn apply(&mut self, now: Timestamp, record: Record) {
        enum Follows {
            Nothing,
            Acceptance(BatchId),
            Scoring(BatchId, u32),
            Listing(BatchId, u32),
            Order(String),
            End(BatchId),
        }
        let follows = match &record {
            Record::Accepted(job) => Follows::Acceptance(job.id.clone()),
            Record::Whole { batch, item, .. } => Follows::Scoring(batch.clone(), *item),
            Record::Completed { batch, item, .. } | Record::Scored { batch, item, .. } => {
                Follows::Listing(batch.clone(), *item)
            }
            Record::Ordered { replica, .. } => Follows::Order(replica.clone()),
            Record::Listed { batch, result } => Follows::Listing(batch.clone(), result.item),
            Record::Ended(batch) => Follows::End(batch.clone()),
            _ => Follows::Nothing,
        };
        self.ledger.apply(record);
        match follows {
            Follows::Nothing => {}
            Follows::Acceptance(batch) => self.accepted(&batch),
            Follows::Scoring(batch, item) => self.begin_scoring(now, &batch, item),
            Follows::Listing(batch, item) => self.note_listed(&batch, item),
            Follows::Order(replica) => {
                self.actions.extend(self.ordering.remove(&replica).map(Action::Load));
                self.call_duty(&replica);
            }
            Follows::End(batch) => {
                self.decide(Decision::new(Component::Rollout, "end_kept", "decided", &batch));
            }
        }
    }

    /// Tells when an item made its group whole.
    fn note_listed(&mut self, batch: &BatchId, item: u32) {
        let Some(whole) = self.tallies.get_mut(batch).and_then(|tally| tally.listed(item)) else { return };
        let desired = self.ledger.job(batch).and_then(|job| job.job.desired_groups).unwrap_or(0);
        let last = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "group_whole", "all_listed", last);
        let decision = decision.with("batch", batch).with("group", whole.name).with("whole", whole.whole);
        self.decide(decision.with("desired", desired).with("groups", whole.groups));
    }

    fn accepted(&mut self, batch: &BatchId) {
        self.accepting.remove(batch);
        let Some(state) = self.ledger.job(batch).filter(|_| !self.ending.contains(batch)) else { return };
        self.tallies.insert(batch.clone(), GroupTally::of(state));
        let job = &state.job;
        let mut demand: BTreeMap<&str, u64> = BTreeMap::new();
        for (item, position) in job.items.iter().zip(0..) {
            self.items.insert((job.id.clone(), position), LiveItem::default());
            if let Some(model) = &item.model {
                *demand.entry(model).or_default() += expected_tokens(item);
            }
        }
        for (model, tokens) in demand {
            self.loads.add_demand(model, tokens);
        }
    }

    /// A load has ended, well or not.
    pub fn load_ended(&mut self, now: Timestamp, replica: &str, end: &LoadEnd) {
        self.note_load(replica, end);
        if let Some(state) = self.replicas.get_mut(replica) {
            state.loading = None;
            for (model, version) in &end.versions {
                state.saw_version(model, *version);
            }
        }
        self.work_and_load(now);
    }

    /// Learns from a load that is done how many may be under way.
    fn note_load(&mut self, replica: &str, end: &LoadEnd) {
        let Some(state) = self.replicas.get(replica) else { return };
        let Some(loading) = &state.loading else { return };
        let Some(time) = end.time.filter(|_| end.shows(&loading.model, loading.version)) else { return };
        self.loads.load_done(&state.record.service, loading, time, &self.replicas);
    }

    fn append(&mut self, now: Timestamp, records: Vec<Record>) {
        self.last_append_at = now;
        self.appending.push_back(records.clone());
        self.actions.push_back(Action::Append(records));
    }

    fn decide(&mut self, decision: Decision) {
        self.actions.push_back(Action::Decide(decision));
    }

    fn item(&self, batch: &BatchId, item: u32) -> Option<&BatchItem> {
        self.ledger.job(batch)?.job.items.get(item as usize)
    }

    fn route(&self, batch: &BatchId) -> Option<&Route> {
        let job = self.ledger.job(batch)?;
        self.routes.as_ref()?.by_name(&job.job.route)
    }

    fn needs_single_version(&self, batch: &BatchId) -> bool {
        self.route(batch).is_some_and(|route| route.needs_single_version)
    }
}

/// Tokens that an item will need: its estimate, or a part of the most that it may.
fn expected_tokens(item: &BatchItem) -> u64 {
    item.expected_tokens.unwrap_or(item.tokens / 3).min(item.tokens.max(1))
}

/// Bytes that a job counts for: its items, and the texts of its results.
fn held_bytes(state: &JobState) -> usize {
    let texts: usize = state.results.iter().map(|result| result.text.len()).sum();
    job_bytes(&state.job) + texts
}

fn job_bytes(job: &BatchJob) -> usize {
    let item_bytes = |item: &BatchItem| {
        let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        item.body.len() + item.path.len() + headers + item.id.len()
    };
    job.items.iter().map(item_bytes).sum()
}
