//! A shard's log as its owner uses it: every record is on disk at a majority of the shard's store replicas
//! before `append` returns, and an owner that has been superseded can append nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
pub use lichenpulley_core::replication::log::{KnownLog, RecoveredLog};
use lichenpulley_core::replication::proposer::{
    AppendRefusal, EndReason, Proposer, ProposerConfig, ProposerEvent,
};
use lichenpulley_core::replication::reconfigurer::ChangeOwner;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use tokio::time::Instant;

use super::exchange::{self, Exchange};
use super::heard_clock::HeardClock;
use super::reconfiguration::{self, ReconfigurationError};
use super::replica_sets;
use crate::context::Context;

/// Pause before a replica that could not be reached is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// How many call timeouts a take-over or an append may last without any answer.
const PATIENCE: u32 = 4;
/// How many call timeouts they may last in all: a long log is read in many pages, and a snapshot written in many parts.
const WHOLE_PATIENCE: u32 = 60;
/// How many call timeouts a change of the replica set may last.
const CHANGE_PATIENCE: u32 = 24;
/// The pause between two signs of life while the stores are changed, and how long one may take.
const LIFE_INTERVAL: Duration = Duration::from_millis(200);
/// Above the call timeout, so that a request is not sent again while its call still runs.
const RETRANSMIT_MARGIN: Duration = Duration::from_millis(50);

/// Why the log could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ShardLogError {
    /// Another owner holds a higher epoch: stop acting for this shard.
    #[error("shard {shard} is held under the higher epoch {highest}; stop acting for it")]
    Superseded {
        /// The shard.
        shard: ShardId,
        /// The highest epoch seen.
        highest: Epoch,
    },
    /// Fewer than a majority of the store replicas answered; the record may or may not be kept.
    #[error(
        "shard {shard}: {answered} of {replicas} store replicas answered; restore a majority and try again"
    )]
    NoMajority {
        /// The shard.
        shard: ShardId,
        /// How many answered.
        answered: usize,
        /// How many there are.
        replicas: usize,
    },
    /// The store replicas have no room; what they have is kept.
    #[error("shard {shard}: the store disks are full; free space under the data folder and try again")]
    DiskFull {
        /// The shard.
        shard: ShardId,
    },
}

/// An owner's handle on a shard's log.
pub struct ShardLog {
    context: Context,
    shard: ShardId,
    proposer: Proposer,
    exchange: Exchange,
    origin: Instant,
    /// When a store last answered.
    heard_at: Instant,
    /// The same for other tasks.
    heard: HeardClock,
    /// The set that has to be brought into force first.
    replaced_by: Option<ReplicaSet>,
}

/// How long to go on without a decision: as long as stores answer within `quiet` of each other, and no longer than `limit`.
#[derive(Clone, Copy, Debug)]
struct Patience {
    quiet: Duration,
    limit: Instant,
}

impl Patience {
    fn deadline(self, heard_at: Instant) -> Instant {
        self.limit.min(heard_at + self.quiet)
    }
}

impl ShardLog {
    /// Raises the shard's epoch at a majority of its store replicas, finishes what an earlier owner may have
    /// decided, and returns all of it. Needs no platform once the shard has replicas.
    ///
    /// # Errors
    /// When another owner is ahead or no majority answers.
    pub async fn take_over(
        context: &Context,
        shard: &ShardId,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        Self::take_over_knowing(context, shard, KnownLog::default()).await
    }

    /// The same for an owner that knows what is decided up to a position; recovers what follows. Where that has been
    /// replaced by a snapshot, the snapshot is recovered too.
    ///
    /// # Errors
    /// As for [`Self::take_over`].
    pub(crate) async fn take_over_knowing(
        context: &Context,
        shard: &ShardId,
        known: KnownLog,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        let timeout = context.settings.store.call_timeout;
        let limit = Instant::now() + timeout * WHOLE_PATIENCE;
        let mut at_least = Epoch(1);
        loop {
            let deadline = Instant::now() + timeout * PATIENCE;
            let mut log = Self::begin(context, shard, deadline, known, at_least).await?;
            match log.recover(Patience { quiet: timeout * PATIENCE, limit }).await {
                Ok(recovered) => {
                    log.record_taken_over(&recovered);
                    let chosen = recovered.next_set.as_ref();
                    let open = chosen.filter(|next| next.generation > log.proposer.set().generation);
                    if let Some(next) = open {
                        // An owner before chose the next set and did not bring it into force.
                        log.continue_in(next).await?;
                    }
                    return Ok((log, recovered));
                }
                Err(error) => {
                    log.follow_replacement().await.ok_or(error)?;
                    // The ballot before may have accepted entries in the old set: it is not used again.
                    at_least = log.epoch().next();
                }
            }
        }
    }

    /// The epoch under which this owner acts; every order it sends carries it.
    pub fn epoch(&self) -> Epoch {
        self.proposer.epoch()
    }

    /// Appends records, all or none acknowledged. After an error other than `DiskFull` the owner must take the
    /// shard over again before it goes on.
    ///
    /// # Errors
    /// When superseded, without a majority, or without room.
    pub async fn append(&mut self, records: Vec<Vec<u8>>) -> Result<(), ShardLogError> {
        if records.is_empty() {
            return Ok(());
        }
        let through = self.proposer.append(records).map_err(|refusal| self.refused(refusal))?;
        self.decide(through).await
    }

    /// Replaces a member of the shard's replica set by another store, without the platform: the log itself decides which
    /// set follows. The owner goes on in the next set under the same epoch.
    ///
    /// # Errors
    /// When superseded or without a majority. The change may then be finished by a later owner, and this one must not go on.
    pub(crate) async fn replace_member(
        &mut self,
        leaving: &StoreId,
        joining: SetMember,
        reason: &str,
    ) -> Result<(), ShardLogError> {
        let Some(next) = self.proposer.set().with_replaced(leaving, joining) else {
            return Err(self.no_majority());
        };
        self.change_set(next, reason).await
    }

    async fn change_set(&mut self, next: ReplicaSet, reason: &str) -> Result<(), ShardLogError> {
        let decision = Decision::new(Component::Replication, "replacing", reason, &self.shard);
        self.context.decisions.record(decision.with("generation", next.generation));
        let through = self.proposer.append_next_set(next.clone()).map_err(|refusal| self.refused(refusal))?;
        self.decide(through).await?;
        self.continue_in(&next).await
    }

    /// Brings the set that the log chose into force and goes on in it under the same epoch.
    async fn continue_in(&mut self, next: &ReplicaSet) -> Result<(), ShardLogError> {
        let installed = self.install(next).await;
        if installed.is_err() {
            // Another may go on from here: this owner says nothing more.
            self.proposer.stop();
        }
        installed?;
        let through = self.proposer.continue_in(next.clone()).map_err(|refusal| self.refused(refusal))?;
        self.decide(through).await?;
        let decision = Decision::new(Component::Replication, "set_changed", "majority_accepted", &self.shard);
        let decision = decision.with("epoch", self.epoch()).with("generation", next.generation);
        self.context.decisions.record(decision);
        Ok(())
    }

    /// Brings the set that the log chose into force, unless another owner is ahead.
    async fn install(&self, next: &ReplicaSet) -> Result<(), ShardLogError> {
        let (ballot, decided_through) = (self.proposer.ballot().clone(), self.proposer.decided_through());
        let owner = Some(ChangeOwner { ballot, decided_through });
        let change = reconfiguration::install_majority(&self.context, self.proposer.set(), next, owner);
        let deadline = Instant::now() + self.context.settings.store.call_timeout * CHANGE_PATIENCE;
        let changed = tokio::select! {
            changed = tokio::time::timeout_at(deadline, change) => changed,
            // Nothing is appended meanwhile: without a sign of life another would take the shard over.
            highest = self.show_life(next) => return Err(self.superseded(highest)),
        };
        match changed {
            Ok(Ok(installed)) if &installed == next => return Ok(()),
            Ok(Err(ReconfigurationError::Superseded { highest })) => return Err(self.superseded(highest)),
            _ => {}
        }
        log::warn!(target: "store", "Shard {}: generation {} is not in force yet.", self.shard, next.generation);
        Err(self.no_majority())
    }

    fn superseded(&self, highest: Epoch) -> ShardLogError {
        let decision = Decision::new(Component::Replication, "superseded", "higher_epoch", &self.shard);
        self.context.decisions.record(decision.with("epoch", self.epoch()).with("highest", highest));
        ShardLogError::Superseded { shard: self.shard.clone(), highest }
    }

    /// When the stores last answered.
    pub fn heard(&self) -> HeardClock {
        self.heard.clone()
    }

    /// Tells the stores of the present set and of `next` again and again that this owner is at work; ends with the epoch of
    /// another one of which a store tells that it is ahead.
    async fn show_life(&self, next: &ReplicaSet) -> Epoch {
        let sets = [self.proposer.set(), next];
        let members: BTreeMap<&StoreId, &SetMember> =
            sets.iter().flat_map(|set| &set.members).map(|member| (&member.store, member)).collect();
        loop {
            let tell = |member: &SetMember| {
                let address = exchange::address_of(&self.context, member);
                let (shard, ballot) = (self.shard.clone(), self.proposer.ballot().clone());
                let request = StoreRequest::LeaderAlive { shard, ballot };
                let (context, heard) = (self.context.clone(), self.heard.clone());
                async move {
                    // A store that doesn't hear it hears the next one.
                    match context.peers.store(address?, request, LIFE_INTERVAL).await {
                        Ok(StoreResponse::Leadership(seen)) => {
                            heard.heard();
                            seen.map(|seen| seen.epoch)
                        }
                        _ => None,
                    }
                }
            };
            let seen = join_all(members.values().map(|member| tell(member))).await;
            let highest = seen.into_iter().flatten().max().unwrap_or_default();
            if highest > self.epoch() {
                return highest;
            }
            tokio::time::sleep(LIFE_INTERVAL).await;
        }
    }

    /// The replica set in use.
    pub fn set(&self) -> &ReplicaSet {
        self.proposer.set()
    }

    /// Replaces all records appended so far by a snapshot of what they amount to.
    ///
    /// # Errors
    /// As for `append`.
    pub async fn compact(&mut self, snapshot: Vec<u8>) -> Result<(), ShardLogError> {
        let through = self.proposer.compact(&snapshot).map_err(|refusal| self.refused(refusal))?;
        self.decide(through).await
    }

    async fn begin(
        context: &Context,
        shard: &ShardId,
        deadline: Instant,
        known: KnownLog,
        at_least: Epoch,
    ) -> Result<Self, ShardLogError> {
        let found = tokio::time::timeout_at(deadline, replica_sets::find(context, shard)).await;
        let set = match found {
            Ok(Ok(set)) => set,
            Ok(Err(error)) => {
                log::warn!(target: "store", "Shard {shard} has no replica set: {error}.");
                return Err(ShardLogError::NoMajority { shard: shard.clone(), answered: 0, replicas: 0 });
            }
            Err(_) => {
                return Err(ShardLogError::NoMajority { shard: shard.clone(), answered: 0, replicas: 0 });
            }
        };
        let proposer = ProposerId::new(format!("{}/{:016x}", context.node, rand::random::<u64>()));
        let config = ProposerConfig {
            retransmit_after: context.settings.store.call_timeout + RETRANSMIT_MARGIN,
            ..ProposerConfig::default()
        };
        Ok(Self {
            context: context.clone(),
            shard: shard.clone(),
            proposer: Proposer::new(set, proposer, at_least, config).with_known(known),
            exchange: Exchange::new(context.clone()),
            origin: Instant::now(),
            heard_at: Instant::now(),
            heard: HeardClock::start(),
            replaced_by: None,
        })
    }

    async fn recover(&mut self, patience: Patience) -> Result<RecoveredLog, ShardLogError> {
        loop {
            if let ProposerEvent::Recovered(recovered) = self.next_event(patience).await? {
                return Ok(recovered);
            }
        }
    }

    /// Finishes a change of the replica set that stopped this take-over. `None` where there was none.
    ///
    /// Stores that promised hear meanwhile that this node is at work, so that no other begins the same.
    async fn follow_replacement(&mut self) -> Option<()> {
        let next = self.replaced_by.take()?;
        let (context, set) = (&self.context, self.proposer.set());
        let change = async {
            if &next == set {
                return reconfiguration::install_rest(context, set).await;
            }
            reconfiguration::install_majority(context, set, &next, None).await.map(drop)
        };
        let deadline = Instant::now() + self.context.settings.store.call_timeout * CHANGE_PATIENCE;
        let changed = async {
            let changed = tokio::time::timeout_at(deadline, change).await;
            changed.ok()?.ok()
        };
        let life = async {
            // Whoever is ahead is met in the next set: a change that was decided is finished all the same.
            self.show_life(&next).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            changed = changed => changed,
            () = life => None,
        }
    }

    async fn decide(&mut self, through: LogIndex) -> Result<(), ShardLogError> {
        let timeout = self.context.settings.store.call_timeout;
        self.heard_at = Instant::now();
        // A snapshot takes many requests: it goes on while stores take them.
        let limit = Instant::now() + timeout * WHOLE_PATIENCE;
        let patience = Patience { quiet: timeout * PATIENCE, limit };
        while self.proposer.decided_through() < through {
            self.next_event(patience).await?;
        }
        Ok(())
    }

    /// Exchanges messages until the proposer has something to report.
    async fn next_event(&mut self, patience: Patience) -> Result<ProposerEvent, ShardLogError> {
        loop {
            match self.proposer.poll_event() {
                Some(ProposerEvent::Ended(reason)) => return Err(self.ended(reason)),
                Some(event) => return Ok(event),
                None => {}
            }
            self.transmit();
            let deadline = patience.deadline(self.heard_at);
            if Instant::now() >= deadline {
                self.proposer.stop();
                return Err(self.no_majority());
            }
            self.wait(deadline).await;
        }
    }

    fn transmit(&mut self) {
        let now = self.now();
        while let Some(transmit) = self.proposer.poll_transmit(now) {
            self.exchange.send(&[self.proposer.set()], &transmit.to, transmit.request);
        }
    }

    /// Waits for an answer or for the time to send again.
    async fn wait(&mut self, deadline: Instant) {
        let retry =
            self.proposer.poll_timeout().map(|at| self.origin + Duration::from_micros(at.as_micros()));
        let until = retry.map_or(deadline, |retry| retry.min(deadline));
        let Ok(Some(answer)) = tokio::time::timeout_at(until, self.exchange.next()).await else { return };
        let now = self.now();
        match answer.response {
            Some(response) => {
                self.heard_at = Instant::now();
                self.heard.heard();
                self.proposer.step(now, response);
            }
            None => self.proposer.unreachable(now, &answer.store, RETRY_AFTER),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn refused(&self, refusal: AppendRefusal) -> ShardLogError {
        match refusal {
            AppendRefusal::DiskFull => {
                let decision =
                    Decision::new(Component::Replication, "append_refused", "disk_full", &self.shard);
                self.context.decisions.record(decision.with("epoch", self.epoch()));
                ShardLogError::DiskFull { shard: self.shard.clone() }
            }
            AppendRefusal::NotLeading | AppendRefusal::Undecided => self.no_majority(),
        }
    }

    fn no_majority(&self) -> ShardLogError {
        self.context.replica_sets.forget(&self.shard);
        ShardLogError::NoMajority {
            shard: self.shard.clone(),
            answered: self.proposer.answered(),
            replicas: self.proposer.set().members.len(),
        }
    }

    fn ended(&mut self, reason: EndReason) -> ShardLogError {
        match reason {
            EndReason::Superseded { highest } => self.superseded(highest),
            EndReason::Replaced { next } => {
                log::info!(target: "store", "Shard {}: generation {} follows.", self.shard, next.generation);
                self.replaced_by = Some(next);
                self.no_majority()
            }
            EndReason::NotInstalled => {
                self.replaced_by = Some(self.proposer.set().clone());
                self.no_majority()
            }
            EndReason::Damaged { store } => {
                log::error!(target: "store", "Shard {}: store {store} lacks decided entries.", self.shard);
                self.no_majority()
            }
        }
    }

    fn record_taken_over(&self, recovered: &RecoveredLog) {
        let decision = Decision::new(Component::Replication, "taken_over", "majority_promised", &self.shard);
        let decision = decision
            .with("epoch", self.epoch())
            .with("generation", self.proposer.set().generation)
            .with("records", recovered.records.len())
            .with("milliseconds", self.origin.elapsed().as_millis());
        self.context.decisions.record(decision);
    }
}
