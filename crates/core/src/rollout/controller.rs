//! The owner of a job: starts attempts, decides slots, answers pulls.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::decision::{Component, Decision};
use crate::identity::{AttemptId, Epoch, WeightVersion};
use crate::request::answer::VersionSpan;
use crate::time::Timestamp;

use super::delivery::{PullRefusal, PullRequest, PullResponse};
use super::ledger::{JobLedger, LedgerError};
use super::queue::SlotQueue;
use super::record::{JobRecord, RecordError};
use super::sample::{JobStatus, Sample};
use super::slot::Slot;
use super::span::check_coverage;
use super::specification::JobSpecification;

/// Settings of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// Attempts of one job that run at once.
    pub max_in_flight: usize,
    /// How long a slot rests after a failed attempt that gave no time to come back.
    pub retry_delay: Duration,
    /// After this time without a result an attempt is given up and its slot tried anew.
    pub attempt_timeout: Duration,
    /// A batch for the trainer ends before it grows beyond this many tokens, one sample at least.
    pub max_batch_tokens: usize,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            max_in_flight: 256,
            retry_delay: Duration::from_millis(200),
            attempt_timeout: Duration::from_secs(600),
            max_batch_tokens: 1 << 20,
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A running attempt reported tokens made by this version.
    AttemptProgress {
        /// The attempt.
        attempt: AttemptId,
        /// The version that the engine reported with them.
        weight_version: WeightVersion,
        /// Tokens so far.
        token_count: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A trainer pulls; the answer names the ticket.
    Pull {
        /// Chosen by the driver.
        ticket: u64,
        /// The pull.
        request: PullRequest,
    },
    /// The records of the last [`Action::Append`] are kept by a majority.
    Appended,
    /// The time of [`JobController::next_wakeup`] has come.
    WakeUp,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A whole answer, scored.
    Completed {
        /// Its tokens.
        tokens: Vec<u32>,
        /// Which weights produced which tokens.
        spans: Vec<VersionSpan>,
        /// The scorer's reward.
        reward: f64,
    },
    /// No usable answer.
    Failed {
        /// Why; a metrics label.
        reason: String,
        /// When to come back, where it is known.
        retry_after: Option<Duration>,
    },
}

/// What an attempt needs to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// Names the attempt, also across owners.
    pub attempt: AttemptId,
    /// The slot to fill.
    pub slot: Slot,
    /// The seed of sampling; the same for each attempt at this generation of the slot.
    pub seed: u64,
    /// Replicas with older weights are to be passed over: their sample would be too old at hand-over.
    pub minimum_version: WeightVersion,
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt and report how it ended.
    Start(AttemptStart),
    /// Stop an attempt; its end need not be reported.
    Cancel(AttemptId),
    /// Append these records to the log and report [`Event::Appended`]. Only one append is outstanding.
    Append(Vec<JobRecord>),
    /// Replace all records appended so far by this snapshot.
    Compact(Vec<u8>),
    /// Answer a pull.
    Answer {
        /// The pull's ticket.
        ticket: u64,
        /// The answer.
        answer: Result<PullResponse, PullRefusal>,
    },
    /// Record a decision.
    Decide(Decision),
}

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

struct RunningAttempt {
    slot: Slot,
    generation: u32,
    started_at: Timestamp,
    token_count: u32,
}

struct HeldAnswer {
    /// The answer rests on records up to this number.
    after_record: u64,
    ticket: u64,
    answer: Result<PullResponse, PullRefusal>,
}

/// The owner of a job.
///
/// Records are applied to the ledger when they are proposed. That is safe because only this owner can append
/// under its epoch: when an append fails the driver drops the whole controller and takes the shard over again.
/// Invariant: an answer leaves only after every record proposed before it is kept by a majority.
pub struct JobController {
    config: ControllerConfig,
    epoch: Epoch,
    ledger: JobLedger,
    queue: SlotQueue,
    /// Steps below this one have been put into the queue.
    opened_steps: u32,
    running: BTreeMap<AttemptId, RunningAttempt>,
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
        let mut controller = Self::with_ledger(JobLedger::new(specification.clone()), epoch, config);
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
            Some(bytes) => JobLedger::from_snapshot(bytes)?,
            None => match records.next().transpose()? {
                None => return Ok(None),
                Some(JobRecord::Submitted(specification)) => JobLedger::new(specification),
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
        [first_timeout, self.queue.next_due()].into_iter().flatten().min()
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

    /// A step is opened once it is at most `staleness_bound` steps ahead of the trainer: a trainer that publishes
    /// one version a step would find later ones too old.
    fn open_steps(&mut self) {
        let specification = self.ledger.specification();
        let ahead = u32::try_from(specification.staleness_bound).unwrap_or(u32::MAX);
        let end = self.ledger.step().saturating_add(ahead).saturating_add(1).min(specification.steps);
        while self.opened_steps < end {
            for slot in Slot::of_step(self.ledger.specification(), self.opened_steps) {
                if self.ledger.open_generation(slot).is_some() {
                    self.queue.push(slot);
                }
            }
            self.opened_steps += 1;
        }
    }

    fn start_attempts(&mut self, now: Timestamp) {
        while self.running.len() < self.config.max_in_flight {
            let Some(slot) = self.queue.pop() else { return };
            if let Some(generation) = self.ledger.open_generation(slot) {
                self.start_attempt(slot, generation, now);
            }
        }
    }

    /// The version at which the trainer is expected to pull a slot, at one version a step.
    fn expected_trainer_version(&self, slot: Slot) -> WeightVersion {
        let steps_ahead = slot.step.saturating_sub(self.ledger.step());
        WeightVersion(self.ledger.trainer_version().0 + u64::from(steps_ahead))
    }

    /// The staleness test at admission: what older weights would make can only be thrown away later.
    fn minimum_version(&self, slot: Slot) -> WeightVersion {
        let expected = self.expected_trainer_version(slot);
        WeightVersion(expected.0.saturating_sub(self.ledger.staleness_bound().0))
    }

    fn start_attempt(&mut self, slot: Slot, generation: u32, now: Timestamp) {
        self.attempts_started += 1;
        let job = &self.ledger.specification().job;
        let attempt = AttemptId::new(format!("{job}-{slot}-e{}-{}", self.epoch, self.attempts_started));
        let seed = xxhash_rust::xxh3::xxh3_64(format!("{job} {slot} {generation}").as_bytes());
        let running = RunningAttempt { slot, generation, started_at: now, token_count: 0 };
        self.running.insert(attempt.clone(), running);
        let minimum_version = self.minimum_version(slot);
        self.actions.push_back(Action::Start(AttemptStart { attempt, slot, seed, minimum_version }));
    }

    fn give_up_late_attempts(&mut self, now: Timestamp) {
        let timeout = self.config.attempt_timeout;
        let is_late = |running: &RunningAttempt| now.saturating_since(running.started_at) >= timeout;
        let late: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, running)| is_late(running))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in late {
            self.cancel(&attempt, "attempt_timeout");
        }
    }

    /// Stops an attempt and puts its slot back into the queue.
    fn cancel(&mut self, attempt: &AttemptId, reason: &str) {
        let Some(running) = self.running.remove(attempt) else { return };
        self.tokens.cancelled += u64::from(running.token_count);
        self.queue.push(running.slot);
        self.actions.push_back(Action::Cancel(attempt.clone()));
        let decision = Decision::new(Component::Rollout, "cancelled", reason, attempt)
            .with("slot", running.slot)
            .with("tokens", running.token_count);
        self.actions.push_back(Action::Decide(decision));
    }

    /// The staleness test while an attempt runs: its oldest tokens only get older.
    fn handle_progress(&mut self, attempt: &AttemptId, weight_version: WeightVersion, token_count: u32) {
        let Some(running) = self.running.get_mut(attempt) else { return };
        running.token_count = token_count;
        let slot = running.slot;
        let expected = self.expected_trainer_version(slot);
        if self.ledger.staleness_bound().check(weight_version, expected).is_err() {
            self.cancel(attempt, "stale_while_running");
        }
    }

    fn handle_end(&mut self, attempt: &AttemptId, outcome: AttemptOutcome, now: Timestamp) {
        let Some(running) = self.running.remove(attempt) else { return };
        match outcome {
            AttemptOutcome::Failed { reason, retry_after } => {
                let delay = retry_after.unwrap_or(self.config.retry_delay);
                self.queue.push_delayed(running.slot, now + delay);
                let decision = Decision::new(Component::Rollout, "attempt_failed", &reason, attempt)
                    .with("slot", running.slot)
                    .with("retry_after_ms", delay.as_millis());
                self.actions.push_back(Action::Decide(decision));
            }
            AttemptOutcome::Completed { tokens, spans, reward } => {
                let prompt = self.ledger.specification().prompts[running.slot.prompt as usize].clone();
                let sample = Sample { slot: running.slot, prompt, tokens, spans, reward };
                self.decide(attempt, &running, sample, now);
            }
        }
    }

    fn decide(&mut self, attempt: &AttemptId, running: &RunningAttempt, sample: Sample, now: Timestamp) {
        if let Err(error) = check_coverage(&sample.spans, sample.tokens.len()) {
            log::warn!(target: "rollout", "Attempt {attempt} gave no sample: {error}.");
            self.queue.push_delayed(running.slot, now + self.config.retry_delay);
            self.drop_sample(attempt, "incomplete_versions", &sample);
            return;
        }
        let bound = self.ledger.staleness_bound();
        if bound.check_spans(&sample.spans, self.ledger.trainer_version()).is_err() {
            self.tokens.stale_at_decision += sample.tokens.len() as u64;
            self.queue.push(running.slot);
            self.drop_sample(attempt, "stale_at_decision", &sample);
            return;
        }
        let token_count = sample.tokens.len() as u64;
        let record = JobRecord::Decided { generation: running.generation, sample };
        match self.propose(record) {
            Ok(()) => self.tokens.decided += token_count,
            Err(error) => log::debug!(target: "rollout", "Attempt {attempt} came too late: {error}."),
        }
    }

    fn drop_sample(&mut self, attempt: &AttemptId, reason: &str, sample: &Sample) {
        let decision = Decision::new(Component::Rollout, "dropped", reason, attempt)
            .with("slot", sample.slot)
            .with("tokens", sample.tokens.len())
            .with("trainer_version", self.ledger.trainer_version());
        self.actions.push_back(Action::Decide(decision));
    }

    fn handle_pull(&mut self, ticket: u64, request: &PullRequest) {
        let answer = self.pull(request);
        let held = HeldAnswer { after_record: self.proposed_count, ticket, answer };
        self.held_answers.push_back(held);
        self.release_answers();
    }

    /// Everything that the answer rests on is a proposed record, so a new owner gives the same answer.
    fn pull(&mut self, request: &PullRequest) -> Result<PullResponse, PullRefusal> {
        self.ledger.check_pull(request)?;
        self.note_trainer(request);
        self.void_stale_batch();
        self.reopen_stale_slots();
        self.hand_over(request.max_samples);
        Ok(self.pull_response(request))
    }

    fn note_trainer(&mut self, request: &PullRequest) {
        let PullRequest { cursor, trainer_version, .. } = *request;
        if cursor == self.ledger.saved_cursor() && trainer_version == self.ledger.trainer_version() {
            return;
        }
        let step = self.ledger.step();
        self.propose_fitting(JobRecord::CursorMoved { cursor, trainer_version });
        if self.ledger.step() > step {
            self.compact_after = Some(self.proposed_count);
            let decision = Decision::new(Component::Rollout, "closed_step", "saved_by_trainer", step)
                .with("cursor", cursor);
            self.actions.push_back(Action::Decide(decision));
        }
    }

    /// The test at hand-over, for samples that were handed out and not saved: the bound goes before the promise
    /// that the same cursor gives the same samples.
    fn void_stale_batch(&mut self) {
        let Some((start, samples)) = self.ledger.unsaved_batch() else { return };
        if samples.iter().all(|sample| self.is_fresh(sample)) {
            return;
        }
        let decision = Decision::new(Component::Rollout, "voided_batch", "stale_at_hand_over", start)
            .with("samples", samples.len())
            .with("trainer_version", self.ledger.trainer_version());
        self.propose_fitting(JobRecord::BatchVoided);
        self.actions.push_back(Action::Decide(decision));
    }

    /// The test at hand-over, for samples that wait: the one that the bound rests on.
    fn reopen_stale_slots(&mut self) {
        let stale: Vec<(Slot, u64)> = self
            .ledger
            .ready()
            .filter(|sample| !self.is_fresh(sample))
            .map(|sample| (sample.slot, sample.tokens.len() as u64))
            .collect();
        for (slot, token_count) in stale {
            let generation = self.ledger.generation_of(slot) + 1;
            self.propose_fitting(JobRecord::Reopened { slot, generation });
            self.tokens.stale_at_hand_over += token_count;
            self.queue.push(slot);
            let decision = Decision::new(Component::Rollout, "reopened", "stale_at_hand_over", slot)
                .with("tokens", token_count)
                .with("trainer_version", self.ledger.trainer_version());
            self.actions.push_back(Action::Decide(decision));
        }
    }

    fn is_fresh(&self, sample: &Sample) -> bool {
        let trainer_version = self.ledger.trainer_version();
        self.ledger.staleness_bound().check_spans(&sample.spans, trainer_version).is_ok()
    }

    fn hand_over(&mut self, max_samples: u32) {
        if self.ledger.unsaved_batch().is_some() {
            return;
        }
        let mut tokens = 0;
        let fits = |sample: &&Sample| {
            tokens += sample.tokens.len();
            tokens <= self.config.max_batch_tokens.max(sample.tokens.len())
        };
        let ready = self.ledger.ready().take(max_samples as usize);
        let slots: Vec<Slot> = ready.take_while(fits).map(|sample| sample.slot).collect();
        if !slots.is_empty() {
            self.propose_fitting(JobRecord::HandedOver { slots });
        }
    }

    fn pull_response(&self, request: &PullRequest) -> PullResponse {
        let finished = self.ledger.is_finished();
        let Some((start, samples)) = self.ledger.unsaved_batch() else {
            return PullResponse { samples: Vec::new(), next_cursor: request.cursor, finished };
        };
        let samples: Vec<Sample> = samples.into_iter().take(request.max_samples as usize).cloned().collect();
        let next_cursor = match samples.len() {
            0 => request.cursor,
            count => start + count as u64,
        };
        PullResponse { samples, next_cursor, finished }
    }

    fn propose(&mut self, record: JobRecord) -> Result<(), LedgerError> {
        self.ledger.apply(&record)?;
        self.proposed.push(record);
        self.proposed_count += 1;
        Ok(())
    }

    /// Proposes a record that was made from the ledger as it stands.
    fn propose_fitting(&mut self, record: JobRecord) {
        if let Err(error) = self.propose(record) {
            log::error!(target: "rollout", "A record did not fit the ledger it was made from: {error}.");
        }
    }

    fn append_proposed(&mut self) {
        if self.appending_count.is_some() || self.proposed.is_empty() {
            return;
        }
        self.appending_count = Some(self.proposed_count);
        let records = std::mem::take(&mut self.proposed);
        self.actions.push_back(Action::Append(records));
        self.compact_closed_steps();
    }

    /// The snapshot stands for exactly the records that have been given to the driver so far.
    fn compact_closed_steps(&mut self) {
        if self.compact_after.take().is_none() {
            return;
        }
        match self.ledger.snapshot() {
            Ok(snapshot) => self.actions.push_back(Action::Compact(snapshot)),
            Err(error) => log::warn!(target: "rollout", "The log was not compacted: {error}."),
        }
    }

    fn handle_appended(&mut self) {
        let Some(count) = self.appending_count.take() else { return };
        self.appended_count = count;
        self.release_answers();
    }

    fn release_answers(&mut self) {
        while self.held_answers.front().is_some_and(|held| held.after_record <= self.appended_count) {
            let Some(HeldAnswer { ticket, answer, .. }) = self.held_answers.pop_front() else { return };
            self.actions.push_back(Action::Answer { ticket, answer });
        }
    }
}
