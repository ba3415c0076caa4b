//! Drives the state machine of the batch jobs that this node owns.

mod actions;
mod callers;
mod leaving;

use std::collections::HashMap;
use std::time::Duration;

use lichenpulley_core::batch::controller::{Controller, ControllerConfig, RunEvent, RunId};
use lichenpulley_core::batch::cut_off::{CutOffStep, CutOffWatch, StoresReply};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::order_lease::OrderLease;
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::batch::score_plan::ScoreId;
use lichenpulley_core::duties::DutyConfig;
use lichenpulley_core::identity::{BatchId, Epoch, NodeId};
use lichenpulley_core::time::Timestamp;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use callers::Reader;

use super::Command;
use super::keeper::StoreKeeper;
use super::load::{LoadEnded, LoadOrders};
use super::log::{LogWriter, Written};
use super::outline::{self, MissingTexts};
use super::scope::Scope;
use super::score::ScoreEnded;
use crate::boot_clock::{BootClock, BootInstant};
use crate::context::Context;
use crate::duties::{self, DutyCalls, DutyEnded};
use crate::ingress::pool::ReplicaPool;
use crate::metrics::Latency;
use crate::store::shard_log::{ShardLog, ShardLogError};

/// What was read under a confirmation may be shown for so long: any later owner began after it.
pub(super) const CONFIRMED_FOR: Duration = Duration::from_millis(600);
/// Events of runs that wait for the owner.
const EVENT_BACKLOG: usize = 4_096;
/// The part of the machine's memory that items and results may take.
const HELD_PERCENT: usize = 35;
/// The same for the jobs that are bound to some regions: a machine may own these beside the main shard.
const REGIONAL_HELD_PERCENT: usize = 20;
/// Margin above the order lease and the time for which an order may leave after its record.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The batch jobs as a new owner takes them over.
pub(super) struct Takeover {
    /// Their log.
    pub(super) log: ShardLog,
    /// What it amounts to.
    pub(super) ledger: Ledger,
    /// Bytes of the log.
    pub(super) held_bytes: usize,
    /// The epoch of the last owner that appended.
    pub(super) latest: Epoch,
    /// How long the owner before had been silent.
    pub(super) idle: Duration,
    /// What the owner before took and its stores don't keep.
    pub(super) offer: Option<ProgressOffer>,
    /// Texts that were not read; none where the log was read whole.
    pub(super) missing: Option<MissingTexts>,
}

/// The owner of a shard of batch jobs.
pub(super) struct Owner {
    scope: Scope,
    context: Context,
    pool: ReplicaPool,
    traffic: Handle,
    controller: Controller,
    origin: Instant,
    log: LogWriter,
    epoch: Epoch,
    /// Counts the time in which the machine is suspended: others take over meanwhile.
    clock: BootClock,
    /// When the last append that is known to be decided was begun.
    confirmed_at: BootInstant,
    runs: HashMap<RunId, AbortHandle>,
    run_events: mpsc::Receiver<(RunId, RunEvent)>,
    run_sender: mpsc::Sender<(RunId, RunEvent)>,
    scores: HashMap<ScoreId, AbortHandle>,
    score_ends: mpsc::UnboundedReceiver<ScoreEnded>,
    score_sender: mpsc::UnboundedSender<ScoreEnded>,
    loads: LoadOrders,
    keeper: StoreKeeper,
    load_ends: mpsc::UnboundedReceiver<LoadEnded>,
    submissions: Vec<(BatchId, Command)>,
    ends: Vec<(BatchId, Command)>,
    /// Counts of nodes that are on their way to the stores: the node's life, and the entry before which all are taken.
    usages: Vec<(String, u64, Command)>,
    /// The ledger with the texts that were not read when this owner began.
    texts: mpsc::Receiver<Ledger>,
    duty_calls: DutyCalls,
    duty_ends: mpsc::UnboundedReceiver<DutyEnded>,
    readers: Vec<Reader>,
    failure: Option<ShardLogError>,
    cut_off: CutOffWatch,
    /// What the stores reply to the question whether any can be reached.
    stores_replies: mpsc::UnboundedReceiver<StoresReply>,
    stores_asked: mpsc::UnboundedSender<StoresReply>,
    /// Whether a store is being replaced.
    is_replacing: bool,
    /// A much more capable node, and since when it has been seen.
    better: Option<(NodeId, Instant)>,
}

/// Why a node owns the batch jobs no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OwnerEnd {
    /// It left them to another; all that it took is kept.
    Left,
    /// It can't reach its stores, and leaves what they don't keep to another.
    CutOff(ProgressOffer),
    /// The log was lost to another or can't be written.
    Superseded,
}

impl Owner {
    /// The owner of what it has taken over.
    pub(super) fn new(scope: Scope, pool: ReplicaPool, traffic: Handle, takeover: Takeover) -> Self {
        let context = scope.context.clone();
        let Takeover { log, ledger, held_bytes, latest, idle, offer, missing } = takeover;
        let lease = OrderLease {
            holder: context.node.clone(),
            length: context.settings.batch.order_lease + CONFIRMED_FOR + LEASE_MARGIN,
            idle,
        };
        let memory = context.settings.machine.memory_bytes;
        let config = ControllerConfig::default();
        let held_percent = if scope.is_main() { HELD_PERCENT } else { REGIONAL_HELD_PERCENT };
        let capacity_bytes = config.capacity_bytes.min(memory / 100 * held_percent);
        let duties = context.settings.duties;
        let duties = DutyConfig { usage: duties.usage(), scaling: duties.scaling() };
        let duties = if scope.is_main() { duties } else { DutyConfig::default() };
        let (zones, regions) = (context.settings.places.zones.clone(), scope.regions.clone());
        let config = ControllerConfig { capacity_bytes, duties, zones, regions, ..config };
        let mut controller = Controller::new(config, ledger, Timestamp::ORIGIN, lease);
        if let Some(offer) = offer {
            let adopted = controller.adopt(offer, latest);
            ::log::info!(target: "batch", "{adopted} events came from the owner before.");
        }
        let (run_sender, run_events) = mpsc::channel(EVENT_BACKLOG);
        let (load_sender, load_ends) = mpsc::unbounded_channel();
        let (score_sender, score_ends) = mpsc::unbounded_channel();
        let (stores_asked, stores_replies) = mpsc::unbounded_channel();
        let (texts_sender, texts) = mpsc::channel(1);
        if let Some(missing) = missing.filter(|_| controller.ledger().is_outline()) {
            tokio::spawn(read_texts(scope.clone(), missing, texts_sender));
        }
        let (duty_sender, duty_ends) = mpsc::unbounded_channel();
        let epoch = log.epoch();
        let now = Instant::now();
        let clock = context.boot_clock.clone();
        Self {
            duty_calls: DutyCalls::new(context.clone(), epoch, duty_sender),
            duty_ends,
            texts,
            usages: Vec::new(),
            loads: LoadOrders::new(context.clone(), epoch, load_sender),
            keeper: StoreKeeper::start(scope.clone(), log.set().clone()),
            context,
            scope,
            pool,
            traffic,
            controller,
            origin: now,
            log: LogWriter::start(log, held_bytes, clock.clone()),
            epoch,
            confirmed_at: clock.now(),
            clock,
            runs: HashMap::new(),
            run_events,
            run_sender,
            scores: HashMap::new(),
            score_ends,
            score_sender,
            load_ends,
            submissions: Vec::new(),
            ends: Vec::new(),
            readers: Vec::new(),
            failure: None,
            cut_off: CutOffWatch::default(),
            stores_replies,
            stores_asked,
            is_replacing: false,
            better: None,
        }
    }

    /// Owns until the node drains, a much more capable one can own, or the log fails.
    pub(super) async fn run(mut self, commands: &mut mpsc::Receiver<Command>) -> OwnerEnd {
        let mut metadata = self.context.metadata.watch();
        let mut ticks = tokio::time::interval(self.context.settings.batch.tick_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let draining = self.context.draining.clone();
        self.update();
        let mut is_cut_off = false;
        while self.failure.is_none() {
            tokio::select! {
                () = draining.cancelled() => break,
                Some(command) = commands.recv() => self.handle_command(command),
                written = self.log.next() => self.handle_written(written),
                Some((run, event)) = self.run_events.recv() => self.handle_run(run, event),
                Some(ended) = self.score_ends.recv() => self.handle_score(&ended),
                Some(ended) = self.load_ends.recv() => self.handle_load(&ended),
                Some(ended) = self.duty_ends.recv() => self.handle_duty(&ended),
                Some(whole) = self.texts.recv() => {
                    self.controller.fill_texts(whole);
                    self.answer_readers();
                }
                // Beside the reading of a whole log a change of the stores took 9.3 s, in which nothing is decided; 0.25 s after it.
                replacement = self.keeper.next(), if !self.controller.ledger().is_outline() => {
                    self.is_replacing = true;
                    self.log.replace(replacement);
                }
                Ok(()) = metadata.changed() => self.update(),
                Some(reply) = self.stores_replies.recv() => {
                    is_cut_off = self.cut_off.replied(reply) == CutOffStep::Leave;
                    if is_cut_off {
                        ::log::warn!(target: "batch", "No store answers this owner: the batch jobs are left.");
                        break;
                    }
                }
                _ = ticks.tick() => {
                    if self.should_leave() {
                        break;
                    }
                    self.watch_silence();
                    self.tick();
                }
            }
            self.act();
        }
        let end = if self.failure.is_some() {
            OwnerEnd::Superseded
        } else if is_cut_off {
            OwnerEnd::CutOff(self.controller.progress_offer(self.epoch))
        } else {
            self.flush().await;
            OwnerEnd::Left
        };
        self.finish();
        end
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Invariant: nothing is shown, started or ordered on an authority that was not confirmed lately.
    fn is_confirmed(&self) -> bool {
        self.clock.since(self.confirmed_at) < CONFIRMED_FOR
    }

    fn update(&mut self) {
        let now = self.now();
        let metadata = &self.context.metadata;
        // Nothing is started at replicas before it is known which of them may be sent anything.
        if !metadata.knows_evacuations() {
            return;
        }
        let routes = metadata.routes.load_full();
        let (replicas, versions) = (metadata.replicas.load_full(), metadata.versions.load_full());
        self.controller.set_evacuated(now, metadata.evacuated.load_full());
        self.controller.set_quarantine(now, self.context.quarantine.verdict());
        self.controller.update(now, routes, &replicas, &versions);
    }

    fn tick(&mut self) {
        self.controller.set_confirmed(self.is_confirmed());
        self.controller.tick(self.now());
        self.controller.tick_duties(self.now(), duties::wall_time());
        let (running, waiting) = self.controller.item_counts();
        self.context.metrics.set_batch_items(self.scope.metric_label(), running, waiting);
        self.answer_readers();
    }

    fn handle_run(&mut self, run: RunId, event: RunEvent) {
        self.controller.set_confirmed(self.is_confirmed());
        let now = self.now();
        self.controller.run_event(now, run, event);
        // A burst is taken in at once.
        while let Ok((run, event)) = self.run_events.try_recv() {
            self.controller.run_event(now, run, event);
        }
    }

    fn handle_score(&mut self, ended: &ScoreEnded) {
        self.scores.remove(&ended.id);
        let now = self.now();
        self.controller.set_confirmed(self.is_confirmed());
        self.controller.score_ended(now, ended.id, &ended.end, ended.busy);
    }

    fn handle_load(&mut self, ended: &LoadEnded) {
        let now = self.now();
        self.controller.set_confirmed(self.is_confirmed());
        self.controller.load_ended(now, &ended.replica, &ended.end);
    }

    fn handle_duty(&mut self, ended: &DutyEnded) {
        let now = self.now();
        self.controller.set_confirmed(self.is_confirmed());
        self.controller.duty_ended(now, &ended.call, ended.end);
    }

    fn handle_written(&mut self, written: Written) {
        match written {
            Written::Appended { appends, began, is_long } => {
                self.context.metrics.observe(Latency::Append, "decided", self.clock.since(began));
                self.confirmed_at = self.confirmed_at.max(began);
                self.controller.set_confirmed(self.is_confirmed());
                let now = self.now();
                for _ in 0..appends {
                    self.controller.appended(now);
                }
                self.answer_writers();
                self.answer_readers();
                if is_long {
                    self.compact();
                }
            }
            Written::Replaced(set) => {
                self.is_replacing = false;
                self.keeper.follow(set);
            }
            Written::Failed(error) => self.failure = Some(error),
        }
    }

    fn compact(&mut self) {
        match self.controller.snapshot() {
            Ok(Some(snapshot)) => self.log.compact(snapshot),
            // Records are on their way: the next append tries again.
            Ok(None) => {}
            Err(error) => ::log::error!(target: "batch", "The log can't be compacted: {error}."),
        }
    }
}

/// Reads the texts that an owner lacks and hands them to it, unless it ends before.
async fn read_texts(scope: Scope, missing: MissingTexts, texts: mpsc::Sender<Ledger>) {
    tokio::select! {
        () = outline::read_texts(scope, missing, texts.clone()) => {}
        () = texts.closed() => {}
    }
}
