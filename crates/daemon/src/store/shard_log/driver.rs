//! Carries the proposer's requests to the stores and their answers back until it has something to report.
//!
//! Gives up when no store has answered for a while, or when the whole step takes too long.

use std::time::Duration;

use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::proposer::ProposerEvent;
use lichenpulley_core::time::Timestamp;
use tokio::time::Instant;

use super::{SILENCE_TIMEOUTS, STEP_TIMEOUTS, ShardLog, ShardLogError};

/// Pause before a replica that could not be reached is tried again. Chosen, not measured: shorter costs connections to a
/// store that is down, longer delays the answer of one that restarts.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(100);

/// When a step without a decision is given up: once no store has answered for `quiet`, and at `limit` in any case.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepTimeout {
    pub(super) quiet: Duration,
    pub(super) limit: Instant,
}

impl StepTimeout {
    pub(super) fn deadline(self, answered_at: Instant) -> Instant {
        self.limit.min(answered_at + self.quiet)
    }
}

impl ShardLog {
    pub(super) async fn decide(&mut self, through: LogIndex) -> Result<(), ShardLogError> {
        let timeout = self.context.settings.store.call_timeout;
        self.answered_at = Instant::now();
        // A snapshot takes many requests: it goes on while stores take them.
        let limit = Instant::now() + timeout * STEP_TIMEOUTS;
        let step_timeout = StepTimeout { quiet: timeout * SILENCE_TIMEOUTS, limit };
        while self.proposer.decided_through() < through {
            self.next_event(step_timeout).await?;
        }
        Ok(())
    }

    /// Exchanges messages until the proposer has something to report.
    pub(super) async fn next_event(
        &mut self,
        step_timeout: StepTimeout,
    ) -> Result<ProposerEvent, ShardLogError> {
        loop {
            match self.proposer.poll_event() {
                Some(ProposerEvent::Ended(reason)) => return Err(self.ended(reason)),
                Some(event) => return Ok(event),
                None => {}
            }
            self.transmit();
            let deadline = step_timeout.deadline(self.answered_at);
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
                self.answered_at = Instant::now();
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
