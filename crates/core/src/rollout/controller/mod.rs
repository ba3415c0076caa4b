//! Owner of a job: starts attempts, decides slots and answers pulls.

mod attempts;
mod config;
mod event;
mod hand_over;
mod proposals;
mod window;

use std::collections::{BTreeMap, VecDeque};

use crate::identity::{AttemptId, Epoch};
use crate::time::Timestamp;

use super::ledger::{JobLedger, LedgerError};
use super::queue::SlotQueue;
use super::record::{JobRecord, RecordError};
use super::sample::JobStatus;
use super::slot::Slot;
use super::specification::JobSpecification;
use attempts::RunningAttempt;
pub use config::{ControllerChecks, ControllerConfig};
pub use event::{Action, AttemptOutcome, AttemptStart, Event};
use proposals::PendingAnswer;
use window::DispatchWindow;

/// A job can't be recovered from its log.
#[derive(Debug, thiserror::Error)]
pub enum RecoverError {
    /// An entry can't be decoded.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// An entry is inconsistent with those before it.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// Numbers of generated tokens by their use, since this owner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// In samples that were decided.
    pub decided: u64,
    /// Discarded because the attempt was cancelled.
    pub cancelled: u64,
    /// Discarded as too old when the attempt ended.
    pub stale_at_decision: u64,
    /// Discarded as too old at hand-over.
    pub stale_at_hand_over: u64,
}

impl TokenCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.decided += other.decided;
        self.cancelled += other.cancelled;
        self.stale_at_decision += other.stale_at_decision;
        self.stale_at_hand_over += other.stale_at_hand_over;
    }
}

/// The owner of a job.
///
/// Records are applied to the ledger when they are proposed. That is safe because only this owner can append
/// under its epoch, and when an append fails the driver drops the whole controller and takes the shard over
/// again. Invariant: an answer is sent only after every record proposed before it is committed.
pub struct JobController {
    config: ControllerConfig,
    epoch: Epoch,
    ledger: JobLedger,
    queue: SlotQueue,
    /// Steps below this one have been queued.
    opened_steps: u32,
    running: BTreeMap<AttemptId, RunningAttempt>,
    /// Consecutive failed attempts, by slot.
    failures: BTreeMap<Slot, u32>,
    window: DispatchWindow,
    attempts_started: u64,
    /// Whether the log contained the specification when this owner started.
    is_recovered: bool,
    proposed: Vec<JobRecord>,
    proposed_count: u64,
    appending_count: Option<u64>,
    appended_count: u64,
    pending_answers: VecDeque<PendingAnswer>,
    compact_after: Option<u64>,
    tokens: TokenCounts,
    actions: VecDeque<Action>,
}

impl JobController {
    /// Creates the owner of a new job. The specification must have passed [`JobSpecification::validate`].
    pub fn create(
        specification: JobSpecification,
        epoch: Epoch,
        config: ControllerConfig,
        now: Timestamp,
    ) -> Self {
        let mut controller = Self::with_ledger(
            JobLedger::new(specification.clone(), config.checks.decide_once),
            epoch,
            config,
        );
        controller.proposed.push(JobRecord::Submitted(specification));
        controller.proposed_count = 1;
        controller.is_recovered = false;
        controller.advance(now);
        controller
    }

    /// Recovers the owner of a job from its log. Returns `None` for an empty log.
    ///
    /// # Errors
    /// Fails when an entry can't be decoded or is inconsistent with those before it.
    pub fn recover(
        snapshot: Option<&[u8]>,
        records: &[Vec<u8>],
        epoch: Epoch,
        config: ControllerConfig,
        now: Timestamp,
    ) -> Result<Option<Self>, RecoverError> {
        let mut records = records.iter().map(|bytes| JobRecord::decode(bytes));
        let mut ledger = match snapshot {
            Some(bytes) => JobLedger::from_snapshot(bytes, config.checks.decide_once)?,
            None => match records.next().transpose()? {
                None => return Ok(None),
                Some(JobRecord::Submitted(specification)) => {
                    JobLedger::new(specification, config.checks.decide_once)
                }
                Some(_) => return Err(LedgerError::NoSpecification.into()),
            },
        };
        for record in records {
            ledger.apply(&record?)?;
        }
        let mut controller = Self::with_ledger(ledger, epoch, config);
        controller.advance(now);
        Ok(Some(controller))
    }

    fn with_ledger(ledger: JobLedger, epoch: Epoch, config: ControllerConfig) -> Self {
        Self {
            config,
            epoch,
            opened_steps: ledger.step(),
            ledger,
            queue: SlotQueue::default(),
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
            window: DispatchWindow::new(config.max_in_flight),
            attempts_started: 0,
            is_recovered: true,
            proposed: Vec::new(),
            proposed_count: 0,
            appending_count: None,
            appended_count: 0,
            pending_answers: VecDeque::new(),
            compact_after: None,
            tokens: TokenCounts::default(),
            actions: VecDeque::new(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::AttemptProgress { attempt, weight_version, token_count } => {
                self.handle_progress(&attempt, weight_version, token_count);
            }
            Event::AttemptEnded { attempt, outcome } => self.handle_attempt_end(&attempt, outcome, now),
            Event::Pull { ticket, request } => self.handle_pull(ticket, &request),
            Event::Appended => self.handle_appended(),
            Event::WakeUp => {}
        }
        self.advance(now);
    }

    /// Returns the next action for the driver.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns when to pass in [`Event::WakeUp`] at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timeout = |attempt: &RunningAttempt| attempt.started_at + self.config.attempt_timeout;
        let first_timeout = self.running.values().map(timeout).min();
        let paused_until = self.window.paused_until().filter(|_| !self.queue.is_empty());
        [first_timeout, self.queue.next_due(), paused_until].into_iter().flatten().min()
    }

    /// Returns the state of the job.
    pub fn ledger(&self) -> &JobLedger {
        &self.ledger
    }

    /// Returns the numbers of generated tokens by their use.
    pub fn token_counts(&self) -> TokenCounts {
        self.tokens
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ControllerConfig {
        &self.config
    }

    /// Returns whether the job's specification is committed.
    pub fn is_created(&self) -> bool {
        self.is_recovered || self.appended_count > 0
    }

    /// Returns the status of the job.
    pub fn status(&self) -> JobStatus {
        let specification = self.ledger.specification();
        JobStatus {
            job: specification.job.clone(),
            step: self.ledger.step(),
            steps: specification.steps,
            ready: u32::try_from(self.ledger.ready().count()).unwrap_or(u32::MAX),
            delivered: self.ledger.delivered(),
            reopened: self.ledger.reopened(),
            in_flight: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            finished: self.ledger.is_finished(),
        }
    }

    fn advance(&mut self, now: Timestamp) {
        self.cancel_timed_out_attempts(now);
        self.open_steps();
        self.queue.advance(now);
        self.start_attempts(now);
        self.append_proposed();
    }
}
