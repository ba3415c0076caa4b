//! A shard's log as its owner uses it: every record is on disk at a majority of the shard's store replicas
//! before `append` returns, and an owner that has been superseded can append nothing.
//!
//! Owns the proposer of one shard and its exchange with the stores; `take_over`, `set_change` and `driver` hold its steps.
//! Relies on the core's `replication::proposer` for every decision, and on `replica_sets` to find the stores.

mod driver;
mod error;
mod set_change;
mod take_over;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{Epoch, ShardId};
pub use lichenpulley_core::replication::log::{KnownLog, RecoveredLog};
use lichenpulley_core::replication::proposer::{AppendError, EndReason, Proposer};
use lichenpulley_core::replication::replica_set::ReplicaSet;
use tokio::time::Instant;

pub use self::error::ShardLogError;
use super::exchange::StoreExchange;
use super::last_answer::LastAnswer;
use crate::context::Context;

/// How many call timeouts a take-over or an append may last without any answer. Chosen, not measured: too few, and a burst
/// of slow answers ends an owner; too many, and one that is cut off keeps its callers waiting.
const SILENCE_TIMEOUTS: u32 = 4;
/// How many call timeouts they may last in all: a long log is read in many pages, and a snapshot written in many parts.
/// Traced on the grown deployment: a log of 55 MB was read in 3.2 to 9 s, and a snapshot of 48 MB was not written within four
/// call timeouts. The number itself is chosen: too many delays only a step that makes no progress although stores answer.
const STEP_TIMEOUTS: u32 = 60;

/// An owner's handle on a shard's log.
pub struct ShardLog {
    context: Context,
    shard: ShardId,
    proposer: Proposer,
    exchange: StoreExchange,
    origin: Instant,
    /// When a store last answered.
    answered_at: Instant,
    /// The same for other tasks.
    last_answer: LastAnswer,
    /// The set that has to be brought into force first.
    replaced_by: Option<ReplicaSet>,
}

impl ShardLog {
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

    fn superseded(&self, highest: Epoch) -> ShardLogError {
        let decision = Decision::new(Component::Replication, "superseded", "higher_epoch", &self.shard);
        self.context.decisions.record(decision.with("epoch", self.epoch()).with("highest", highest));
        ShardLogError::Superseded { shard: self.shard.clone(), highest }
    }

    /// When the stores last answered.
    pub fn last_answer(&self) -> LastAnswer {
        self.last_answer.clone()
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

    fn refused(&self, refusal: AppendError) -> ShardLogError {
        match refusal {
            AppendError::DiskFull => {
                let decision =
                    Decision::new(Component::Replication, "append_refused", "disk_full", &self.shard);
                self.context.decisions.record(decision.with("epoch", self.epoch()));
                ShardLogError::DiskFull { shard: self.shard.clone() }
            }
            AppendError::NotLeading | AppendError::Undecided => self.no_majority(),
        }
    }

    fn no_majority(&self) -> ShardLogError {
        self.context.replica_sets.remove(&self.shard);
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
}
