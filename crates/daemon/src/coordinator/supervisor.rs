//! Starts and stops the shards that this node owns and dispatches requests to them.
//!
//! Owns the tasks of these shards; dropping an entry stops its task. Relies on [`forward`], which derives the
//! owner of a shard from the cluster view.

use std::collections::HashMap;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{JobId, NodeId, PoolName, ShardId};
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::job_shard::JobShard;
use super::shard::ShardCommand;
use super::weights_shard::WeightsShard;
use super::{COMMAND_QUEUE_CAPACITY, forward};
use crate::context::Context;
use crate::gateway::Dispatcher;

/// A shard's task on this node; stopped on drop.
struct RunningShard {
    commands: mpsc::Sender<ShardCommand>,
    stop: CancellationToken,
}

impl Drop for RunningShard {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// The kind of a shard, which determines its state machine.
enum ShardKind {
    Job(JobId),
    Weights(PoolName),
}

impl ShardKind {
    fn of(shard: &ShardId) -> Option<Self> {
        let (kind, name) = shard.as_str().split_once('/')?;
        match kind {
            "job" => Some(Self::Job(JobId::new(name))),
            "weights" => Some(Self::Weights(PoolName::new(name))),
            _ => None,
        }
    }
}

/// Returns whether a shard is run by a coordinator.
pub(super) fn is_control_shard(shard: &ShardId) -> bool {
    ShardKind::of(shard).is_some()
}

/// Runs until the node has stopped.
pub(super) async fn run(
    context: Context,
    dispatcher: Dispatcher,
    mut commands: mpsc::Receiver<ShardCommand>,
) {
    let stopped = context.stopped.clone();
    let mut ticks = tokio::time::interval(context.settings.coordinator.tick_interval);
    let mut supervisor = Supervisor { context, dispatcher, shards: HashMap::new() };
    loop {
        tokio::select! {
            () = stopped.cancelled() => return,
            command = commands.recv() => match command {
                Some(command) => supervisor.handle(command),
                None => return,
            },
            _ = ticks.tick() => supervisor.stop_unowned(),
        }
    }
}

struct Supervisor {
    context: Context,
    dispatcher: Dispatcher,
    shards: HashMap<ShardId, RunningShard>,
}

impl Supervisor {
    fn handle(&mut self, command: ShardCommand) {
        let shard = command.request.shard();
        if !self.is_owned(&shard) {
            return command.answer(CoordinatorResponse::NotOwner(self.owner(&shard)));
        }
        self.ensure_running(&shard);
        if matches!(command.request, CoordinatorRequest::Own(_)) {
            return command.answer(CoordinatorResponse::Owned);
        }
        let Some(running) = self.shards.get(&shard) else {
            return command.answer(CoordinatorResponse::NotOwner(None));
        };
        if let Err(error) = running.commands.try_send(command) {
            // The task has ended or its queue is full; the sender retries.
            error.into_inner().answer(CoordinatorResponse::NotOwner(None));
        }
    }

    fn owner(&self, shard: &ShardId) -> Option<NodeId> {
        forward::owner(&self.context, shard).map(|member| member.node.clone())
    }

    /// Returns whether this node owns a shard. A draining node owns none.
    fn is_owned(&self, shard: &ShardId) -> bool {
        let is_leaving = self.context.draining.is_cancelled();
        !is_leaving && self.owner(shard).as_ref() == Some(&self.context.node)
    }

    /// Stops the shards that this node no longer owns and removes those whose task has ended.
    fn stop_unowned(&mut self) {
        let unowned: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(shard, running)| running.commands.is_closed() || !self.is_owned(shard))
            .map(|(shard, _)| shard.clone())
            .collect();
        for shard in unowned {
            let was_running = self.shards.remove(&shard).is_some_and(|shard| !shard.commands.is_closed());
            if was_running {
                self.record(&shard, "released", "owner_changed");
            }
        }
    }

    fn ensure_running(&mut self, shard: &ShardId) {
        if self.shards.get(shard).is_some_and(|running| !running.commands.is_closed()) {
            return;
        }
        let Some(kind) = ShardKind::of(shard) else { return };
        let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let stop = CancellationToken::new();
        let context = self.context.clone();
        match kind {
            ShardKind::Job(job) => {
                let dispatcher = self.dispatcher.clone();
                let (shard, stop) = (shard.clone(), stop.clone());
                tokio::spawn(JobShard { context, dispatcher, shard, job, commands, stop }.run());
            }
            ShardKind::Weights(pool) => {
                let (shard, stop) = (shard.clone(), stop.clone());
                tokio::spawn(WeightsShard { context, shard, pool, commands, stop }.run());
            }
        }
        self.record(shard, "taking_over", "owner_by_cluster_view");
        self.shards.insert(shard.clone(), RunningShard { commands: sender, stop });
    }

    fn record(&self, shard: &ShardId, action: &str, reason: &str) {
        let component =
            if shard.as_str().starts_with("job/") { Component::Rollout } else { Component::Weights };
        self.context.decisions.record(Decision::new(component, action, reason, shard));
    }
}
