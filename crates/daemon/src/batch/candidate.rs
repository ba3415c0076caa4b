//! A candidate for the ownership of a shard of batch jobs: polls the stores to detect an owner that no longer
//! appends, takes over the log, runs the [`Owner`], and hands over to the next candidate.
//!
//! `core::batch::election` decides when to take over; [`crate::ownership::order`] ranks the candidates.

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

use super::follower::LogFollower;
use super::outline::{self, MissingTexts};
use super::owner::{Owner, OwnerEnd, Takeover};
use super::{Command, EndHolder, held_ends};
use crate::cluster::Member;
use crate::ingress::pool::ReplicaPool;
use crate::ownership::order;
use crate::ownership::scope::Scope;
use crate::store::replica_sets;
use crate::store::shard_log::{ShardLog, ShardLogError};

/// Interval between two polls of the stores; delays a takeover by at most this much.
const ELECTION_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one request to a store, after which the store counts as missing. Bounds how late an owner
/// that is cut off notices it. With a shorter one, busy stores make an owner leave; with a longer one, an
/// owner that is cut off leaves after others have taken over.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between heartbeat appends while the ledger is recovered, so that no other candidate takes over.
const RECOVERY_HEARTBEAT: Duration = Duration::from_millis(200);
/// Timeout of the request to a successor to take over. A successor that misses it detects the silence by
/// polling.
const OWNERSHIP_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an append after which the leader that the likely stores name may have been succeeded in a set of
/// which they know nothing.
const STALE_LEADER_AGE: Duration = Duration::from_millis(1_000);

/// Asks the stores that may hold the shard who leads. If the likely ones know of no leader that has appended lately,
/// the set is looked up among all stores, at most once a second: it may have been chosen before this node knew all
/// stores, or replaced as a whole.
pub(crate) async fn ask_stores(scope: &Scope) -> LeaderAnswers {
    let (context, shard) = (&scope.context, &scope.shard);
    let answers = ask_likely_stores(scope).await;
    if answers.appended_within(STALE_LEADER_AGE) || !context.replica_sets.claim_lookup(shard) {
        return answers;
    }
    match replica_sets::query_all_stores(context, shard).await {
        Some(set) => context.replica_sets.put(&set),
        None => return answers,
    }
    ask_likely_stores(scope).await
}

/// Asks the members of the known set and the likely stores who leads.
async fn ask_likely_stores(scope: &Scope) -> LeaderAnswers {
    let stores = replica_sets::likely_stores(&scope.context, &scope.shard);
    let answers = join_all(stores.into_iter().map(|store| ask_store(scope, store))).await;
    LeaderAnswers(answers.into_iter().flatten().collect())
}

/// Asks one store; returns `None` if it does not answer in time.
async fn ask_store(scope: &Scope, store: Arc<Member>) -> Option<LeaderAnswer> {
    let request = StoreRequest::Leadership(scope.shard.clone());
    let peers = &scope.context.peers;
    // A store that fails in any way counts as missing.
    let Ok(StoreResponse::Leadership(seen)) = peers.store(store.peer_address, request, STORE_TIMEOUT).await
    else {
        return None;
    };
    let leader = seen.map(|seen| ObservedLeader {
        epoch: seen.epoch,
        owner: node_of_proposer(seen.proposer.as_str()),
        idle: Duration::from_millis(seen.idle_ms),
    });
    Some(LeaderAnswer { store: store.node.clone(), leader })
}

/// Extracts the node from a proposer's id, which is the node's name, a slash and a random number.
fn node_of_proposer(proposer: &str) -> NodeId {
    NodeId::new(proposer.split('/').next().unwrap_or_default())
}

/// Runs a candidate until the node has stopped.
pub(super) async fn run(
    scope: Scope,
    pool: ReplicaPool,
    ends: EndHolder,
    traffic: Handle,
    commands: mpsc::Receiver<Command>,
) {
    let stopped = scope.context.stopped.clone();
    let follower = LogFollower::spawn(scope.clone());
    let mut candidate = Candidate {
        scope,
        pool,
        ends,
        traffic,
        commands,
        rounds: 0,
        rounds_to_wait: 1,
        offer: None,
        follower,
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = candidate.run() => {}
    }
}

struct Candidate {
    scope: Scope,
    pool: ReplicaPool,
    /// The ends that this node holds.
    ends: EndHolder,
    traffic: Handle,
    commands: mpsc::Receiver<Command>,
    /// Rounds so far, including those in which the stores were not asked.
    rounds: u64,
    /// Number of rounds to wait until the next poll.
    rounds_to_wait: u64,
    /// Uncommitted progress received from an owner that could not reach its stores.
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

    /// Waits until the next poll is due or an owner asks this node to take over. Answers all other commands
    /// with the known owner.
    async fn wait(&mut self) -> PollReason {
        let next = tokio::time::sleep(ELECTION_POLL_INTERVAL.mul_f64(self.rounds_to_wait as f64));
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

    /// Decides whether to take over now; if so, returns how long the previous owner has been silent.
    async fn poll(&mut self, reason: PollReason) -> Option<Duration> {
        let rank = order::rank(&self.scope);
        self.rounds += self.rounds_to_wait;
        self.rounds_to_wait = election::rounds_to_wait(rank, self.rounds);
        if reason == PollReason::Due && !election::should_poll(rank, self.rounds) {
            return None;
        }
        // A regional shard whose regions have too few stores for a replica set is not attempted.
        if !self.scope.is_main() && self.scope.shortage().is_some() {
            return None;
        }
        let is_first = rank < election::CANDIDATES;
        let answers =
            if is_first { ask_stores(&self.scope).await } else { ask_likely_stores(&self.scope).await };
        if let Some(owner) = answers.owner() {
            self.scope.owner.store(Some(Arc::new(owner.clone())));
        }
        if reason == PollReason::OwnerLeft {
            return Some(Duration::ZERO);
        }
        let (rank, takeover_after) =
            reason.rank_and_delay(rank, self.scope.context.settings.batch.takeover_after);
        let (counted, needed) = self.count_answers(&answers, rank).await;
        let takeover_decision =
            election::decide_takeover(&self.scope.context.node, rank, &counted, needed, takeover_after);
        match takeover_decision {
            TakeoverDecision::Wait(_) => None,
            TakeoverDecision::TakeOver(None) => Some(self.scope.context.settings.batch.order_lease),
            TakeoverDecision::TakeOver(Some(idle)) => Some(idle),
        }
    }

    /// Returns the answers of members of the replica set in force, and the majority that is needed. The set
    /// may be smaller or larger than the settings require. If too few answers count, the cached set may be
    /// outdated and is looked up again. Only the first candidates ask all stores for a set that the likely ones
    /// don't know; for others a set that is not found may exist, so that nothing is enough.
    async fn count_answers(
        &self,
        answers: &LeaderAnswers,
        rank: usize,
    ) -> (Vec<Option<ObservedLeader>>, usize) {
        let (context, shard) = (&self.scope.context, &self.scope.shard);
        let least = context.settings.store.set_size.minimum_members();
        let needed_of = |set: Option<&ReplicaSet>| set.map_or(least, ReplicaSet::majority);
        let mut set = replica_sets::find_among_likely(context, shard).await;
        if set.is_none() && rank < election::CANDIDATES {
            set = replica_sets::find_among_stores(context, shard).await;
        } else if set.is_none() {
            return (Vec::new(), usize::MAX);
        }
        if set.is_some() && answers.counted(set.as_ref()).len() < needed_of(set.as_ref()) {
            context.replica_sets.remove(shard);
            set = replica_sets::find_among_stores(context, shard).await;
        }
        (answers.counted(set.as_ref()), needed_of(set.as_ref()))
    }

    /// Takes over, starting from the followed ledger if there is one. Otherwise reads the outline of a long
    /// log first, and stops if another candidate has taken over meanwhile.
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
        let taken = ShardLog::take_over_from(&self.scope.context, &self.scope.shard, known).await;
        let (mut log, recovered) = match taken {
            Ok(taken) => taken,
            Err(error) => {
                ::log::warn!(target: "batch", "Failed to take over the batch jobs: {error}.");
                return self.follower.put_back(followed.filter(|_| missing.is_none()));
            }
        };
        self.scope.owner.store(Some(Arc::new(self.scope.context.node.clone())));
        // A snapshot replaces everything that was followed.
        let followed_bytes = followed.as_ref().filter(|_| recovered.snapshot.is_none());
        let followed_bytes = followed_bytes.map_or(0, LedgerFollower::held_bytes);
        let ledger = match recover_ledger(&mut log, &recovered, followed).await {
            Ok(ledger) => ledger,
            Err(error) => {
                ::log::error!(target: "batch", "Failed to recover the log of the batch jobs: {error}.");
                return self.scope.owner.store(None);
            }
        };
        let read_bytes = recovered.bytes();
        self.record_recovery(reason, followed_bytes, read_bytes, began);
        let held_bytes = followed_bytes + read_bytes;
        let (last_epoch, offer) = (recovered.latest_origin, self.offer.take());
        let held_ends = held_ends::collect(Arc::clone(&self.scope.context), self.ends.clone(), &ledger);
        let takeover = Takeover { log, ledger, held_bytes, last_epoch, idle, offer, missing, held_ends };
        self.run_owner(takeover).await;
    }

    /// Runs the owner until it ends, and hands over to the next candidate if it left or was cut off.
    async fn run_owner(&mut self, takeover: Takeover) {
        let context = Arc::clone(&self.scope.context);
        let _all_replicas = context.metadata.require_all_replicas();
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

    /// Asks the next candidate to take over from this node. Without a candidate, or without its answer, the
    /// others detect by polling that nobody appends.
    async fn hand_over(&self, offer: Option<ProgressOffer>) {
        let Some(successor) = order::preferred_successor(&self.scope) else { return };
        let request = BatchRequest::TakeOver(offer);
        let answered =
            self.scope.call_peer(successor.peer_address, request, OWNERSHIP_HAND_OVER_TIMEOUT).await;
        if let Err(error) = answered {
            ::log::info!(target: "batch", "{} did not answer the request to take over: {error}.", successor.node);
        }
    }
}

/// Error while the ledger is recovered from the log.
#[derive(Debug, thiserror::Error)]
enum RecoveryError {
    #[error("a record can't be decoded: {0}; run the version of lichenpulleyd that wrote it")]
    Codec(#[from] speedy::Error),
    #[error(transparent)]
    Log(#[from] ShardLogError),
}

/// Recovers the ledger from the log, appending heartbeats meanwhile so that the stores see a live leader.
async fn recover_ledger(
    log: &mut ShardLog,
    recovered: &RecoveredLog,
    followed: Option<LedgerFollower>,
) -> Result<Ledger, RecoveryError> {
    let began = Instant::now();
    let now = || Timestamp::ORIGIN + began.elapsed();
    let (snapshot, records) = (recovered.snapshot.as_deref(), &recovered.records);
    let mut recovery = match followed {
        // A snapshot replaces everything that was followed.
        Some(followed) if snapshot.is_none() => {
            LedgerRecovery::resume(followed.into_ledger(), records, RECOVERY_HEARTBEAT, now())
        }
        _ => LedgerRecovery::begin(snapshot, records, RECOVERY_HEARTBEAT, now())?,
    };
    loop {
        match recovery.step(now())? {
            // Lets the node's other tasks run.
            RecoveryStep::Working => tokio::task::yield_now().await,
            RecoveryStep::HeartbeatDue => log.append(vec![Record::Clock(0).encode()?]).await?,
            RecoveryStep::Done => return Ok(recovery.into_ledger()),
        }
    }
}
