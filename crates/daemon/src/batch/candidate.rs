//! A candidate for the ownership of the batch jobs: asks the stores whether the owner still appends, and
//! takes over.
//!
//! Owns the polling, the takeover of the log and the hand-over to the next candidate. When to take over is
//! decided in `core::batch::election`, who comes first in [`crate::ownership::order`]; what follows a takeover is
//! the [`Owner`]'s.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use lichenpulley_core::batch::election::{
    self, LeaderAnswer, LeaderAnswers, ObservedLeader, PollReason, TakeoverDecision,
};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::ledger_follower::LedgerFollower;
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::recovery::{LedgerRecovery, RecoveryStep};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::log::RecoveredLog;
use lichenpulley_core::replication::replica_set::ReplicaSet;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, StoreRequest, StoreResponse};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Command;
use super::follower::LogFollower;
use super::outline::{self, MissingTexts};
use super::owner::{Owner, OwnerEnd, Takeover};
use crate::cluster::Member;
use crate::ingress::pool::ReplicaPool;
use crate::ownership::order;
use crate::ownership::scope::Scope;
use crate::store::replica_sets;
use crate::store::shard_log::{ShardLog, ShardLogError};

/// Time between two polls of the stores. A quarter of the second of silence after which an owner is taken
/// over from; longer delays a takeover by as much, shorter asks every store more often.
const ELECTION_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A store that has not answered within this time counts as missing. Shorter, and busy stores make an owner
/// leave; longer, and one that is cut off leaves after others took over.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two heartbeats to the stores while the ledger is put together: as often as an owner appends
/// when it has nothing to record, a fifth of the silence after which others take over.
const RECOVERY_HEARTBEAT: Duration = Duration::from_millis(200);
/// How long a successor may take to answer that it was asked to take over. An owner that leaves waits for it;
/// a successor that does not answer finds the silence by itself.
const OWNERSHIP_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks every live store that may keep the shard who leads.
pub(crate) async fn ask_stores(scope: &Scope) -> LeaderAnswers {
    let answers = join_all(scope.stores().into_iter().map(|store| ask_store(scope, store))).await;
    LeaderAnswers(answers.into_iter().flatten().collect())
}

/// Asks one store; `None` where it gives no answer in time.
async fn ask_store(scope: &Scope, store: Member) -> Option<LeaderAnswer> {
    let request = StoreRequest::Leadership(scope.shard.clone());
    let peers = &scope.context.peers;
    // Why a store gives no answer does not matter here: it counts as missing.
    let Ok(StoreResponse::Leadership(seen)) = peers.store(store.peer_address, request, STORE_TIMEOUT).await
    else {
        return None;
    };
    let leader = seen.map(|seen| ObservedLeader {
        epoch: seen.epoch,
        owner: node_of_proposer(seen.proposer.as_str()),
        idle: Duration::from_millis(seen.idle_ms),
    });
    Some(LeaderAnswer { store: store.node, leader })
}

/// A proposer's id is its node's name, a slash, and a random number.
fn node_of_proposer(proposer: &str) -> NodeId {
    NodeId::new(proposer.split('/').next().unwrap_or_default())
}

/// Runs until the node has stopped.
pub(super) async fn run(scope: Scope, pool: ReplicaPool, traffic: Handle, commands: mpsc::Receiver<Command>) {
    let stopped = scope.context.stopped.clone();
    let follower = LogFollower::spawn(scope.clone());
    let mut candidate = Candidate { scope, pool, traffic, commands, polls: 0, offer: None, follower };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = candidate.run() => {}
    }
}

struct Candidate {
    scope: Scope,
    pool: ReplicaPool,
    traffic: Handle,
    commands: mpsc::Receiver<Command>,
    /// Turns so far at which the stores may have been asked.
    polls: u64,
    /// What an owner that can't reach its stores left.
    offer: Option<ProgressOffer>,
    follower: LogFollower,
}

impl Candidate {
    async fn run(&mut self) {
        loop {
            let reason = self.wait().await;
            if self.scope.context.draining.is_cancelled() {
                continue;
            }
            if let Some(idle) = self.poll(reason).await {
                let followed = self.follower.take();
                self.take_over(reason, idle, followed).await;
                self.follower.resume();
            }
        }
    }

    /// Waits for the next poll; answers commands with who owns meanwhile.
    async fn wait(&mut self) -> PollReason {
        let next = tokio::time::sleep(ELECTION_POLL_INTERVAL);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => return PollReason::Due,
                Some(command) = self.commands.recv() => {
                    if let BatchRequest::TakeOver(offer) = &command.request {
                        let reason = if offer.is_some() { PollReason::OwnerCutOff } else { PollReason::OwnerLeft };
                        self.offer.clone_from(offer);
                        command.answer(BatchResponse::Ended);
                        return reason;
                    }
                    let owner = self.scope.owner.load_full();
                    let owner = owner.filter(|owner| **owner != self.scope.context.node);
                    command.answer(BatchResponse::NotOwner(owner.map(|owner| NodeId::clone(&owner))));
                }
            }
        }
    }

    /// Whether to take over now, and how long the owner before has been silent.
    async fn poll(&mut self, reason: PollReason) -> Option<Duration> {
        let rank = order::rank(&self.scope);
        self.polls += 1;
        if reason == PollReason::Due && !election::should_poll(rank, self.polls) {
            return None;
        }
        // The first set of the main shard is waited for; one that can't be made in its regions is not tried
        // again and again.
        if !self.scope.is_main() && self.scope.shortage().is_some() {
            return None;
        }
        let answers = ask_stores(&self.scope).await;
        if let Some(owner) = answers.owner() {
            self.scope.owner.store(Some(Arc::new(owner.clone())));
        }
        if reason == PollReason::OwnerLeft {
            return Some(Duration::ZERO);
        }
        let (rank, takeover_after) =
            reason.rank_and_delay(rank, self.scope.context.settings.batch.takeover_after);
        let (counted, needed) = self.count_answers(&answers).await;
        let takeover_decision =
            election::decide_takeover(&self.scope.context.node, rank, &counted, needed, takeover_after);
        match takeover_decision {
            TakeoverDecision::Wait(_) => None,
            TakeoverDecision::TakeOver(None) => Some(self.scope.context.settings.batch.order_lease),
            TakeoverDecision::TakeOver(Some(idle)) => Some(idle),
        }
    }

    /// The answers that count, and how many are needed: a majority of the set in force, which may be smaller
    /// or larger than the settings want. Where too few count, the set that this node has met may have been
    /// replaced since.
    async fn count_answers(&self, answers: &LeaderAnswers) -> (Vec<Option<ObservedLeader>>, usize) {
        let (context, shard) = (&self.scope.context, &self.scope.shard);
        let least = context.settings.store.set_size.minimum_members();
        let needed_of = |set: Option<&ReplicaSet>| set.map_or(least, ReplicaSet::majority);
        let mut set = replica_sets::find_among_stores(context, shard).await;
        if set.is_some() && answers.counted(set.as_ref()).len() < needed_of(set.as_ref()) {
            context.replica_sets.forget(shard);
            set = replica_sets::find_among_stores(context, shard).await;
        }
        (answers.counted(set.as_ref()), needed_of(set.as_ref()))
    }

    /// Takes over from what was followed. Where nothing was, the outline of a long log is read first; another
    /// may have taken over meanwhile.
    async fn take_over(&mut self, reason: PollReason, idle: Duration, followed: Option<LedgerFollower>) {
        if followed.is_some() {
            return self.become_owner(reason, idle, followed, None).await;
        }
        let began = Instant::now();
        let outline = outline::read(&self.scope).await;
        if outline.is_none() {
            return self.become_owner(reason, idle, None, None).await;
        }
        if reason == PollReason::Due && ask_stores(&self.scope).await.appended_within(began.elapsed()) {
            return;
        }
        let missing = outline.as_ref().map(MissingTexts::of);
        self.become_owner(reason, idle, outline, missing).await;
    }

    async fn become_owner(
        &mut self,
        reason: PollReason,
        idle: Duration,
        followed: Option<LedgerFollower>,
        missing: Option<MissingTexts>,
    ) {
        let began = Instant::now();
        let known = followed.as_ref().map(LedgerFollower::known).unwrap_or_default();
        self.record_takeover(reason, idle, known.through);
        let taken = ShardLog::take_over_knowing(&self.scope.context, &self.scope.shard, known).await;
        let (mut log, recovered) = match taken {
            Ok(taken) => taken,
            Err(error) => {
                ::log::warn!(target: "batch", "The batch jobs are not taken over: {error}.");
                return self.follower.put_back(followed.filter(|_| missing.is_none()));
            }
        };
        self.scope.owner.store(Some(Arc::new(self.scope.context.node.clone())));
        // A snapshot stands for all that was followed.
        let followed_bytes = followed.as_ref().filter(|_| recovered.snapshot.is_none());
        let followed_bytes = followed_bytes.map_or(0, LedgerFollower::held_bytes);
        let ledger = match recover_ledger(&mut log, &recovered, followed).await {
            Ok(ledger) => ledger,
            Err(error) => {
                ::log::error!(target: "batch", "The log of the batch jobs can't be recovered: {error}.");
                return self.scope.owner.store(None);
            }
        };
        let read_bytes = recovered.bytes();
        self.record_recovery(reason, followed_bytes, read_bytes, began);
        let held_bytes = followed_bytes + read_bytes;
        let (last_epoch, offer) = (recovered.latest_origin, self.offer.take());
        self.run_owner(Takeover { log, ledger, held_bytes, last_epoch, idle, offer, missing }).await;
    }

    /// Owns until the owner ends, and hands over where it left by itself.
    async fn run_owner(&mut self, takeover: Takeover) {
        let owner = Owner::new(self.scope.clone(), self.pool.clone(), self.traffic.clone(), takeover);
        let end = owner.run(&mut self.commands).await;
        self.scope.owner.store(None);
        match end {
            OwnerEnd::Left => self.hand_over(None).await,
            OwnerEnd::CutOff(offer) => self.hand_over(Some(offer)).await,
            OwnerEnd::Superseded => {}
        }
    }

    fn record_takeover(&self, reason: PollReason, idle: Duration, known_through: LogIndex) {
        let decision = Decision::new(Component::Rollout, "taking_over", reason.as_str(), &self.scope.shard);
        let decision = decision.with("idle_ms", idle.as_millis()).with("known_through", known_through);
        self.scope.context.decisions.record(decision);
    }

    fn record_recovery(&self, reason: PollReason, followed_bytes: usize, read_bytes: usize, began: Instant) {
        let decision = Decision::new(Component::Rollout, "ledger_whole", reason.as_str(), &self.scope.shard);
        let decision = decision.with("followed_bytes", followed_bytes).with("read_bytes", read_bytes);
        self.scope.context.decisions.record(decision.with("milliseconds", began.elapsed().as_millis()));
    }

    /// Asks the next candidate to take over from this node. Without a candidate, or where it gives no answer,
    /// the others notice by themselves that nobody appends.
    async fn hand_over(&self, offer: Option<ProgressOffer>) {
        let Some(successor) = order::best_other(&self.scope) else { return };
        let request = BatchRequest::TakeOver(offer);
        let answered =
            self.scope.ask_peer(successor.peer_address, request, OWNERSHIP_HAND_OVER_TIMEOUT).await;
        if let Err(error) = answered {
            ::log::info!(target: "batch", "{} did not answer the request to take over: {error}.", successor.node);
        }
    }
}

/// Why the ledger could not be put together.
#[derive(Debug, thiserror::Error)]
enum RecoveryError {
    #[error("a record can't be read: {0}; run the version of lichenpulleyd that wrote it")]
    Codec(#[from] speedy::Error),
    #[error(transparent)]
    Log(#[from] ShardLogError),
}

/// Puts the ledger together, and shows the stores meanwhile that this node leads.
async fn recover_ledger(
    log: &mut ShardLog,
    recovered: &RecoveredLog,
    followed: Option<LedgerFollower>,
) -> Result<Ledger, RecoveryError> {
    let began = Instant::now();
    let now = || Timestamp::ORIGIN + began.elapsed();
    let (snapshot, records) = (recovered.snapshot.as_deref(), &recovered.records);
    let mut recovery = match followed {
        // A snapshot stands for all that was followed.
        Some(followed) if snapshot.is_none() => {
            LedgerRecovery::resume(followed.into_ledger(), records, RECOVERY_HEARTBEAT, now())
        }
        _ => LedgerRecovery::begin(snapshot, records, RECOVERY_HEARTBEAT, now())?,
    };
    loop {
        match recovery.step(now())? {
            // The node's other tasks go on meanwhile.
            RecoveryStep::Working => tokio::task::yield_now().await,
            RecoveryStep::HeartbeatDue => log.append(vec![Record::Clock(0).encode()?]).await?,
            RecoveryStep::Done => return Ok(recovery.into_ledger()),
        }
    }
}
