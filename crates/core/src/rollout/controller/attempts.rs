//! Starts, cancels and ends the attempts that fill slots.
//!
//! The dispatch window limits the running attempts. The staleness bound decides which of them are started,
//! cancelled or dropped.

use std::time::Duration;

use crate::decision::{Component, Decision};
use crate::identity::{AttemptId, WeightVersion};
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

use super::super::record::JobRecord;
use super::super::sample::Sample;
use super::super::slot::Slot;
use super::super::span::check_coverage;
use super::JobController;
use super::event::{Action, AttemptOutcome, AttemptStart};

/// Longest delay after a failed attempt. Limits how often a slot whose request crashes engines is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// A running attempt of this owner.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    pub(super) slot: Slot,
    generation: u32,
    pub(super) started_at: Timestamp,
    token_count: u32,
}

impl JobController {
    /// Opens the steps that are at most `staleness_bound` steps ahead of the trainer. Samples of later steps
    /// would be too old for a trainer that publishes one version per step.
    pub(super) fn open_steps(&mut self) {
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

    pub(super) fn start_attempts(&mut self, now: Timestamp) {
        self.window.advance(now);
        while self.window.allows(self.running.len()) {
            let Some(slot) = self.queue.pop() else { return };
            if let Some(generation) = self.ledger.open_generation(slot) {
                self.start_attempt(slot, generation, now);
            }
        }
    }

    /// Returns the version at which the trainer is expected to pull a slot, at one version per step.
    pub(super) fn expected_trainer_version(&self, slot: Slot) -> WeightVersion {
        let steps_ahead = slot.step.saturating_sub(self.ledger.step());
        WeightVersion(self.ledger.trainer_version().0 + u64::from(steps_ahead))
    }

    /// Returns the oldest weight version that may start an attempt. Samples of older weights would be
    /// dropped later.
    pub(super) fn minimum_version(&self, slot: Slot) -> WeightVersion {
        if !self.config.checks.staleness_before_hand_over {
            return WeightVersion::default();
        }
        let expected = self.expected_trainer_version(slot);
        WeightVersion(expected.0.saturating_sub(self.ledger.staleness_bound().0))
    }

    pub(super) fn start_attempt(&mut self, slot: Slot, generation: u32, now: Timestamp) {
        self.attempts_started += 1;
        let job = &self.ledger.specification().job;
        let attempt = AttemptId::new(format!("{job}-{slot}-e{}-{}", self.epoch, self.attempts_started));
        let seed = xxhash_rust::xxh3::xxh3_64(format!("{job} {slot} {generation}").as_bytes());
        let running = RunningAttempt { slot, generation, started_at: now, token_count: 0 };
        self.running.insert(attempt.clone(), running);
        let minimum_version = self.minimum_version(slot);
        self.actions.push_back(Action::Start(AttemptStart { attempt, slot, seed, minimum_version }));
    }

    pub(super) fn cancel_timed_out_attempts(&mut self, now: Timestamp) {
        let timeout = self.config.attempt_timeout;
        let is_timed_out = |running: &RunningAttempt| now.saturating_since(running.started_at) >= timeout;
        let timed_out: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, running)| is_timed_out(running))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in timed_out {
            self.cancel(&attempt, "attempt_timeout");
        }
    }

    /// Stops an attempt and puts its slot back into the queue.
    pub(super) fn cancel(&mut self, attempt: &AttemptId, reason: &str) {
        let Some(running) = self.running.remove(attempt) else { return };
        self.tokens.cancelled += u64::from(running.token_count);
        self.queue.push(running.slot);
        self.actions.push_back(Action::Cancel(attempt.clone()));
        let decision = Decision::new(Component::Rollout, "cancelled", reason, attempt)
            .with("slot", running.slot)
            .with("tokens", running.token_count);
        self.actions.push_back(Action::Decide(decision));
    }

    /// Cancels a running attempt whose tokens are too old already.
    pub(super) fn handle_progress(
        &mut self,
        attempt: &AttemptId,
        weight_version: WeightVersion,
        token_count: u32,
    ) {
        let Some(running) = self.running.get_mut(attempt) else { return };
        running.token_count = token_count;
        let slot = running.slot;
        let expected = self.expected_trainer_version(slot);
        let is_enabled = self.config.checks.staleness_before_hand_over;
        if is_enabled && self.ledger.staleness_bound().check(weight_version, expected).is_err() {
            self.cancel(attempt, "stale_while_running");
        }
    }

    /// Removes a running attempt, so that a repeated result is ignored.
    fn end_attempt(&mut self, attempt: &AttemptId) -> Option<RunningAttempt> {
        if self.config.checks.decide_once {
            return self.running.remove(attempt);
        }
        self.running.get(attempt).cloned()
    }

    pub(super) fn handle_attempt_end(
        &mut self,
        attempt: &AttemptId,
        outcome: AttemptOutcome,
        now: Timestamp,
    ) {
        let Some(running) = self.end_attempt(attempt) else { return };
        match outcome {
            AttemptOutcome::Refused { reason, retry_after } => {
                self.queue.push(running.slot);
                self.window.refused(self.running.len(), retry_after, now);
                let decision = Decision::new(Component::Rollout, "held_back", &reason, attempt)
                    .with("slot", running.slot)
                    .with("window", self.window.size());
                self.actions.push_back(Action::Decide(decision));
            }
            AttemptOutcome::Failed { reason, retry_after } => {
                let failures = self.failures.entry(running.slot).or_default();
                *failures += 1;
                let start = self.config.retry_delay;
                let backoff = Backoff::new(start, MAX_RETRY_DELAY.max(start));
                let delay = retry_after.unwrap_or(backoff.pause(*failures));
                self.queue.push_delayed(running.slot, now + delay);
                let decision = Decision::new(Component::Rollout, "attempt_failed", &reason, attempt)
                    .with("slot", running.slot)
                    .with("retry_after_ms", delay.as_millis());
                self.actions.push_back(Action::Decide(decision));
            }
            AttemptOutcome::Completed { tokens, spans, reward } => {
                self.window.completed();
                self.failures.remove(&running.slot);
                let prompt = self.ledger.specification().prompts[running.slot.prompt as usize].clone();
                let sample = Sample { slot: running.slot, prompt, tokens, spans, reward };
                self.decide(attempt, &running, sample, now);
            }
        }
    }

    pub(super) fn decide(
        &mut self,
        attempt: &AttemptId,
        running: &RunningAttempt,
        sample: Sample,
        now: Timestamp,
    ) {
        if let Err(error) = check_coverage(&sample.spans, sample.tokens.len()) {
            log::warn!(target: "rollout", "Attempt {attempt} returned an invalid sample: {error}.");
            self.queue.push_delayed(running.slot, now + self.config.retry_delay);
            self.drop_sample(attempt, "incomplete_versions", &sample);
            return;
        }
        let bound = self.ledger.staleness_bound();
        let is_enabled = self.config.checks.staleness_before_hand_over;
        if is_enabled && bound.check_spans(&sample.spans, self.ledger.trainer_version()).is_err() {
            self.tokens.stale_at_decision += sample.tokens.len() as u64;
            self.queue.push(running.slot);
            self.drop_sample(attempt, "stale_at_decision", &sample);
            return;
        }
        let token_count = sample.tokens.len() as u64;
        let record = JobRecord::Decided { generation: running.generation, sample };
        match self.propose(record) {
            Ok(()) => self.tokens.decided += token_count,
            Err(error) => log::debug!(target: "rollout", "Attempt {attempt} ended too late: {error}."),
        }
    }

    pub(super) fn drop_sample(&mut self, attempt: &AttemptId, reason: &str, sample: &Sample) {
        let decision = Decision::new(Component::Rollout, "dropped", reason, attempt)
            .with("slot", sample.slot)
            .with("tokens", sample.tokens.len())
            .with("trainer_version", self.ledger.trainer_version());
        self.actions.push_back(Action::Decide(decision));
    }
}
