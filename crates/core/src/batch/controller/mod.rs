//! State machine of the owner of a batch shard: starts items, lists results, and gives items up.
//!
//! The driver passes in events with the current time and polls [`Action`]s. Invariants: nothing is visible to
//! callers before its record is committed, that is, stored by a majority; the events of an item are accepted
//! exactly once, in order, and only from model versions that its job allows; no item of an ended job is
//! started.

mod action;
mod backlog;
mod config;
mod dispatch;
mod duties;
mod handover;
mod inputs;
mod jobs;
mod live_item;
mod loading;
mod queue;
mod records;
mod refusal;
mod retention;
mod reusing;
mod runs;
mod scoring;
mod starting;
mod waiting;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::group_tally::GroupTally;
use super::job::BatchItem;
use super::ledger::Ledger;
use super::load_limit::PoolSize;
use super::order_lease::OrderLease;
use super::record::Record;
use super::schedule::{PaceModel, ReplicaState};
use super::score_plan::ScorePlan;
use super::weights::{Load, LoadPlan};
use super::working_set::ItemDemand;
use crate::decision::Decision;
use crate::duties::{DutyCall, DutyPlan};
use crate::identity::BatchId;
use crate::ingress::admission::AdmissionGate;
use crate::ingress::replicas::ReplicaTable;
use crate::ingress::routes::{Route, RouteTable};
use crate::ingress::warmups::WarmupTracker;
use crate::quarantine::Quarantine;
use crate::time::{Timestamp, whole_millis};
pub use action::{Action, RunEnd, RunEvent, RunId, RunStart, Submission};
pub use config::ControllerConfig;
use dispatch::Dispatch;
use live_item::{ItemStage, LiveItem};
pub use reusing::ReuseCounts;
use waiting::WaitingMonitor;

struct Run {
    batch: BatchId,
    item: u32,
    replica: String,
    tokens: u64,
    started_at: Timestamp,
    last_event_at: Option<Timestamp>,
}

/// The state machine of a batch shard's owner.
pub struct Controller {
    config: ControllerConfig,
    ledger: Ledger,
    /// Appends that are not committed yet, in order.
    pending_appends: VecDeque<Vec<Record>>,
    pending_jobs: HashSet<BatchId>,
    ending_jobs: HashSet<BatchId>,
    items: HashMap<(BatchId, u32), LiveItem>,
    /// Group completion of each open job.
    tallies: HashMap<BatchId, GroupTally>,
    runs: BTreeMap<RunId, Run>,
    last_run: u64,
    routes: Option<Arc<RouteTable>>,
    /// All listed replicas.
    listed: Arc<ReplicaTable>,
    /// The replicas that this owner works with, and others on which it still has runs.
    replicas: BTreeMap<String, ReplicaState>,
    demand: ItemDemand,
    /// Sizes of the services with model weights, without evacuated replicas.
    pools: BTreeMap<String, PoolSize>,
    /// Decides which replicas admit new work.
    gate: AdmissionGate,
    /// Requests under which replicas crashed. Score requests among them are held back, items are not.
    quarantine: Arc<Quarantine>,
    paces: PaceModel,
    loads: LoadPlan,
    scores: ScorePlan,
    dispatch: Dispatch,
    waiting: WaitingMonitor,
    /// The shard's clock when this owner took over, in milliseconds.
    clock_base_ms: u64,
    began_at: Timestamp,
    last_append_at: Timestamp,
    lease: OrderLease,
    /// Loads whose order records are not committed yet, by replica name.
    pending_loads: HashMap<String, Load>,
    /// Calls to the platform whose records are not committed yet, by subject.
    pending_calls: HashMap<String, DutyCall>,
    duties: DutyPlan,
    held_bytes: usize,
    /// The largest state that the stores have room for, in bytes; `None` if it is unknown.
    state_limit: Option<usize>,
    /// Whether the rule for reusing earlier texts is to be applied to all open jobs.
    is_reuse_due: bool,
    reuse_counts: ReuseCounts,
    /// Whether ends that other nodes hold are still to be collected; no item is started until then.
    awaits_ends: bool,
    /// Whether the stores confirmed this owner's authority recently; otherwise nothing is started or ordered.
    is_confirmed: bool,
    actions: VecDeque<Action>,
    /// Work to do once all pending events are processed.
    due: DueWork,
}

/// Work that events have made necessary, done once for a whole batch of events.
#[derive(Clone, Copy, Debug, Default)]
struct DueWork {
    now: Timestamp,
    items: bool,
    loads: bool,
}

impl Controller {
    /// Creates the owner from the ledger that was recovered from the shard's log.
    pub fn new(config: ControllerConfig, ledger: Ledger, now: Timestamp, lease: OrderLease) -> Self {
        let mut controller = Self {
            duties: DutyPlan::new(config.duties),
            pending_calls: HashMap::new(),
            config,
            clock_base_ms: ledger.clock_ms(),
            ledger,
            pending_appends: VecDeque::new(),
            pending_jobs: HashSet::new(),
            ending_jobs: HashSet::new(),
            items: HashMap::new(),
            tallies: HashMap::new(),
            runs: BTreeMap::new(),
            last_run: 0,
            routes: None,
            listed: Arc::default(),
            replicas: BTreeMap::new(),
            demand: ItemDemand::default(),
            pools: BTreeMap::new(),
            gate: AdmissionGate::new(WarmupTracker::for_owner(now)),
            quarantine: Arc::default(),
            paces: PaceModel::default(),
            loads: LoadPlan::default(),
            scores: ScorePlan::default(),
            dispatch: Dispatch::default(),
            waiting: WaitingMonitor::default(),
            began_at: now,
            last_append_at: now,
            lease,
            pending_loads: HashMap::new(),
            held_bytes: 0,
            state_limit: None,
            is_reuse_due: false,
            reuse_counts: ReuseCounts::default(),
            awaits_ends: false,
            is_confirmed: true,
            actions: VecDeque::new(),
            due: DueWork::default(),
        };
        controller.restore_items();
        controller
    }

    /// Returns the committed state, which may be shown to callers.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the next action for the driver, after doing any due work.
    pub fn poll_action(&mut self) -> Option<Action> {
        if self.actions.is_empty() {
            self.run_due_work();
        }
        self.actions.pop_front()
    }

    /// Sets whether a majority of stores confirmed this owner recently. Without confirmation nothing is
    /// started or ordered.
    pub const fn set_confirmed(&mut self, is_confirmed: bool) {
        self.is_confirmed = is_confirmed;
    }

    /// Encodes a snapshot that replaces all committed records of the log. No pending append may have been written to
    /// it; they follow the snapshot. Returns `None` while event texts are missing.
    ///
    /// # Errors
    /// Fails when the ledger is too long for the codec.
    pub fn snapshot(&self) -> Result<Option<Vec<u8>>, speedy::Error> {
        if self.ledger.is_outline() { Ok(None) } else { self.ledger.to_snapshot().map(Some) }
    }

    /// Sets the largest state for which the log can be compacted within the stores' room, in bytes. New jobs beyond it
    /// are refused. `None` is no limit.
    pub const fn set_state_limit(&mut self, limit: Option<usize>) {
        self.state_limit = limit;
    }

    /// Returns the bytes that count towards the capacity.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Fills in the event texts that were not read when this owner took over.
    pub fn fill_texts(&mut self, whole: Ledger) {
        let outlined: Vec<BatchId> = self.ledger.outlined.iter().cloned().collect();
        let held_bytes = |ledger: &Ledger| {
            outlined.iter().filter_map(|batch| ledger.job(batch)).map(jobs::held_bytes).sum::<usize>()
        };
        let before = held_bytes(&self.ledger);
        self.ledger.fill_texts(whole);
        self.held_bytes = (self.held_bytes + held_bytes(&self.ledger)).saturating_sub(before);
        self.is_reuse_due = true;
    }

    /// Returns the number of running items and of waiting items.
    pub fn item_counts(&self) -> (usize, usize) {
        let waiting = self.items.values().filter(|item| item.is_waiting()).count();
        (self.runs.len(), waiting)
    }

    /// Returns the shard's clock in milliseconds. It never runs ahead of the time since the first owner took
    /// over.
    fn clock_ms(&self, now: Timestamp) -> u64 {
        let since = whole_millis(now.saturating_since(self.began_at));
        self.clock_base_ms.saturating_add(since)
    }

    fn record_decision(&mut self, decision: Decision) {
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
