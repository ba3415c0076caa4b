//! Replicated log of a shard for its owner. `append` returns after the records are on disk at a majority of
//! the shard's store replicas; a superseded owner can't append.
//!
//! [`ShardLog`] owns the proposer of one shard and its exchange with the stores; the submodules implement its
//! steps. The core's `replication::proposer` makes the protocol decisions, and `replica_sets` finds the
//! stores.

mod driver;
mod error;
mod set_change;
mod take_over;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{Epoch, ShardId};
pub use lichenpulley_core::replication::log::{KnownLog, RecoveredLog};
use lichenpulley_core::replication::proposer::{AppendError, EndReason, Proposer};
use lichenpulley_core::replication::replica_set::ReplicaSet;
use lichenpulley_core::replication::write_times::WriteTimes;
use tokio::time::Instant;

pub use self::error::ShardLogError;
use super::exchange::StoreExchange;
use super::last_answer::LastAnswer;
use crate::boot_clock::BootInstant;
use crate::context::Context;

/// Number of call timeouts without any answer after which a takeover or an append fails. With fewer, a
/// burst of slow answers ends an owner; with more, one that is cut off keeps its callers waiting.
const SILENCE_TIMEOUTS: u32 = 4;
/// Number of call timeouts after which a takeover or an append fails although stores answer. A long log is
/// read in many pages and a snapshot is written in many parts. A log of 55 MB took 3.2 to 9 s to read on
/// one deployment.
const STEP_TIMEOUTS: u32 = 60;

/// Handle of an owner to its shard's log.
pub struct ShardLog {
    context: Context,
    shard: ShardId,
    proposer: Proposer,
    exchange: StoreExchange,
    origin: Instant,
    /// Time of the last answer of a store in this step.
    last_answered_at: Instant,
    /// Time of the last answer, shared with other tasks.
    last_answer: LastAnswer,
    /// The set that must come into force before this log can be used.
    replaced_by: Option<ReplicaSet>,
}

impl ShardLog {
    /// Returns the epoch of this owner, which every order that it sends carries.
    pub fn epoch(&self) -> Epoch {
        self.proposer.epoch()
    }

    /// Appends records atomically. After an error other than `DiskFull` the owner must take the shard over
    /// again before it continues.
    ///
    /// # Errors
    /// Returns an error if the owner is superseded, no majority answers or the disks are full.
    pub async fn append(&mut self, records: Vec<Vec<u8>>) -> Result<(), ShardLogError> {
        if records.is_empty() {
            return Ok(());
        }
        let through = self.proposer.append(records).map_err(|refusal| self.append_error(refusal))?;
        self.wait_until_decided(through).await
    }

    /// Appends records also where only the space that the stores reserve for snapshots is left.
    ///
    /// # Errors
    /// Returns the same errors as [`Self::append`].
    pub(crate) async fn append_to_reserve(&mut self, records: Vec<Vec<u8>>) -> Result<(), ShardLogError> {
        let appended = self.proposer.append_to_reserve(records);
        let through = appended.map_err(|refusal| self.append_error(refusal))?;
        self.wait_until_decided(through).await
    }

    /// Returns whether a majority of the stores has room for records, without the space that they reserve.
    pub(crate) fn has_room(&self, records: &[Vec<u8>]) -> bool {
        self.proposer.has_room(records)
    }

    /// Returns the room for records that a majority of the stores has, in bytes; `None` if it is unknown.
    pub(crate) fn free_bytes(&self) -> Option<u64> {
        self.proposer.free_bytes()
    }

    fn superseded_error(&self, highest: Epoch) -> ShardLogError {
        let decision = Decision::new(Component::Replication, "superseded", "higher_epoch", &self.shard);
        self.context.decisions.record(decision.with("epoch", self.epoch()).with("highest", highest));
        ShardLogError::Superseded { shard: self.shard.clone(), highest }
    }

    /// Returns the shared time of the last answer.
    pub fn last_answer(&self) -> LastAnswer {
        self.last_answer.clone()
    }

    /// Returns the current replica set.
    pub fn set(&self) -> &ReplicaSet {
        self.proposer.set()
    }

    /// Replaces all records appended so far by a snapshot of the state that they produce. Calls `confirm` with the time
    /// at which the write of a part began, whenever one is decided.
    ///
    /// # Errors
    /// Returns the same errors as `append`.
    pub async fn compact(
        &mut self,
        snapshot: Vec<u8>,
        mut confirm: impl FnMut(BootInstant),
    ) -> Result<(), ShardLogError> {
        let clock = self.context.boot_clock.clone();
        let mut times = WriteTimes::after(self.proposer.last_index());
        let began = clock.now();
        let through = self.proposer.compact(snapshot).map_err(|refusal| self.append_error(refusal))?;
        times.appended(self.proposer.last_index(), began);
        while self.proposer.decided_through() < through {
            // The size of a snapshot is not bounded, so the time limit applies to each part.
            let step_timeout = self.begin_step();
            self.next_event(step_timeout).await?;
            // The event is returned before the parts that were appended with it are sent.
            times.appended(self.proposer.last_index(), clock.now());
            if let Some(began) = times.decided(self.proposer.decided_through()) {
                confirm(began);
            }
        }
        Ok(())
    }

    fn append_error(&self, refusal: AppendError) -> ShardLogError {
        match refusal {
            AppendError::DiskFull => {
                let decision =
                    Decision::new(Component::Replication, "append_refused", "disk_full", &self.shard);
                self.context.decisions.record(decision.with("epoch", self.epoch()));
                ShardLogError::DiskFull { shard: self.shard.clone() }
            }
            AppendError::NotLeading | AppendError::Undecided => self.no_majority_error(),
        }
    }

    fn no_majority_error(&self) -> ShardLogError {
        self.context.replica_sets.remove(&self.shard);
        ShardLogError::NoMajority {
            shard: self.shard.clone(),
            answered: self.proposer.answered(),
            replicas: self.proposer.set().members.len(),
        }
    }

    fn end_error(&mut self, reason: EndReason) -> ShardLogError {
        match reason {
            EndReason::Superseded { highest } => self.superseded_error(highest),
            EndReason::Replaced { next } => {
                log::info!(target: "store", "Shard {}: the replica set was replaced by generation {}.", self.shard, next.generation);
                self.replaced_by = Some(next);
                self.no_majority_error()
            }
            EndReason::NotInstalled => {
                self.replaced_by = Some(self.proposer.set().clone());
                self.no_majority_error()
            }
            EndReason::Damaged { store } => {
                log::error!(target: "store", "Shard {}: store {store} is missing decided entries; replace it.", self.shard);
                self.no_majority_error()
            }
        }
    }
}
