//! A candidate for the ownership of the batch jobs: looks whether the owner still appends, and takes over.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use lichenpulley_core::batch::election::{self, LeaderSeen, Verdict};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::ledger_follower::LedgerFollower;
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::recovery::{LedgerRecovery, RecoveryStep};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::NodeId;
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
use super::owner_order::rank;
pub(super) use super::owner_order::{best_other, is_next};
pub(crate) use super::owner_order::{first_coordinators, is_candidate, rank_among};
use super::{Command, shard};
use crate::cluster::Member;
use crate::context::Context;
use crate::ingress::pool::ReplicaPool;
use crate::store::replica_sets;
use crate::store::shard_log::{ShardLog, ShardLogError};

/// Time between two looks at the stores.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// A store that has not answered by then counts as missing.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// A candidate that the owner asked takes over where the stores have not heard of the owner for so long.
const ASKED_IDLE: Duration = Duration::from_millis(300);
/// The pause between two signs of life while the ledger is put together.
const RECOVERY_HEARTBEAT: Duration = Duration::from_millis(200);
/// How long a successor may take to answer that it was told.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// What one store says of who leads.
struct StoreAnswer {
    store: NodeId,
    leader: Option<LeaderSeen>,
}

/// What the stores say of who leads.
pub(super) struct StoresSay {
    answers: Vec<StoreAnswer>,
    /// The owner under the highest epoch.
    pub(super) owner: Option<NodeId>,
}

impl StoresSay {
    /// Whether a store heard of the owner less than so long ago.
    fn heard_within(&self, duration: Duration) -> bool {
        self.leaders().any(|seen| seen.idle < duration)
    }

    fn leaders(&self) -> impl Iterator<Item = &LeaderSeen> {
        self.answers.iter().filter_map(|answer| answer.leader.as_ref())
    }

    /// The answers that count towards a majority of `set`: those of its members, and of stores that know of a leader, which
    /// are members of a set that this node has not met yet. All of them where no set is known.
    fn counted(&self, set: Option<&ReplicaSet>) -> Vec<Option<LeaderSeen>> {
        let is_member =
            |set: &ReplicaSet, node: &NodeId| set.members.iter().any(|member| member.node == *node);
        let counts = |answer: &&StoreAnswer| {
            answer.leader.is_some() || set.is_none_or(|set| is_member(set, &answer.store))
        };
        self.answers.iter().filter(counts).map(|answer| answer.leader.clone()).collect()
    }

    /// How many stores answered.
    pub(super) const fn answered(&self) -> usize {
        self.answers.len()
    }
}

/// Asks every live store.
pub(super) async fn ask_stores(context: &Context) -> StoresSay {
    let stores: Vec<Member> = {
        let cluster = context.cluster.load();
        cluster.members.iter().filter(|member| member.roles.store).cloned().collect()
    };
    let answers = join_all(stores.into_iter().map(|store| ask_store(context, store))).await;
    let mut say = StoresSay { answers: answers.into_iter().flatten().collect(), owner: None };
    let latest = say.leaders().max_by_key(|seen| seen.epoch);
    say.owner = latest.map(|seen| seen.owner.clone());
    say
}

/// Asks one store; `None` where it gives no answer in time.
async fn ask_store(context: &Context, store: Member) -> Option<StoreAnswer> {
    let request = StoreRequest::Leadership(shard());
    let Ok(StoreResponse::Leadership(seen)) =
        context.peers.store(store.peer_address, request, STORE_TIMEOUT).await
    else {
        return None;
    };
    let leader = seen.map(|seen| LeaderSeen {
        epoch: seen.epoch,
        owner: node_of(seen.proposer.as_str()),
        idle: Duration::from_millis(seen.idle_ms),
    });
    Some(StoreAnswer { store: store.node, leader })
}

/// A proposer's id is its node's name, a slash, and a random number.
fn node_of(proposer: &str) -> NodeId {
    NodeId::new(proposer.split('/').next().unwrap_or_default())
}

/// Runs until the node has stopped.
pub(super) async fn run(
    context: Context,
    pool: ReplicaPool,
    traffic: Handle,
    commands: mpsc::Receiver<Command>,
) {
    let stopped = context.stopped.clone();
    let follower = LogFollower::spawn(context.clone());
    let mut candidate = Candidate { context, pool, traffic, commands, looks: 0, offer: None, follower };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = candidate.run() => {}
    }
}

struct Candidate {
    context: Context,
    pool: ReplicaPool,
    traffic: Handle,
    commands: mpsc::Receiver<Command>,
    /// Times at which a look was due.
    looks: u64,
    /// What an owner that can't reach its stores left.
    offer: Option<ProgressOffer>,
    follower: LogFollower,
}

/// Why a candidate looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookReason {
    /// It is time.
    Due,
    /// The owner left the jobs to this node.
    Told,
    /// The owner can't reach its stores, and asked this node to try.
    Asked,
}

impl LookReason {
    /// The name used in logs, as the reason of a takeover.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Due => "owner_silent",
            Self::Told => "owner_left",
            Self::Asked => "owner_cut_off",
        }
    }
}

impl Candidate {
    async fn run(&mut self) {
        loop {
            let reason = self.wait().await;
            if self.context.draining.is_cancelled() {
                continue;
            }
            if let Some(idle) = self.look(reason).await {
                let followed = self.follower.take();
                self.take_over(reason, idle, followed).await;
                self.follower.resume();
            }
        }
    }

    /// Waits for the next look; answers commands with who owns meanwhile.
    async fn wait(&mut self) -> LookReason {
        let next = tokio::time::sleep(LOOK_INTERVAL);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => return LookReason::Due,
                Some(command) = self.commands.recv() => {
                    if let BatchRequest::TakeOver(offer) = &command.request {
                        let reason = if offer.is_some() { LookReason::Asked } else { LookReason::Told };
                        self.offer.clone_from(offer);
                        command.answer(BatchResponse::Ended);
                        return reason;
                    }
                    let owner = self.context.batch_owner.load_full();
                    let owner = owner.filter(|owner| **owner != self.context.node);
                    command.answer(BatchResponse::NotOwner(owner.map(|owner| NodeId::clone(&owner))));
                }
            }
        }
    }

    /// Whether to take over now, and how long the owner before has been silent.
    async fn look(&mut self, reason: LookReason) -> Option<Duration> {
        let rank = rank(&self.context);
        self.looks += 1;
        if reason == LookReason::Due && !election::looks_now(rank, self.looks) {
            return None;
        }
        let say = ask_stores(&self.context).await;
        if let Some(owner) = &say.owner {
            self.context.batch_owner.store(Some(Arc::new(owner.clone())));
        }
        if reason == LookReason::Told {
            return Some(Duration::ZERO);
        }
        let (rank, takeover_after) = match reason {
            // Nobody else was asked: no turn need be waited for.
            LookReason::Asked => (0, ASKED_IDLE),
            _ => (rank, self.context.settings.batch.takeover_after),
        };
        let (answers, needed) = self.count(&say).await;
        let verdict = election::judge(&self.context.node, rank, &answers, needed, takeover_after);
        match verdict {
            Verdict::Wait(_) => None,
            Verdict::TakeOver(None) => Some(self.context.settings.batch.order_lease),
            Verdict::TakeOver(Some(idle)) => Some(idle),
        }
    }

    /// The answers that count, and how many are needed: a majority of the set in force, which may be smaller or larger than
    /// the settings want. Where too few count, the set that this node has met may have been replaced since.
    async fn count(&self, say: &StoresSay) -> (Vec<Option<LeaderSeen>>, usize) {
        let context = &self.context;
        let least = context.settings.store.set_size.least_members();
        let needed_of = |set: Option<&ReplicaSet>| set.map_or(least, ReplicaSet::majority);
        let mut set = replica_sets::find_among_stores(context, &shard()).await;
        if set.is_some() && say.counted(set.as_ref()).len() < needed_of(set.as_ref()) {
            context.replica_sets.forget(&shard());
            set = replica_sets::find_among_stores(context, &shard()).await;
        }
        (say.counted(set.as_ref()), needed_of(set.as_ref()))
    }

    /// Takes over from what was followed. Where nothing was, the outline of a long log is read first; another may have
    /// taken over meanwhile.
    async fn take_over(&mut self, reason: LookReason, idle: Duration, followed: Option<LedgerFollower>) {
        if followed.is_some() {
            return self.own(reason, idle, followed, None).await;
        }
        let began = Instant::now();
        let outline = outline::read(&self.context).await;
        if outline.is_none() {
            return self.own(reason, idle, None, None).await;
        }
        if reason == LookReason::Due && ask_stores(&self.context).await.heard_within(began.elapsed()) {
            return;
        }
        let missing = outline.as_ref().map(MissingTexts::of);
        self.own(reason, idle, outline, missing).await;
    }

    async fn own(
        &mut self,
        reason: LookReason,
        idle: Duration,
        followed: Option<LedgerFollower>,
        missing: Option<MissingTexts>,
    ) {
        let began = Instant::now();
        let known = followed.as_ref().map(LedgerFollower::known).unwrap_or_default();
        let decision = Decision::new(Component::Rollout, "taking_over", reason.as_str(), shard());
        let decision = decision.with("idle_ms", idle.as_millis()).with("known_through", known.through);
        self.context.decisions.record(decision);
        let taken = ShardLog::take_over_knowing(&self.context, &shard(), known).await;
        let (mut log, recovered) = match taken {
            Ok(taken) => taken,
            Err(error) => {
                ::log::warn!(target: "batch", "The batch jobs are not taken over: {error}.");
                return self.follower.put_back(followed.filter(|_| missing.is_none()));
            }
        };
        self.context.batch_owner.store(Some(Arc::new(self.context.node.clone())));
        let followed_bytes = followed.as_ref().map_or(0, LedgerFollower::held_bytes);
        let ledger = recover_ledger(&mut log, &recovered, followed).await;
        let ledger = match ledger {
            Ok(ledger) => ledger,
            Err(error) => {
                ::log::error!(target: "batch", "The log of the batch jobs can't be recovered: {error}.");
                return self.context.batch_owner.store(None);
            }
        };
        let read_bytes = recovered.bytes();
        // A snapshot stands for all that was followed.
        let followed_bytes = if recovered.snapshot.is_some() { 0 } else { followed_bytes };
        let decision = Decision::new(Component::Rollout, "ledger_whole", reason.as_str(), shard());
        let decision = decision.with("followed_bytes", followed_bytes).with("read_bytes", read_bytes);
        self.context.decisions.record(decision.with("milliseconds", began.elapsed().as_millis()));
        let held_bytes = followed_bytes + read_bytes;
        let (latest, offer) = (recovered.latest_origin, self.offer.take());
        let takeover = Takeover { log, ledger, held_bytes, latest, idle, offer, missing };
        let owner = Owner::new(self.context.clone(), self.pool.clone(), self.traffic.clone(), takeover);
        let end = owner.run(&mut self.commands).await;
        self.context.batch_owner.store(None);
        match end {
            OwnerEnd::Left => self.hand_over(None).await,
            OwnerEnd::CutOff(offer) => self.hand_over(Some(offer)).await,
            OwnerEnd::Superseded => {}
        }
    }

    /// Tells the next candidate that this node leaves.
    async fn hand_over(&self, offer: Option<ProgressOffer>) {
        let Some(successor) = best_other(&self.context) else { return };
        let told = self.context.peers.batch(
            successor.peer_address,
            BatchRequest::TakeOver(offer),
            HAND_OVER_TIMEOUT,
        );
        if let Err(error) = told.await {
            ::log::info!(target: "batch", "{} was not told to take over: {error}.", successor.node);
        }
    }
}

/// Why the ledger could not be put together.
#[derive(Debug, thiserror::Error)]
enum RecoveryError {
    #[error("a record can't be read: {0}")]
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
