//! Takes over the shard of one pool's weights and drives its waves.
//!
//! Owns the pool's controller, its log, its calls to engines and the callers that wait. Relies on
//! `core::weights` for every choice. The versions that batch jobs need are loaded by another owner, with
//! other orders (`batch::load`): its replicas are the platform's and report differently.

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
use super::shard::{ShardClock, ShardCommand, encode_all, last_answer, refuse_waiting, refused};
use crate::context::Context;
use crate::http::client::HttpClient;
use crate::store::log_writer::{AppendMode, AppendOutcome, LogWriter, RecordFormat};
use crate::store::shard_log::{RecoveredLog, ShardLog, ShardLogError};

/// The prefix of this part's log lines.
const LOG_PREFIX: &str = "weights";
/// A connection to an engine that is not made within this time is given up. Chosen, not measured: some round
/// trips of a busy machine; longer only delays the next question, since the wave goes on with other replicas.
const ENGINE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One pool's weights on this node.
pub(super) struct WeightsShard {
    pub(super) context: Context,
    pub(super) shard: ShardId,
    pub(super) pool: PoolName,
    pub(super) commands: mpsc::Receiver<ShardCommand>,
    pub(super) stop: CancellationToken,
}

impl WeightsShard {
    /// Takes the shard over and owns it until stopped, superseded or without a usable log.
    pub(super) async fn run(mut self) {
        let taken_over = tokio::select! {
            taken_over = ShardLog::take_over(&self.context, &self.shard) => taken_over,
            () = self.stop.cancelled() => return,
        };
        match taken_over {
            Ok((log, recovered)) => self.own(log, &recovered).await,
            Err(error) => {
                log::warn!(target: "weights", "Pool {} is not owned here: {error}.", self.pool);
                refuse_waiting(&mut self.commands, &error);
            }
        }
    }

    async fn own(mut self, log: ShardLog, recovered: &RecoveredLog) {
        let clock = ShardClock::new();
        let epoch = log.epoch();
        let snapshot = recovered.snapshot.as_deref();
        let config = WaveConfig::default();
        let controller =
            WeightsController::recover(self.pool.clone(), snapshot, &recovered.records, config, clock.now());
        let controller = match controller {
            Ok(controller) => controller,
            Err(error) => {
                log::error!(target: "weights", "Pool {}: its log can't be used: {error}.", self.pool);
                return;
            }
        };
        log::info!(target: "weights", "Pool {} is owned here under epoch {epoch}.", self.pool);
        let engines = EngineClient {
            http: HttpClient::new(ENGINE_CONNECT_TIMEOUT),
            shard: self.shard.clone(),
            epoch,
            deadline: self.context.settings.coordinator.call_timeout,
        };
        let owner = WeightsOwner {
            context: self.context.clone(),
            pool: self.pool.clone(),
            engines,
            controller,
            clock,
            log: LogWriter::start(
                log,
                RecordFormat::bytes(LOG_PREFIX),
                AppendMode::Single,
                0,
                self.context.boot_clock.clone(),
            ),
            calls: JoinSet::new(),
            addresses: HashMap::new(),
            waiting: HashMap::new(),
            last_ticket: 0,
            end: None,
        };
        owner.run(&mut self.commands, &self.stop).await;
        log::info!(target: "weights", "Pool {} is no longer owned here.", self.pool);
    }
}

/// Why an owner ends by itself.
enum OwnerEnd {
    Log(ShardLogError),
    Superseded,
}

/// The owner of a pool's weights, with its log, its calls to engines and those who wait for an answer.
struct WeightsOwner {
    context: Context,
    pool: PoolName,
    engines: EngineClient,
    controller: WeightsController,
    clock: ShardClock,
    log: LogWriter<Vec<u8>>,
    calls: JoinSet<Option<Event>>,
    addresses: HashMap<ReplicaId, SocketAddr>,
    /// Those who wait for an answer, by ticket.
    waiting: HashMap<u64, ShardCommand>,
    last_ticket: u64,
    end: Option<OwnerEnd>,
}

impl WeightsOwner {
    async fn run(mut self, commands: &mut mpsc::Receiver<ShardCommand>, stop: &CancellationToken) {
        let mut refresh = tokio::time::interval(self.context.settings.coordinator.tick_interval);
        // The first command may be for a replica: it must be known by then.
        self.refresh_replicas();
        while self.end.is_none() {
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
        self.waiting.insert(self.last_ticket, command);
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

    /// Takes the pool's replicas from the directory. A pool of which the directory knows nothing is left as
    /// it was: the list may not have been read yet.
    fn refresh_replicas(&mut self) {
        let directory = self.context.directory.load();
        let Some(entries) = directory.pools.get(&self.pool) else { return };
        let staying = entries.iter().filter(|entry| !entry.leaving);
        let addresses: HashMap<ReplicaId, SocketAddr> =
            staying.map(|entry| (entry.replica.clone(), entry.address)).collect();
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
            // This owner replaces no store.
            AppendOutcome::Replaced(_) => {}
            AppendOutcome::Failed(error) => self.end = Some(OwnerEnd::Log(error)),
        }
    }

    fn handle_call(&mut self, call: Result<Option<Event>, tokio::task::JoinError>) {
        match call {
            Ok(Some(event)) => self.handle(event),
            Ok(None) => {}
            Err(error) => log::error!(target: "weights", "A call to an engine failed: {error}."),
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
                    log::info!(target: "weights", "Pool {}: epoch {epoch} is ahead.", self.pool);
                    self.end = Some(OwnerEnd::Superseded);
                }
                Action::Decide(decision) => self.context.decisions.record(decision),
            }
        }
    }

    fn append(&mut self, records: &[WeightsRecord]) {
        // Nothing that rests on records that can't be encoded is ever done.
        if let Some(encoded) = encode_all(LOG_PREFIX, records, WeightsRecord::encode) {
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
        let Some(command) = self.waiting.remove(&ticket) else { return };
        let response = match (&command.request, target) {
            (CoordinatorRequest::PublishWeights(..), Some(weight_version)) => {
                CoordinatorResponse::Weights(PublishWeights { weight_version })
            }
            _ => CoordinatorResponse::RoleChanged,
        };
        command.answer(response);
    }

    fn finish(mut self, commands: &mut mpsc::Receiver<ShardCommand>) {
        let failure = match &self.end {
            Some(OwnerEnd::Log(error)) => Some(error),
            Some(OwnerEnd::Superseded) | None => None,
        };
        let response = last_answer(LOG_PREFIX, failure, commands);
        for (_, command) in self.waiting.drain() {
            command.answer(response.clone());
        }
    }
}
