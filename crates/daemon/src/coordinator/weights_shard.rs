//! Takes over the shard of one pool's weights and rolls new versions out in waves.
//!
//! Owns the pool's controller, its log, its calls to engines and the pending requests. `core::weights` makes
//! all decisions. The weight versions of batch jobs are loaded by `batch::load`, with other orders, since the
//! platform's replicas report differently.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::identity::{PoolName, ReplicaId, ShardId, WeightVersion};
use lichenpulley_core::weights::{Action, Event, OrderCommand, WaveConfig, WeightsController, WeightsRecord};
use lichenpulley_protocol::caller::{PublishWeights, WeightsStatus};
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::engines::EngineClient;
use super::shard::{ShardClock, ShardCommand, encode_records, final_response, refuse_queued, refused};
use crate::context::Context;
use crate::http::client::HttpClient;
use crate::store::log_writer::{AppendMode, AppendOutcome, LogWriter, RecordFormat};
use crate::store::shard_log::{RecoveredLog, ShardLog, ShardLogError};

/// Target of this module's log lines.
const LOG_TARGET: &str = "weights";
/// Timeout of a connection attempt to an engine.
const ENGINE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The shard of one pool's weights on this node.
pub(super) struct WeightsShard {
    pub(super) context: Context,
    pub(super) shard: ShardId,
    pub(super) pool: PoolName,
    pub(super) commands: mpsc::Receiver<ShardCommand>,
    pub(super) stop: CancellationToken,
}

impl WeightsShard {
    /// Takes over the shard and owns it until it is stopped or superseded, or its log fails.
    pub(super) async fn run(mut self) {
        let taken_over = tokio::select! {
            taken_over = ShardLog::take_over(&self.context, &self.shard) => taken_over,
            () = self.stop.cancelled() => return,
        };
        match taken_over {
            Ok((log, recovered)) => self.run_owner(log, &recovered).await,
            Err(error) => {
                log::warn!(target: "weights", "Pool {}: the takeover failed: {error}.", self.pool);
                refuse_queued(&mut self.commands, &error);
            }
        }
    }

    async fn run_owner(mut self, log: ShardLog, recovered: &RecoveredLog) {
        let clock = ShardClock::new();
        let epoch = log.epoch();
        let snapshot = recovered.snapshot.as_deref();
        let config = WaveConfig::default();
        let controller =
            WeightsController::recover(self.pool.clone(), snapshot, &recovered.records, config, clock.now());
        let controller = match controller {
            Ok(controller) => controller,
            Err(error) => {
                log::error!(target: "weights", "Pool {}: the log can't be recovered: {error}.", self.pool);
                return;
            }
        };
        log::info!(target: "weights", "Pool {}: this node owns the weights under epoch {epoch}.", self.pool);
        let engines = EngineClient {
            http: HttpClient::new(ENGINE_CONNECT_TIMEOUT),
            shard: self.shard.clone(),
            epoch,
            call_timeout: self.context.settings.coordinator.call_timeout,
        };
        let owner = WeightsOwner {
            context: self.context.clone(),
            pool: self.pool.clone(),
            engines,
            controller,
            clock,
            log: LogWriter::start(
                log,
                RecordFormat::bytes(LOG_TARGET),
                AppendMode::Single,
                0,
                self.context.boot_clock.clone(),
            ),
            calls: JoinSet::new(),
            addresses: HashMap::new(),
            pending: HashMap::new(),
            last_ticket: 0,
            end_reason: None,
        };
        owner.run(&mut self.commands, &self.stop).await;
        log::info!(target: "weights", "Pool {}: this node no longer owns the weights.", self.pool);
    }
}

/// Why an owner ended without being stopped.
enum EndReason {
    Log(ShardLogError),
    Superseded,
}

/// The owner of a pool's weights, with its log, its calls to engines and the pending requests.
struct WeightsOwner {
    context: Context,
    pool: PoolName,
    engines: EngineClient,
    controller: WeightsController,
    clock: ShardClock,
    log: LogWriter<Vec<u8>>,
    calls: JoinSet<Option<Event>>,
    addresses: HashMap<ReplicaId, SocketAddr>,
    /// Requests that wait for their answer, by ticket.
    pending: HashMap<u64, ShardCommand>,
    last_ticket: u64,
    end_reason: Option<EndReason>,
}

impl WeightsOwner {
    async fn run(mut self, commands: &mut mpsc::Receiver<ShardCommand>, stop: &CancellationToken) {
        let mut refresh = tokio::time::interval(self.context.settings.coordinator.tick_interval);
        // The first command may name a replica, so the replicas must be known before it is handled.
        self.refresh_replicas();
        while self.end_reason.is_none() {
            let wakeup = self.controller.next_wakeup();
            tokio::select! {
                () = stop.cancelled() => break,
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                outcome = self.log.next() => self.handle_append(outcome),
                Some(call) = self.calls.join_next() => self.handle_call(call),
                _ = refresh.tick() => self.refresh_replicas(),
                () = self.clock.sleep_until(wakeup) => self.handle(Event::WakeUp),
            }
        }
        self.finish(commands);
    }

    fn handle_command(&mut self, command: ShardCommand) {
        let event = match &command.request {
            CoordinatorRequest::PublishWeights(_, PublishWeights { weight_version }) => {
                Event::Publish { ticket: self.last_ticket + 1, weight_version: *weight_version }
            }
            CoordinatorRequest::ChangeRole { replica, draining, .. } => {
                if !self.addresses.contains_key(replica) {
                    let message = format!("pool {} has no replica {replica}", self.pool);
                    return command.answer(refused("unknown_replica", message, "list the pool's replicas"));
                }
                let ticket = self.last_ticket + 1;
                Event::ChangeRole { ticket, replica: replica.clone(), draining: *draining }
            }
            CoordinatorRequest::WeightsStatus(_) => return command.answer(self.status()),
            _ => return command.answer(CoordinatorResponse::NotOwner(None)),
        };
        self.last_ticket += 1;
        self.pending.insert(self.last_ticket, command);
        self.handle(event);
    }

    fn status(&self) -> CoordinatorResponse {
        let progress = self.controller.progress();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        CoordinatorResponse::WeightsStatus(WeightsStatus {
            target: progress.target,
            replicas: count(progress.replicas),
            loading: count(progress.loading),
            confirmed: count(progress.confirmed),
        })
    }

    /// Updates the pool's replicas from the directory. Keeps them if the directory does not list the pool,
    /// since the machine list may not have been read yet.
    fn refresh_replicas(&mut self) {
        let directory = self.context.directory.load();
        let Some(entries) = directory.pools.get(&self.pool) else { return };
        let active = entries.iter().filter(|entry| !entry.leaving);
        let addresses: HashMap<ReplicaId, SocketAddr> =
            active.map(|entry| (entry.replica.clone(), entry.address)).collect();
        if addresses == self.addresses {
            return;
        }
        let replicas = addresses.keys().cloned().collect();
        self.addresses = addresses;
        self.handle(Event::Replicas(replicas));
    }

    fn handle_append(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Appended { appends, .. } => {
                (0..appends).for_each(|_| self.handle(Event::Appended))
            }
            // This owner never replaces a store.
            AppendOutcome::Confirmed { .. } | AppendOutcome::Replaced(_) => {}
            // Only a writer of batched appends refuses appends and asks for snapshots.
            AppendOutcome::Refused { .. } | AppendOutcome::SnapshotDue(_) => {}
            AppendOutcome::Failed(error) => self.end_reason = Some(EndReason::Log(error)),
        }
    }

    fn handle_call(&mut self, call: Result<Option<Event>, tokio::task::JoinError>) {
        match call {
            Ok(Some(event)) => self.handle(event),
            Ok(None) => {}
            Err(error) => log::error!(target: "weights", "The task of a call to an engine failed: {error}."),
        }
    }

    fn handle(&mut self, event: Event) {
        self.controller.handle(event, self.clock.now());
        while let Some(action) = self.controller.poll_action() {
            match action {
                Action::Append(records) => self.append(&records),
                Action::Compact(snapshot) => self.log.compact(snapshot),
                Action::Order { replica, command } => self.order(replica, command),
                Action::Poll(replica) => self.ask(replica),
                Action::Answer { ticket, target } => self.answer(ticket, target),
                Action::Superseded(epoch) => {
                    log::info!(target: "weights", "Pool {}: superseded by epoch {epoch}.", self.pool);
                    self.end_reason = Some(EndReason::Superseded);
                }
                Action::Decide(decision) => self.context.decisions.record(decision),
            }
        }
    }

    fn append(&mut self, records: &[WeightsRecord]) {
        // Records that can't be encoded are not appended, so no action that depends on them is taken.
        if let Some(encoded) = encode_records(LOG_TARGET, records, WeightsRecord::encode) {
            self.log.append(encoded);
        }
    }

    fn order(&mut self, replica: ReplicaId, command: OrderCommand) {
        let Some(address) = self.addresses.get(&replica).copied() else { return };
        let engines = self.engines.clone();
        self.calls.spawn(async move {
            let result = engines.order(address, command).await;
            Some(Event::OrderEnded { replica, result })
        });
    }

    fn ask(&mut self, replica: ReplicaId) {
        let Some(address) = self.addresses.get(&replica).copied() else { return };
        let engines = self.engines.clone();
        self.calls.spawn(async move {
            let report = engines.ask(address).await?;
            Some(Event::Reported { replica, report })
        });
    }

    fn answer(&mut self, ticket: u64, target: Option<WeightVersion>) {
        let Some(command) = self.pending.remove(&ticket) else { return };
        let response = match (&command.request, target) {
            (CoordinatorRequest::PublishWeights(..), Some(weight_version)) => {
                CoordinatorResponse::Weights(PublishWeights { weight_version })
            }
            _ => CoordinatorResponse::RoleChanged,
        };
        command.answer(response);
    }

    fn finish(mut self, commands: &mut mpsc::Receiver<ShardCommand>) {
        let failure = match &self.end_reason {
            Some(EndReason::Log(error)) => Some(error),
            Some(EndReason::Superseded) | None => None,
        };
        let response = final_response(LOG_TARGET, failure, commands);
        for (_, command) in self.pending.drain() {
            command.answer(response.clone());
        }
    }
}
