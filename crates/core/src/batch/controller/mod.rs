//! The owner of a shard of batch jobs: which items run where, what is listed, what is given up.
//!
//! The driver hands in events and `now`, and takes out [`Action`]s. Invariants: nothing is shown before its
//! record is kept by a majority; an item's events are taken once each, in order, from a version that its job
//! allows; no item of an ended job is started.

mod action;
mod config;
mod duties;
mod handover;
mod inputs;
mod jobs;
mod live_item;
mod loading;
mod records;
mod retention;
mod runs;
mod scoring;
mod starting;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::group_tally::GroupTally;
use super::job::BatchItem;
use super::ledger::Ledger;
use super::order_lease::OrderLease;
use super::record::Record;
use super::schedule::{ReplicaState, Slowdown};
use super::score_plan::ScorePlan;
use super::weights::{Load, LoadPlan};
use crate::decision::Decision;
use crate::duties::{DutyCall, DutyPlan};
use crate::identity::BatchId;
use crate::ingress::admission::AdmissionGate;
use crate::ingress::routes::{Route, RouteTable};
use crate::ingress::warmups::Warmups;
use crate::quarantine::Quarantine;
use crate::time::{Timestamp, whole_millis};
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

    /// Says whether a majority of stores confirmed this owner lately. Without it nothing is started or
    /// ordered.
    pub const fn set_confirmed(&mut self, is_confirmed: bool) {
        self.is_confirmed = is_confirmed;
    }

    /// What the log amounts to, to stand for all records before; `None` while records are on their way or
    /// texts are missing.
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
        let since = whole_millis(now.saturating_since(self.began_at));
        self.clock_base_ms.saturating_add(since)
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
