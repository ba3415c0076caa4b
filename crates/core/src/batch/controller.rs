//! The owner of a shard of batch jobs: which items run where, what is listed, what is given up.
//!
//! The driver hands in events and `now`, and takes out [`Action`]s. Invariants: nothing is shown before its record is
//! kept by a majority; an item's events are taken once each, in order, from a version that its job allows; no item of
//! an ended job is started.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::job::{BatchItem, BatchJob, ItemResult, KeptEvent};
use super::ledger::{JobState, Ledger};
use super::record::Record;
use super::schedule::{self, Need, PAUSE_AFTER_REJECTION, ReplicaState, SUSPECT_AFTER_BREAK};
use super::weights::{Load, LoadPlan};
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::ingress::replicas::{ReplicaRecord, ReplicaTable};
use crate::ingress::routes::{Route, RouteTable};
use crate::time::Timestamp;

/// Times and limits of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// A run without a first event for so long is taken up elsewhere.
    pub first_event_timeout: Duration,
    /// A run without a further event for so long is taken up elsewhere.
    pub event_timeout: Duration,
    /// Events of a run are kept on the stores this often, so that a new owner resumes there.
    pub progress_interval: Duration,
    /// How long an ended or finished job is kept, from when it was taken.
    pub retention: Duration,
    /// Bytes of items and results that are held at a time; more are refused.
    pub capacity_bytes: usize,
    /// The pause after which the shard's clock is written down where nothing else is.
    pub heartbeat_interval: Duration,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            first_event_timeout: Duration::from_millis(1_200),
            event_timeout: Duration::from_millis(900),
            progress_interval: Duration::from_millis(1_000),
            retention: Duration::from_secs(125),
            capacity_bytes: 96 << 20,
            heartbeat_interval: Duration::from_millis(200),
        }
    }
}

/// Names one run of one item within the life of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// A run to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// The run.
    pub run: RunId,
    /// Where.
    pub replica: ReplicaRecord,
    /// The host of the job's route.
    pub host: String,
    /// The item.
    pub item: BatchItem,
    /// The last event that is kept: the run begins after it.
    pub last_event: Option<u64>,
    /// How urgent it is: 0 to 9, 0 first.
    pub urgency: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer came whole.
    Complete,
    /// The replica stated that it did not run it.
    Rejected,
    /// Another replica has the address now.
    OtherReplica,
    /// The replica answered that the run failed.
    Failed,
    /// The replica answered that the item can never be done.
    Never,
    /// Nothing was sent, or the answer broke off.
    Broken,
}

impl RunEnd {
    /// The name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Rejected => "rejected",
            Self::OtherReplica => "other_replica",
            Self::Failed => "failed",
            Self::Never => "never",
            Self::Broken => "broken",
        }
    }
}

/// What a run gives while it goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// An event of its answer.
    Event(KeptEvent),
    /// It has ended.
    Ended(RunEnd),
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append to the shard's log; call [`Controller::appended`] once it is decided, in the same order.
    Append(Vec<Record>),
    /// Begin a run.
    Start(Box<RunStart>),
    /// Stop a run; nothing more of it is wanted.
    Stop(RunId),
    /// Order a replica to load a version.
    Load(Load),
    /// Show a decision.
    Decide(Decision),
}

/// What comes of handing a job in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It is kept already.
    Kept,
    /// It will be kept once its record is decided.
    Pending,
    /// There is no room for it; nothing of it runs.
    Full,
}

struct Run {
    batch: BatchId,
    item: u32,
    replica: String,
    tokens: u64,
    started_at: Timestamp,
    last_event_at: Option<Timestamp>,
}

/// What the owner knows of an item beyond the ledger.
#[derive(Default)]
struct LiveItem {
    run: Option<RunId>,
    /// Events that have come, those of the ledger included.
    events: Vec<KeptEvent>,
    /// How many of them are on the stores or on their way there.
    written: usize,
    written_at: Timestamp,
    failures: u32,
    /// The replica that let the last run down.
    avoid: Option<String>,
    /// Its result is on its way to the stores.
    is_listing: bool,
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
    runs: BTreeMap<RunId, Run>,
    last_run: u64,
    routes: Option<Arc<RouteTable>>,
    replicas: BTreeMap<String, ReplicaState>,
    loads: LoadPlan,
    /// The shard's clock when this owner began.
    clock_base_ms: u64,
    began_at: Timestamp,
    last_append_at: Timestamp,
    may_load_from: Timestamp,
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
    /// The owner of what its log amounts to. It gives no orders before `may_load_from`.
    pub fn new(config: ControllerConfig, ledger: Ledger, now: Timestamp, may_load_from: Timestamp) -> Self {
        let mut controller = Self {
            config,
            clock_base_ms: ledger.clock_ms(),
            ledger,
            appending: VecDeque::new(),
            accepting: HashSet::new(),
            ending: HashSet::new(),
            items: HashMap::new(),
            runs: BTreeMap::new(),
            last_run: 0,
            routes: None,
            replicas: BTreeMap::new(),
            loads: LoadPlan::default(),
            began_at: now,
            last_append_at: now,
            may_load_from,
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

    /// What the log amounts to, to stand for all records before; `None` while records are on their way.
    ///
    /// # Errors
    /// When it is too long for the codec.
    pub fn snapshot(&self) -> Result<Option<Vec<u8>>, speedy::Error> {
        if self.appending.is_empty() { self.ledger.to_snapshot().map(Some) } else { Ok(None) }
    }

    /// How many items run and how many wait.
    pub fn item_counts(&self) -> (usize, usize) {
        let waiting = self.items.values().filter(|item| item.run.is_none() && !item.is_listing).count();
        (self.runs.len(), waiting)
    }

    /// The shard's clock, in milliseconds: never ahead of the time since the first owner began.
    fn clock_ms(&self, now: Timestamp) -> u64 {
        let since = u64::try_from(now.saturating_since(self.began_at).as_millis()).unwrap_or(u64::MAX);
        self.clock_base_ms.saturating_add(since)
    }

    fn restore_items(&mut self) {
        for (batch, state) in self.ledger.jobs() {
            self.held_bytes += job_bytes(&state.job);
            for (item, position) in state.items.iter().zip(0..) {
                if !state.is_open(position) {
                    continue;
                }
                let live = LiveItem {
                    events: item.events.clone(),
                    written: item.events.len(),
                    failures: item.failures,
                    ..LiveItem::default()
                };
                self.items.insert((batch.clone(), position), live);
            }
        }
    }

    /// Takes the operator's configuration, the platform's list of replicas, and the versions that trainers named.
    pub fn update(
        &mut self,
        now: Timestamp,
        routes: Option<Arc<RouteTable>>,
        replicas: &ReplicaTable,
        versions: &BTreeMap<String, u64>,
    ) {
        if routes.is_some() {
            self.routes = routes;
        }
        self.loads.name(versions, now);
        for record in replicas.records.values() {
            match self.replicas.get_mut(&record.id) {
                Some(state) => state.record = record.clone(),
                None => {
                    self.replicas.insert(record.id.clone(), ReplicaState::new(record.clone()));
                }
            }
        }
        let gone: Vec<String> =
            self.replicas.keys().filter(|id| !replicas.records.contains_key(*id)).cloned().collect();
        for id in gone {
            // Its runs go on: a replica that left the list may still serve what it has.
            if let Some(state) = self.replicas.get_mut(&id) {
                state.record.is_draining = true;
            }
            if !self.runs.values().any(|run| run.replica == id) {
                self.replicas.remove(&id);
            }
        }
        self.work_and_load(now);
    }

    /// Takes a job.
    pub fn submit(&mut self, now: Timestamp, job: BatchJob) -> Submission {
        if self.ledger.job(&job.id).is_some() {
            return Submission::Kept;
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
            self.forget_items(batch);
            self.decide(Decision::new(Component::Rollout, "batch_ended", "caller", batch));
            self.work(now);
        }
        Some(is_ended)
    }

    /// The oldest append is decided: what it says is shown from now on.
    pub fn appended(&mut self, now: Timestamp) {
        let Some(records) = self.appending.pop_front() else { return };
        for record in records {
            if let Record::Accepted(job) = &record {
                self.accepted(job);
            }
            self.ledger.apply(record);
        }
        self.work_and_load(now);
    }

    fn accepted(&mut self, job: &BatchJob) {
        self.accepting.remove(&job.id);
        if self.ending.contains(&job.id) {
            return;
        }
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

    /// Takes what a run gives.
    pub fn run_event(&mut self, now: Timestamp, run: RunId, event: RunEvent) {
        // What a stopped run still gives is not wanted.
        if !self.runs.contains_key(&run) {
            return;
        }
        match event {
            RunEvent::Event(event) => self.take_event(now, run, event),
            RunEvent::Ended(end) => self.run_ended(now, run, end),
        }
    }

    fn take_event(&mut self, now: Timestamp, id: RunId, event: KeptEvent) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let gap = run.last_event_at.map(|earlier| now.saturating_since(earlier));
        run.last_event_at = Some(now);
        let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
        let model = self.item(&batch, item).and_then(|item| item.model.clone());
        if let Some(state) = self.replicas.get_mut(&replica) {
            if let Some(gap) = gap {
                state.saw_gap(gap);
            }
            if let Some(model) = &model {
                state.saw_version(model, event.version);
            }
        }
        if !self.is_version_allowed(&batch, item, event.version) {
            return self.drop_run_of_wrong_version(now, id, &batch, item);
        }
        let progress_interval = self.config.progress_interval;
        let keeps_progress = !self.needs_single_version(&batch);
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        let next = live.events.last().map_or(event.number, |last| last.number + 1);
        if event.number < next {
            return;
        }
        if event.number > next {
            return self.run_ended(now, id, RunEnd::Broken);
        }
        live.events.push(event);
        let is_due = now.saturating_since(live.written_at) >= progress_interval;
        if keeps_progress && is_due {
            let events = live.events[live.written..].to_vec();
            live.written = live.events.len();
            let is_first = live.written_at == Timestamp::ORIGIN;
            live.written_at = now;
            if is_first && events.len() < 2 {
                live.written -= events.len();
                return;
            }
            self.append(now, vec![Record::Progress { batch, item, events }]);
        }
    }

    /// Whether an event of this version may stand in the item's text.
    fn is_version_allowed(&self, batch: &BatchId, item: u32, version: u64) -> bool {
        let Some(job) = self.ledger.job(batch) else { return false };
        if version < job.job.min_version {
            return false;
        }
        let earlier = self.items.get(&(batch.clone(), item)).and_then(|live| live.events.first());
        !self.needs_single_version(batch) || earlier.is_none_or(|earlier| earlier.version == version)
    }

    fn drop_run_of_wrong_version(&mut self, now: Timestamp, id: RunId, batch: &BatchId, item: u32) {
        let starts_anew = self.needs_single_version(batch);
        if let Some(live) = self.items.get_mut(&(batch.clone(), item)).filter(|_| starts_anew) {
            live.events.clear();
        }
        self.decide(
            Decision::new(Component::Rollout, "run_stopped", "wrong_version", batch).with("item", item),
        );
        self.stop(id);
        self.work(now);
    }

    fn run_ended(&mut self, now: Timestamp, id: RunId, end: RunEnd) {
        let Some(run) = self.runs.get(&id) else { return };
        let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
        self.stop(id);
        let key = (batch.clone(), item);
        if let Some(state) = self.replicas.get_mut(&replica) {
            match end {
                RunEnd::Broken => state.avoid_until = state.avoid_until.max(now + SUSPECT_AFTER_BREAK),
                RunEnd::Rejected => state.avoid_until = state.avoid_until.max(now + PAUSE_AFTER_REJECTION),
                // The address belongs to another: the list will say so.
                RunEnd::OtherReplica => state.avoid_until = now + SUSPECT_AFTER_BREAK * 5,
                RunEnd::Complete | RunEnd::Failed | RunEnd::Never => {}
            }
        }
        let subject = self.item(&batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "run_ended", end.as_str(), subject);
        self.decide(decision.with("batch", &batch).with("replica", &replica).with("run", id.0));
        let max_attempts = self.route(&batch).map_or(1, |route| route.max_attempts);
        let Some(live) = self.items.get_mut(&key) else { return };
        match end {
            RunEnd::Complete => self.list_complete(now, &batch, item),
            RunEnd::Never => self.give_up(now, &batch, item, "never"),
            RunEnd::Failed => {
                live.failures += 1;
                live.avoid = Some(replica);
                let failures = live.failures;
                self.append(now, vec![Record::Failed { batch: batch.clone(), item, failures }]);
                if failures >= max_attempts {
                    self.give_up(now, &batch, item, "failures");
                }
            }
            RunEnd::Broken | RunEnd::Rejected | RunEnd::OtherReplica => live.avoid = Some(replica),
        }
        self.work(now);
    }

    fn list_complete(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        live.is_listing = true;
        let result = ItemResult::complete(item, &live.events);
        live.events = Vec::new();
        self.held_bytes += result.text.len();
        self.append(now, vec![Record::Listed { batch: batch.clone(), result }]);
    }

    fn give_up(&mut self, now: Timestamp, batch: &BatchId, item: u32, reason: &str) {
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        if live.is_listing {
            return;
        }
        live.is_listing = true;
        let run = live.run.take();
        if let Some(run) = run {
            self.stop(run);
        }
        let subject = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        self.decide(Decision::new(Component::Rollout, "item_given_up", reason, subject).with("batch", batch));
        let result = ItemResult::faulted(item);
        self.append(now, vec![Record::Listed { batch: batch.clone(), result }]);
    }

    /// A load has ended, well or not; `versions` is what the replica reports, where it answered.
    pub fn load_ended(&mut self, now: Timestamp, replica: &str, versions: Option<&BTreeMap<String, u64>>) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.loading = None;
            for (model, version) in versions.into_iter().flatten() {
                state.saw_version(model, *version);
            }
        }
        self.work_and_load(now);
    }

    /// Does what is due by now. To be called at least every [`ControllerConfig::heartbeat_interval`].
    pub fn tick(&mut self, now: Timestamp) {
        self.stop_stalled(now);
        self.move_slow(now);
        self.give_up_old(now);
        self.drop_old(now);
        if self.appending.is_empty()
            && now.saturating_since(self.last_append_at) >= self.config.heartbeat_interval
        {
            let clock = Record::Clock(self.clock_ms(now));
            self.append(now, vec![clock]);
        }
        self.work_and_load(now);
    }

    fn stop_stalled(&mut self, now: Timestamp) {
        let is_stalled = |run: &Run| match run.last_event_at {
            Some(at) => now.saturating_since(at) >= self.config.event_timeout,
            None => now.saturating_since(run.started_at) >= self.config.first_event_timeout,
        };
        let stalled: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| is_stalled(run)).map(|(id, _)| *id).collect();
        for id in stalled {
            self.run_ended(now, id, RunEnd::Broken);
        }
    }

    /// Runs at a replica that is much slower than one with a free slot are resumed there. Each is stopped first, so that
    /// no item runs twice at a time.
    fn move_slow(&mut self, now: Timestamp) {
        if !self.is_confirmed {
            return;
        }
        // A first look over all replicas spares the choice of one for each run.
        let free = self.replicas.values().filter(|state| state.has_free_slot());
        let Some(best) = free.map(ReplicaState::expected_pace).min_by(f64::total_cmp) else { return };
        let mut moves = 0;
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for id in runs {
            if moves >= MOVES_PER_TICK || !self.should_move(now, id, best) {
                continue;
            }
            moves += 1;
            let Some(run) = self.runs.get(&id) else { continue };
            let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
            let subject = self.item(&batch, item).map_or_else(String::new, |item| item.id.clone());
            let decision = Decision::new(Component::Rollout, "run_stopped", "slow_replica", subject);
            self.decide(decision.with("replica", &replica).with("run", id.0));
            self.stop(id);
            if let Some(live) = self.items.get_mut(&(batch.clone(), item)) {
                live.avoid = Some(replica);
            }
            self.start_item(now, &batch, item);
        }
    }

    fn should_move(&self, now: Timestamp, id: RunId, best: f64) -> bool {
        let Some(run) = self.runs.get(&id) else { return false };
        if now.saturating_since(run.started_at) < LEAST_STAY || run.last_event_at.is_none() {
            return false;
        }
        let Some(state) = self.replicas.get(&run.replica) else { return false };
        if best * MOVE_GAIN >= state.gap().as_secs_f64() {
            return false;
        }
        let Some(need) = self.need(&run.batch, run.item) else { return false };
        let others = Need { avoid: Some(&run.replica), ..need };
        let Some(other) = schedule::choose(&self.replicas, &others, now) else { return false };
        let Some(other) = self.replicas.get(&other).filter(|other| other.record.id != run.replica) else {
            return false;
        };
        other.expected_pace() * MOVE_GAIN < state.gap().as_secs_f64()
    }

    fn give_up_old(&mut self, now: Timestamp) {
        let clock_ms = self.clock_ms(now);
        let mut old = Vec::new();
        for (batch, item) in self.items.keys() {
            let Some(job) = self.ledger.job(batch) else { continue };
            let Some(route) = self.route(batch) else { continue };
            let age = Duration::from_millis(clock_ms.saturating_sub(job.accepted_at_ms));
            if age > route.max_queue + Duration::from_millis(500) && job.is_open(*item) {
                old.push((batch.clone(), *item));
            }
        }
        for (batch, item) in old {
            self.give_up(now, &batch, item, "too_old");
        }
    }

    fn drop_old(&mut self, now: Timestamp) {
        let clock_ms = self.clock_ms(now);
        let retention_ms = u64::try_from(self.config.retention.as_millis()).unwrap_or(u64::MAX);
        let is_done = |job: &JobState| job.is_ended || job.results.len() == job.job.items.len();
        let old = self
            .ledger
            .jobs()
            .values()
            .filter(|job| is_done(job) && clock_ms.saturating_sub(job.accepted_at_ms) > retention_ms);
        let old: Vec<BatchId> = old.map(|job| job.job.id.clone()).collect();
        for batch in old {
            if let Some(job) = self.ledger.job(&batch) {
                self.held_bytes = self.held_bytes.saturating_sub(job_bytes(&job.job));
            }
            self.forget_items(&batch);
            self.append(now, vec![Record::Dropped(batch)]);
        }
    }

    fn forget_items(&mut self, batch: &BatchId) {
        let runs: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| &run.batch == batch).map(|(id, _)| *id).collect();
        runs.into_iter().for_each(|run| self.stop(run));
        self.items.retain(|(owner, _), _| owner != batch);
    }

    fn stop(&mut self, id: RunId) {
        let Some(run) = self.runs.remove(&id) else { return };
        if let Some(live) = self.items.get_mut(&(run.batch.clone(), run.item)) {
            live.run = None;
        }
        if let Some(state) = self.replicas.get_mut(&run.replica) {
            state.running = state.running.saturating_sub(1);
            state.tokens = state.tokens.saturating_sub(run.tokens);
        }
        self.actions.push_back(Action::Stop(id));
    }

    /// Items may be started at the next look.
    fn work(&mut self, now: Timestamp) {
        self.due.now = now;
        self.due.items = true;
    }

    /// Items may be started and versions loaded at the next look.
    fn work_and_load(&mut self, now: Timestamp) {
        self.work(now);
        self.due.loads = true;
    }

    fn do_due_work(&mut self) {
        let DueWork { now, items, loads } = std::mem::take(&mut self.due);
        if items {
            self.forget_listed();
        }
        if !self.is_confirmed {
            return;
        }
        if loads {
            self.start_loads(now);
        }
        if items {
            self.start_items(now);
        }
    }

    /// Items that stand in their job's list need nothing more.
    fn forget_listed(&mut self) {
        let ledger = &self.ledger;
        self.items.retain(|(batch, item), live| {
            let is_listed = || ledger.job(batch).is_some_and(|job| !job.is_open(*item));
            !(live.is_listing && is_listed())
        });
    }

    fn start_loads(&mut self, now: Timestamp) {
        if now < self.may_load_from {
            return;
        }
        let Some(routes) = self.routes.clone() else { return };
        for service in routes.services.keys() {
            for load in self.loads.next(service, &self.replicas, now) {
                if let Some(state) = self.replicas.get_mut(&load.replica) {
                    state.loading = Some((load.model.clone(), load.version));
                }
                let decision = Decision::new(Component::Weights, "load_ordered", "behind", &load.replica);
                self.decide(decision.with("model", &load.model).with("version", load.version));
                self.actions.push_back(Action::Load(load));
            }
        }
    }

    fn start_items(&mut self, now: Timestamp) {
        if !self.replicas.values().any(ReplicaState::has_free_slot) {
            return;
        }
        for (batch, item) in self.waiting(now) {
            self.start_item(now, &batch, item);
        }
    }

    /// Waiting items, the most pressing first.
    fn waiting(&self, now: Timestamp) -> Vec<(BatchId, u32)> {
        let clock_ms = self.clock_ms(now);
        let mut left: HashMap<(&BatchId, &str), u32> = HashMap::new();
        for (batch, item) in self.items.keys() {
            if let Some(group) = self.item(batch, *item).and_then(|item| item.group.as_deref()) {
                *left.entry((batch, group)).or_default() += 1;
            }
        }
        let mut waiting = Vec::new();
        for ((batch, item), live) in &self.items {
            if live.run.is_some() || live.is_listing {
                continue;
            }
            let Some(job) = self.ledger.job(batch) else { continue };
            let Some(request) = job.job.items.get(*item as usize) else { continue };
            let due_ms = self.route(batch).map_or(0, |route| route.due.as_millis() as u64);
            let is_late = clock_ms.saturating_sub(job.accepted_at_ms) > due_ms;
            let group_left = request.group.as_deref().and_then(|group| left.get(&(batch, group)).copied());
            let expected = expected_tokens(request).saturating_sub(live.events.len() as u64);
            let rank = (is_late, job.accepted_at_ms, u64::MAX - expected, group_left.unwrap_or(0));
            waiting.push((rank, batch.clone(), *item));
        }
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, batch, item)| (batch, item)).collect()
    }

    /// What an item needs of a replica; none where its route is gone.
    fn need(&self, batch: &BatchId, item: u32) -> Option<Need<'_>> {
        let job = self.ledger.job(batch)?;
        let routes = self.routes.as_ref()?;
        let route = routes.by_name(&job.job.route)?;
        let request = job.job.items.get(item as usize)?;
        let live = self.items.get(&(batch.clone(), item))?;
        let first_service = route.services.first().and_then(|part| routes.services.get(&part.service));
        let first_event = live.events.first().filter(|_| route.needs_single_version);
        Some(Need {
            services: &route.services,
            model: request.model.as_deref(),
            min_version: job.job.min_version,
            exact_version: first_event.map(|event| event.version),
            tokens: expected_tokens(request),
            memory_tokens: first_service.and_then(|service| service.memory_tokens),
            avoid: live.avoid.as_deref(),
        })
    }

    fn start_item(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let Some(mut need) = self.need(batch, item) else { return };
        let Some(job) = self.ledger.job(batch) else { return };
        let Some(request) = self.item(batch, item) else { return };
        let Some(live) = self.items.get(&(batch.clone(), item)) else { return };
        let mut last_event = live.events.last().map(|event| event.number);
        let mut chosen = schedule::choose(&self.replicas, &need, now);
        let mut starts_anew = false;
        if chosen.is_none() && need.exact_version.is_some() {
            need.exact_version = None;
            chosen = schedule::choose(&self.replicas, &need, now);
            last_event = None;
            starts_anew = true;
        }
        let Some(chosen) = chosen else { return };
        let (tokens, request, host) = (need.tokens, request.clone(), job.job.host.clone());
        let Some(state) = self.replicas.get_mut(&chosen) else { return };
        state.running += 1;
        state.tokens += tokens;
        let replica = state.record.clone();
        self.last_run += 1;
        let run = RunId(self.last_run);
        if let Some(live) = self.items.get_mut(&(batch.clone(), item)) {
            live.run = Some(run);
            if starts_anew {
                live.events.clear();
            }
        }
        let started =
            Run { batch: batch.clone(), item, replica: chosen, tokens, started_at: now, last_event_at: None };
        self.runs.insert(run, started);
        let decision = Decision::new(Component::Rollout, "run_started", "chosen", &request.id)
            .with("batch", batch)
            .with("replica", &replica.id)
            .with("run", run.0)
            .with("after_event", last_event.map_or_else(|| "none".to_owned(), |number| number.to_string()));
        self.decide(decision);
        let start = RunStart { run, replica, host, item: request, last_event, urgency: DEFAULT_URGENCY };
        self.actions.push_back(Action::Start(Box::new(start)));
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

/// How much faster another replica must be before a run is moved there.
const MOVE_GAIN: f64 = 1.6;
/// Runs moved in one tick at most: each makes the other replica slower.
const MOVES_PER_TICK: usize = 8;
/// A run stays at least so long where it is.
const LEAST_STAY: Duration = Duration::from_millis(500);

/// Urgency of items where nothing speaks for another.
const DEFAULT_URGENCY: u8 = 5;

/// Tokens that an item will need: its estimate, or a part of the most that it may.
fn expected_tokens(item: &BatchItem) -> u64 {
    item.expected_tokens.unwrap_or(item.tokens / 3).min(item.tokens.max(1))
}

fn job_bytes(job: &BatchJob) -> usize {
    let item_bytes = |item: &BatchItem| {
        let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        item.body.len() + item.path.len() + headers + item.id.len()
    };
    job.items.iter().map(item_bytes).sum()
}
