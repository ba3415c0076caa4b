//! Owner of a shard of batch jobs: drives its state machine, `core::batch::controller`.
//!
//! Holds the controller, the log, the work in progress at replicas and the waiting callers. An owner runs
//! from a takeover until the node drains, a much more capable node can own the shard, no store answers, or
//! the log fails or is taken over by another owner.

mod actions;
mod callers;
mod configuration;
mod fenced_calls;
mod leaving;
mod queue;
mod running;
mod stores;
mod waiting;

use std::ops::ControlFlow;
use std::time::Duration;

use lichenpulley_core::batch::controller::{Controller, RunEvent, RunId};
use lichenpulley_core::batch::leaving::LeaveMonitor;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::order_lease::OrderLease;
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::identity::Epoch;
use lichenpulley_core::time::Timestamp;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, Interval, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use configuration::controller_config;
use fenced_calls::FencedCalls;
use queue::QueueReporter;
use running::RunningWork;
pub(super) use stores::CONFIRMED_FOR;
use stores::OwnedStores;
use waiting::WaitingCallers;

use super::Command;
use super::held_ends::CollectedEnds;
use super::load::LoadEnded;
use super::outline::{self, MissingTexts, ReadTexts};
use super::score::ScoreEnded;
use crate::context::Context;
use crate::duties::{self, DutyEnded};
use crate::http::body_memory::JobBytes;
use crate::ingress::pool::ReplicaPool;
use crate::metrics::Latency;
use crate::ownership::scope::Scope;
use crate::store::log_writer::{AppendOutcome, SnapshotRequest};
use crate::store::shard_log::{ShardLog, ShardLogError};

/// Margin added to the order lease and to [`CONFIRMED_FOR`], for clocks that run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// State that a new owner takes over.
pub(super) struct Takeover {
    /// The log of the shard.
    pub(super) log: ShardLog,
    /// The state recovered from the log.
    pub(super) ledger: Ledger,
    /// Size of the log in bytes, without missing texts.
    pub(super) held_bytes: usize,
    /// The epoch of the last owner that appended.
    pub(super) last_epoch: Epoch,
    /// How long the previous owner had been silent.
    pub(super) idle: Duration,
    /// Progress that the previous owner had received but could not commit.
    pub(super) offer: Option<ProgressOffer>,
    /// Range of the log whose texts are still to be read; `None` if the log was read completely.
    pub(super) missing: Option<MissingTexts>,
    /// Receives the ends that other nodes hold, once.
    pub(super) held_ends: mpsc::Receiver<CollectedEnds>,
}

/// The owner of a shard of batch jobs.
pub(super) struct Owner {
    scope: Scope,
    context: Context,
    controller: Controller,
    /// Time zero of the controller's clock.
    origin: Instant,
    epoch: Epoch,
    stores: OwnedStores,
    /// What the state leaves less of the memory for request bodies.
    job_bytes: JobBytes,
    running: RunningWork,
    calls: FencedCalls,
    callers: WaitingCallers,
    /// Receives ledgers with the texts that were missing at the takeover.
    texts: mpsc::Receiver<ReadTexts>,
    held_ends: mpsc::Receiver<CollectedEnds>,
    leave_monitor: LeaveMonitor,
    queue_reporter: QueueReporter,
    /// Whether the owner flushes its progress before it leaves; nothing is started meanwhile.
    is_leaving: bool,
    /// The error after which the log can't be written any more.
    failure: Option<ShardLogError>,
}

/// Why an ownership ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OwnerEnd {
    /// The node gave up the ownership after flushing its progress.
    Left,
    /// No store answers. The progress that is not committed is offered to the next owner.
    CutOff(ProgressOffer),
    /// Another owner took over the log, or the log can't be written.
    Superseded,
}

/// Event sources of the owner outside its own fields.
struct OwnerInputs<'a> {
    commands: &'a mut mpsc::Receiver<Command>,
    metadata: watch::Receiver<u64>,
    ticks: Interval,
    draining: CancellationToken,
}

/// Why an owner stops while its log can still be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// The node drains, or a much more capable node can own the shard.
    Leaves,
    /// No store answers.
    CutOff,
}

impl Owner {
    /// Creates the owner from the state that it took over.
    pub(super) fn new(scope: Scope, pool: ReplicaPool, traffic: Handle, takeover: Takeover) -> Self {
        let context = scope.context.clone();
        let Takeover { log, ledger, held_bytes, last_epoch, idle, offer, missing, held_ends } = takeover;
        let lease = OrderLease {
            holder: context.node.clone(),
            length: context.settings.batch.order_lease + CONFIRMED_FOR + LEASE_MARGIN,
            idle,
        };
        let mut controller = Controller::new(controller_config(&scope), ledger, Timestamp::ORIGIN, lease);
        if let Some(offer) = offer {
            let adopted = controller.adopt(offer, last_epoch);
            ::log::info!(target: "batch", "Adopted {adopted} events from the previous owner.");
        }
        controller.await_ends();
        let missing = missing.filter(|_| controller.ledger().is_outline());
        let epoch = log.epoch();
        Self {
            controller,
            origin: Instant::now(),
            epoch,
            running: RunningWork::new(context.clone(), pool, traffic),
            calls: FencedCalls::new(&context, epoch),
            callers: WaitingCallers::default(),
            texts: read_missing(&scope, missing),
            held_ends,
            stores: OwnedStores::new(scope.clone(), log, held_bytes),
            job_bytes: context.body_memory.count_jobs(),
            leave_monitor: LeaveMonitor::default(),
            queue_reporter: QueueReporter::default(),
            is_leaving: false,
            failure: None,
            scope,
            context,
        }
    }

    /// Runs until the ownership ends, and returns why.
    pub(super) async fn run(mut self, commands: &mut mpsc::Receiver<Command>) -> OwnerEnd {
        let mut ticks = tokio::time::interval(self.context.settings.batch.tick_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (metadata, draining) = (self.context.metadata.watch(), self.context.draining.clone());
        let mut inputs = OwnerInputs { commands, metadata, ticks, draining };
        self.report_state_size();
        self.limit_state(self.stores.log.first_state_limit());
        self.update();
        let mut stop = None;
        while self.failure.is_none() && stop.is_none() {
            match self.step(&mut inputs).await {
                ControlFlow::Continue(()) => self.execute_actions(),
                ControlFlow::Break(reason) => stop = Some(reason),
            }
        }
        let end = self.end_ownership(stop).await;
        self.stop_all_work();
        end
    }

    /// Waits for the next event and handles it.
    async fn step(&mut self, inputs: &mut OwnerInputs<'_>) -> ControlFlow<StopReason> {
        tokio::select! {
            () = inputs.draining.cancelled() => return ControlFlow::Break(StopReason::Leaves),
            Some(command) = inputs.commands.recv() => self.handle_command(command),
            outcome = self.stores.log.next() => self.handle_append(outcome),
            Some((run, event)) = running::next_event(&mut self.running.run_events, self.running.resume_at) => {
                self.handle_run(run, event);
            }
            Some(ended) = self.running.score_ends.recv() => self.handle_score(&ended),
            Some(ended) = self.calls.load_ends.recv() => self.handle_load(&ended),
            Some(ended) = self.calls.duty_ends.recv() => self.handle_duty(&ended),
            Some(read) = self.texts.recv() => self.fill_texts(read),
            held = self.held_ends.recv(), if self.controller.awaits_ends() => {
                // Without a message the collection failed, and holders send their ends themselves.
                self.end_held_jobs(&held.unwrap_or_default());
            }
            // Nothing is committed while the replica set changes, and reading missing texts at the same
            // time would make the change slow.
            replacement = self.stores.maintainer.next(), if !self.controller.ledger().is_outline() => {
                self.stores.log.replace(replacement);
            }
            Ok(()) = inputs.metadata.changed() => self.update(),
            Some(reply) = self.stores.probe_results.recv() => {
                if self.stores.is_cut_off_by(reply) {
                    ::log::warn!(target: "batch", "No store answers this owner: the batch jobs are left.");
                    return ControlFlow::Break(StopReason::CutOff);
                }
            }
            _ = inputs.ticks.tick() => {
                if self.should_leave() {
                    return ControlFlow::Break(StopReason::Leaves);
                }
                self.stores.probe_if_silent();
                self.tick();
            }
        }
        ControlFlow::Continue(())
    }

    /// Determines how the ownership ended. An owner that leaves flushes its progress first.
    async fn end_ownership(&mut self, stop: Option<StopReason>) -> OwnerEnd {
        match stop {
            None => OwnerEnd::Superseded,
            Some(StopReason::CutOff) => OwnerEnd::CutOff(self.controller.progress_offer(self.epoch)),
            Some(StopReason::Leaves) => {
                self.flush().await;
                OwnerEnd::Left
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn fill_texts(&mut self, read: ReadTexts) {
        self.controller.fill_texts(read.ledger);
        self.stores.log.count_log_bytes(read.left_out_bytes.unwrap_or(0));
        self.answer_readers();
    }

    fn update(&mut self) {
        let now = self.now();
        let metadata = &self.context.metadata;
        // Without this metadata it is unknown which replicas exist and which of them may receive requests.
        if !metadata.is_routable() {
            return;
        }
        let routes = metadata.routes.load_full();
        let (replicas, versions) = (metadata.replicas.load_full(), metadata.versions.load_full());
        self.controller.set_evacuated(now, metadata.evacuated.load_full());
        self.controller.set_quarantine(now, self.context.quarantine.current());
        self.controller.update(now, routes, &replicas, &versions);
    }

    /// Tells those that share the machine's memory and the stores' room how large the state is.
    fn report_state_size(&mut self) {
        let bytes = self.controller.held_bytes();
        self.stores.log.set_state_bytes(bytes);
        self.job_bytes.set(bytes);
    }

    fn tick(&mut self) {
        self.report_state_size();
        self.update_confirmation();
        self.controller.tick(self.now());
        self.controller.tick_duties(self.now(), duties::wall_time());
        let (running, waiting) = self.controller.item_counts();
        self.context.metrics.set_batch_items(self.scope.metric_label(), running, waiting);
        self.context.metrics.count_reused_items(self.controller.take_reuse_counts());
        self.report_queue();
        self.answer_readers();
    }

    /// Tells the controller whether it may start anything.
    fn update_confirmation(&mut self) {
        self.controller.set_confirmed(!self.is_leaving && self.stores.is_confirmed());
    }

    fn handle_run(&mut self, run: RunId, event: RunEvent) {
        let now = self.now();
        self.controller.run_event(now, run, event);
        // Handles all queued events before the actions that they cause.
        while let Ok((run, event)) = self.running.run_events.try_recv() {
            self.controller.run_event(now, run, event);
        }
        if self.controller.is_short(now) {
            self.running.pause_events();
        }
    }

    fn handle_score(&mut self, ended: &ScoreEnded) {
        self.running.forget_score(ended.id);
        let now = self.now();
        self.controller.score_ended(now, ended.id, &ended.end, ended.load);
    }

    fn handle_load(&mut self, ended: &LoadEnded) {
        let now = self.now();
        self.controller.load_ended(now, &ended.replica, &ended.end);
    }

    fn handle_duty(&mut self, ended: &DutyEnded) {
        let now = self.now();
        self.controller.duty_ended(now, &ended.call, ended.end);
    }

    fn handle_append(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Appended { appends, began, state_limit } => {
                self.context.metrics.observe(Latency::Append, "decided", self.stores.clock().since(began));
                self.stores.confirm(began);
                self.limit_state(state_limit);
                let now = self.now();
                for _ in 0..appends {
                    self.controller.appended(now);
                }
                self.answer_writers();
                self.answer_confirmed();
            }
            AppendOutcome::Confirmed { began } => {
                self.stores.confirm(began);
                self.answer_confirmed();
            }
            AppendOutcome::Refused { appends } => {
                for _ in 0..appends {
                    self.controller.append_refused().iter().for_each(|batch| self.callers.refuse_job(batch));
                }
            }
            AppendOutcome::SnapshotDue(request) => self.answer_snapshot(request),
            AppendOutcome::Replaced(set) => self.stores.maintainer.follow(set),
            AppendOutcome::Failed(error) => self.failure = Some(error),
        }
    }

    /// Sets the limit of the state, which is unknown while a part of the log is not counted.
    fn limit_state(&mut self, limit: Option<u64>) {
        let limit = limit.filter(|_| !self.controller.ledger().is_outline());
        self.controller.set_state_limit(limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX)));
    }

    /// Answers the callers for whom a later confirmation was needed.
    fn answer_confirmed(&mut self) {
        self.answer_lookups();
        self.answer_readers();
    }

    fn answer_snapshot(&self, request: SnapshotRequest) {
        match self.controller.snapshot() {
            Ok(Some(snapshot)) => request.answer(snapshot),
            // Declined: the writer asks again before its next write.
            Ok(None) => {}
            Err(error) => ::log::error!(target: "batch", "Failed to compact the log of batch jobs: {error}."),
        }
    }
}

/// Starts reading the missing texts, if any, and returns the channel on which they arrive.
fn read_missing(scope: &Scope, missing: Option<MissingTexts>) -> mpsc::Receiver<ReadTexts> {
    let (sender, texts) = mpsc::channel(1);
    if let Some(missing) = missing {
        tokio::spawn(read_texts(scope.clone(), missing, sender));
    }
    texts
}

/// Reads the missing texts and sends them to the owner; stops when the owner ends.
async fn read_texts(scope: Scope, missing: MissingTexts, texts: mpsc::Sender<ReadTexts>) {
    tokio::select! {
        () = outline::read_texts(scope, missing, texts.clone()) => {}
        () = texts.closed() => {}
    }
}
