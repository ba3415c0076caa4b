//! Takeover of a shard's log: finds its stores, raises the epoch, recovers the entries of earlier owners and
//! finishes an interrupted replica set change.

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::log::{KnownLog, RecoveredLog};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig, ProposerEvent};
use tokio::time::Instant;

use super::driver::StepTimeout;
use super::{SILENCE_TIMEOUTS, STEP_TIMEOUTS, ShardLog, ShardLogError};
use crate::context::Context;
use crate::store::exchange::StoreExchange;
use crate::store::last_answer::LastAnswer;
use crate::store::{RETRANSMIT_MARGIN, replica_sets};

impl ShardLog {
    /// Raises the shard's epoch at a majority of its store replicas, completes entries that an earlier owner
    /// may have had decided, and returns the whole log. Does not need the platform once the shard has
    /// replicas.
    ///
    /// # Errors
    /// Returns an error if another owner has a higher epoch or no majority answers.
    pub async fn take_over(
        context: &Context,
        shard: &ShardId,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        Self::take_over_from(context, shard, KnownLog::default()).await
    }

    /// Takes over like [`Self::take_over`], for an owner that knows the decided entries up to a position;
    /// recovers the entries after it. If that position has been replaced by a snapshot, the snapshot is
    /// recovered too.
    ///
    /// # Errors
    /// Returns the same errors as [`Self::take_over`].
    pub(crate) async fn take_over_from(
        context: &Context,
        shard: &ShardId,
        known: KnownLog,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        let timeout = context.settings.store.call_timeout;
        let limit = Instant::now() + timeout * STEP_TIMEOUTS;
        let mut min_epoch = Epoch(1);
        loop {
            let deadline = Instant::now() + timeout * SILENCE_TIMEOUTS;
            let mut log = Self::prepare_take_over(context, shard, deadline, known, min_epoch).await?;
            match log.recover(StepTimeout { silence: timeout * SILENCE_TIMEOUTS, limit }).await {
                Ok(recovered) => {
                    log.record_take_over(&recovered);
                    let chosen = recovered.next_set.as_ref();
                    let unfinished = chosen.filter(|next| next.generation > log.proposer.set().generation);
                    if let Some(next) = unfinished {
                        // An earlier owner had the next set decided but did not install it.
                        log.continue_in(next).await?;
                    }
                    return Ok((log, recovered));
                }
                Err(error) => {
                    log.finish_replacement().await.ok_or(error)?;
                    // Entries may have been accepted in the old set under the previous ballot, so that ballot
                    // must not be reused.
                    min_epoch = log.epoch().next();
                }
            }
        }
    }

    async fn prepare_take_over(
        context: &Context,
        shard: &ShardId,
        deadline: Instant,
        known: KnownLog,
        min_epoch: Epoch,
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
            proposer: Proposer::new(set, proposer, min_epoch, config).with_known(known),
            exchange: StoreExchange::new(context.clone()),
            origin: Instant::now(),
            last_answered_at: Instant::now(),
            last_answer: LastAnswer::start(),
            replaced_by: None,
        })
    }

    async fn recover(&mut self, step_timeout: StepTimeout) -> Result<RecoveredLog, ShardLogError> {
        loop {
            if let ProposerEvent::Recovered(recovered) = self.next_event(step_timeout).await? {
                return Ok(recovered);
            }
        }
    }

    fn record_take_over(&self, recovered: &RecoveredLog) {
        let decision = Decision::new(Component::Replication, "taken_over", "majority_promised", &self.shard);
        let decision = decision
            .with("epoch", self.epoch())
            .with("generation", self.proposer.set().generation)
            .with("records", recovered.records.len())
            .with("milliseconds", self.origin.elapsed().as_millis());
        self.context.decisions.record(decision);
    }
}
