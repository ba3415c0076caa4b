//! Exchanges messages between the proposer and the stores until the proposer reports an event.
//!
//! A step fails if no store answers for some time or if it takes too long in total.

use std::time::Duration;

use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::proposer::ProposerEvent;
use lichenpulley_core::time::Timestamp;
use tokio::time::Instant;

use super::{SILENCE_TIMEOUTS, STEP_TIMEOUTS, ShardLog, ShardLogError};

/// Delay before an unreachable replica is tried again.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// Time limits of a step: it fails once no store has answered for `silence`, and at `limit` in any case.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepTimeout {
    pub(super) silence: Duration,
    pub(super) limit: Instant,
}

impl StepTimeout {
    pub(super) fn deadline(self, last_answered_at: Instant) -> Instant {
        self.limit.min(last_answered_at + self.silence)
    }
}

impl ShardLog {
    /// Begins a step and returns its time limits.
    pub(super) fn begin_step(&mut self) -> StepTimeout {
        let timeout = self.context.settings.store.call_timeout;
        self.last_answered_at = Instant::now();
        // A snapshot needs many requests, so it may continue as long as stores answer.
        let limit = Instant::now() + timeout * STEP_TIMEOUTS;
        StepTimeout { silence: timeout * SILENCE_TIMEOUTS, limit }
    }

    pub(super) async fn wait_until_decided(&mut self, through: LogIndex) -> Result<(), ShardLogError> {
        let step_timeout = self.begin_step();
        while self.proposer.decided_through() < through {
            self.next_event(step_timeout).await?;
        }
        Ok(())
    }

    /// Exchanges messages until the proposer reports an event.
    pub(super) async fn next_event(
        &mut self,
        step_timeout: StepTimeout,
    ) -> Result<ProposerEvent, ShardLogError> {
        loop {
            match self.proposer.poll_event() {
                Some(ProposerEvent::Ended(reason)) => return Err(self.end_error(reason)),
                Some(event) => return Ok(event),
                None => {}
            }
            self.transmit();
            let deadline = step_timeout.deadline(self.last_answered_at);
            if Instant::now() >= deadline {
                self.proposer.stop();
                return Err(self.no_majority_error());
            }
            self.wait_for_answer(deadline).await;
        }
    }

    fn transmit(&mut self) {
        let now = self.now();
        while let Some(transmit) = self.proposer.poll_transmit(now) {
            self.exchange.send(&[self.proposer.set()], &transmit.to, transmit.request);
        }
    }

    /// Waits for an answer or for the next retransmission.
    async fn wait_for_answer(&mut self, deadline: Instant) {
        let retry =
            self.proposer.poll_timeout().map(|at| self.origin + Duration::from_micros(at.as_micros()));
        let until = retry.map_or(deadline, |retry| retry.min(deadline));
        let Ok(Some(answer)) = tokio::time::timeout_at(until, self.exchange.next()).await else { return };
        let now = self.now();
        match answer.response {
            Some(response) => {
                self.last_answered_at = Instant::now();
                self.last_answer.record();
                self.proposer.step(now, response);
            }
            None => self.proposer.unreachable(now, &answer.store, UNREACHABLE_RETRY),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }
}
