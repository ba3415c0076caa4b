//! The owner of a job: starts attempts, decides slots, answers pulls.

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
use proposals::HeldAnswer;
use window::DispatchWindow;

/// A log can't be taken over.
#[derive(Debug, thiserror::Error)]
pub enum RecoverError {
    /// An entry can't be read.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// An entry does not fit those before it.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// Tokens by what became of them, since this owner began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// In samples that were decided.
    pub decided: u64,
    /// Thrown away while the attempt ran: it could only have become too old.
    pub cancelled: u64,
    /// Thrown away when the attempt ended: too old already.
    pub stale_at_decision: u64,
    /// Thrown away at hand-over.
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
/// under its epoch: when an append fails the driver drops the whole controller and takes the shard over
/// again. Invariant: an answer leaves only after every record proposed before it is kept by a majority.
pub struct JobController {
    config: ControllerConfig,
    epoch: Epoch,
    ledger: JobLedger,
    queue: SlotQueue,
    /// Steps below this one have been put into the queue.
    opened_steps: u32,
    running: BTreeMap<AttemptId, RunningAttempt>,
    /// Attempts that failed in a row, by slot.
    failures: BTreeMap<Slot, u32>,
    window: DispatchWindow,
    attempts_started: u64,
    /// Whether the log held the specification when this owner began.
    is_recovered: bool,
    proposed: Vec<JobRecord>,
    proposed_count: u64,
    appending_count: Option<u64>,
    appended_count: u64,
    held_answers: VecDeque<HeldAnswer>,
    compact_after: Option<u64>,
    tokens: TokenCounts,
    actions: VecDeque<Action>,
}

impl JobController {
    /// The owner of a new job. The specification must have passed [`JobSpecification::validate`].
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

    /// The owner that goes on where an earlier one stopped; `None` where the log is empty.
    ///
    /// # Errors
    /// When an entry can't be read or does not fit.
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
            held_answers: VecDeque::new(),
            compact_after: None,
            tokens: TokenCounts::default(),
            actions: VecDeque::new(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::AttemptProgress { attempt, weight_version, token_count } => {
                self.handle_progress(&attempt, weight_version, token_count);
            }
            Event::AttemptEnded { attempt, outcome } => self.handle_end(&attempt, outcome, now),
            Event::Pull { ticket, request } => self.handle_pull(ticket, &request),
            Event::Appended => self.handle_appended(),
            Event::WakeUp => {}
        }
        self.advance(now);
    }

    /// The next thing to do.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When to hand in [`Event::WakeUp`] at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timeout = |attempt: &RunningAttempt| attempt.started_at + self.config.attempt_timeout;
        let first_timeout = self.running.values().map(timeout).min();
        let hold_ends = self.window.hold_ends().filter(|_| !self.queue.is_empty());
        [first_timeout, self.queue.next_due(), hold_ends].into_iter().flatten().min()
    }

    /// The state that the log amounts to.
    pub fn ledger(&self) -> &JobLedger {
        &self.ledger
    }

    /// What became of the tokens since this owner began.
    pub fn token_counts(&self) -> TokenCounts {
        self.tokens
    }

    /// The settings.
    pub fn config(&self) -> &ControllerConfig {
        &self.config
    }

    /// Whether the job's specification is kept by a majority.
    pub fn is_created(&self) -> bool {
        self.is_recovered || self.appended_count > 0
    }

    /// How the job stands.
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
        self.give_up_late_attempts(now);
        self.open_steps();
        self.queue.advance(now);
        self.start_attempts(now);
        self.append_proposed();
    }
}
