//! Taking a shard's log over: finds its stores, raises the epoch and reads what earlier owners got decided; finishes a
//! change of the stores that it meets.

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
    /// Raises the shard's epoch at a majority of its store replicas, finishes what an earlier owner may have
    /// decided, and returns all of it. Needs no platform once the shard has replicas.
    ///
    /// # Errors
    /// When another owner is ahead or no majority answers.
    pub async fn take_over(
        context: &Context,
        shard: &ShardId,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        Self::take_over_from(context, shard, KnownLog::default()).await
    }

    /// The same for an owner that knows what is decided up to a position; recovers what follows. Where that has been
    /// replaced by a snapshot, the snapshot is recovered too.
    ///
    /// # Errors
    /// As for [`Self::take_over`].
    pub(crate) async fn take_over_from(
        context: &Context,
        shard: &ShardId,
        known: KnownLog,
    ) -> Result<(Self, RecoveredLog), ShardLogError> {
        let timeout = context.settings.store.call_timeout;
        let limit = Instant::now() + timeout * STEP_TIMEOUTS;
        let mut at_least = Epoch(1);
        loop {
            let deadline = Instant::now() + timeout * SILENCE_TIMEOUTS;
            let mut log = Self::begin(context, shard, deadline, known, at_least).await?;
            match log.recover(StepTimeout { quiet: timeout * SILENCE_TIMEOUTS, limit }).await {
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
            exchange: StoreExchange::new(context.clone()),
            origin: Instant::now(),
            answered_at: Instant::now(),
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
