//! Job submission, acceptance and end, and the items that a new owner restores from the ledger.
//!
//! A job is refused when it would exceed the bytes that the owner may hold. The committed texts of all jobs count too.

use std::collections::BTreeMap;

use super::{Controller, ItemStage, LiveItem, Submission};
use crate::batch::job::{BatchItem, BatchJob, ItemResult};
use crate::batch::ledger::{ItemState, JobState};
use crate::batch::pending_ends::EndKey;
use crate::batch::record::Record;
use crate::decision::{Component, Decision};
use crate::identity::{BatchId, TenantName};
use crate::time::Timestamp;

/// Divides an item's maximum length to estimate its length where the caller gave no estimate. The estimate only
/// weighs models against each other and counts towards a replica's memory.
const EXPECTED_DIVISOR: u64 = 3;

impl Controller {
    pub(super) fn restore_items(&mut self) {
        let mut whole = Vec::new();
        for (batch, state) in self.ledger.jobs() {
            self.held_bytes += held_bytes(state);
            if !state.is_ended {
                self.tallies.insert(batch.clone(), self.tally(state));
            }
            for (item, position) in state.items.iter().zip(0..) {
                if !state.is_open(position) {
                    continue;
                }
                let key = (batch.clone(), position);
                let mut live = LiveItem {
                    failures: item.failures,
                    score_failures: item.score_failures,
                    ..LiveItem::default()
                };
                if item.is_generated {
                    whole.push(key.clone());
                } else {
                    live.events = item.events.clone();
                    live.written = item.events.len();
                }
                self.items.insert(key, live);
            }
        }
        for (batch, item) in whole {
            self.begin_scoring(self.began_at, &batch, item);
        }
    }

    /// Submits a job. Submitting the same job again has no further effect.
    pub fn submit(&mut self, now: Timestamp, job: BatchJob) -> Submission {
        if let Some(kept) = self.ledger.job(&job.id) {
            let is_own = kept.job.is_open_to(job.tenant.as_ref());
            return if is_own { Submission::Committed } else { Submission::IdTaken };
        }
        if self.pending_jobs.contains(&job.id) {
            return Submission::Pending;
        }
        let bytes = job.held_bytes();
        if self.refuse_for_space(&job, bytes) || self.refuse_for_time(now, &job) {
            return Submission::Full;
        }
        self.held_bytes += bytes;
        self.pending_jobs.insert(job.id.clone());
        let decision = Decision::new(Component::Rollout, "batch_taken", "has_room", &job.id);
        let decision = decision.with("items", job.items.len()).with("min_version", job.min_version);
        let decision = decision.with("tenant", job.tenant.as_ref().map_or("none", TenantName::as_str));
        self.record_decision(
            decision.with("step", job.step.map_or_else(|| "none".to_owned(), |step| step.to_string())),
        );
        let clock = Record::Clock(self.clock_ms(now));
        self.append(now, vec![clock, Record::Accepted(job)]);
        Submission::Pending
    }

    /// Returns a job that is committed or whose record is being appended.
    pub fn job(&self, batch: &BatchId) -> Option<&BatchJob> {
        let pending = || {
            let records = self.pending_appends.iter().flatten();
            let mut jobs = records.filter_map(|record| match record {
                Record::Accepted(job) => Some(job),
                _ => None,
            });
            jobs.find(|job| job.id == *batch)
        };
        self.ledger.job(batch).map(|state| &state.job).or_else(pending)
    }

    /// Ends a job. Its runs stop at once, and the end is visible once it is committed. Returns whether it is
    /// committed already, or `None` when there is no such job.
    pub fn end(&mut self, now: Timestamp, batch: &BatchId) -> Option<bool> {
        let is_ended = match self.ledger.job(batch) {
            Some(job) => job.is_ended,
            None if self.pending_jobs.contains(batch) => false,
            None => return None,
        };
        if is_ended {
            // A new owner that read the end from the log has not recorded this decision before.
            self.record_decision(Decision::new(Component::Rollout, "end_kept", "in_log", batch));
        } else if self.ending_jobs.insert(batch.clone()) {
            self.flush_open_items(now, batch);
            self.append(now, vec![Record::Ended(batch.clone())]);
            self.remove_items(now, batch);
            self.record_decision(Decision::new(Component::Rollout, "batch_ended", "caller", batch));
            self.mark_items_due(now);
        }
        Some(is_ended)
    }

    /// Starts no item and no score request until [`Self::end_held`]. A job may have been ended while there was no
    /// owner that could commit it.
    pub const fn await_ends(&mut self) {
        self.awaits_ends = true;
    }

    /// Returns whether no item is started until [`Self::end_held`].
    pub const fn awaits_ends(&self) -> bool {
        self.awaits_ends
    }

    /// Ends the jobs whose ends other nodes hold, and lets the items of the others start.
    pub fn end_held(&mut self, now: Timestamp, ends: &[EndKey]) {
        self.awaits_ends = false;
        for EndKey { batch, caller } in ends {
            let is_open = |state: &JobState| !state.is_ended && state.job.is_open_to(caller.as_ref());
            if self.ledger.job(batch).is_some_and(is_open) {
                self.end(now, batch);
            }
        }
        self.mark_items_due(now);
    }

    /// Makes the items of a committed job available to run and counts them towards the demand for their
    /// models.
    pub(super) fn accepted(&mut self, now: Timestamp, batch: &BatchId) {
        self.pending_jobs.remove(batch);
        let Some(state) = self.ledger.job(batch).filter(|_| !self.ending_jobs.contains(batch)) else {
            return;
        };
        self.tallies.insert(batch.clone(), self.tally(state));
        for position in (0..).take(state.items.len()) {
            self.items.insert((batch.clone(), position), LiveItem::default());
        }
        self.reuse_earlier(now, batch);
        let Some(state) = self.ledger.job(batch) else { return };
        let mut demand: BTreeMap<&str, u64> = BTreeMap::new();
        for (item, position) in state.job.items.iter().zip(0..) {
            let live = self.items.get(&(batch.clone(), position));
            let is_generating = live.is_some_and(|live| live.stage == ItemStage::Generating);
            if let Some(model) = item.model.as_deref().filter(|_| is_generating) {
                *demand.entry(model).or_default() += expected_tokens(item);
            }
        }
        for (model, tokens) in demand {
            self.loads.add_demand(model, tokens);
        }
        self.measure_demand(now);
        self.refresh_replicas(now);
        self.mark_items_and_loads_due(now);
    }
}

/// Estimates the tokens that an item will generate, at most its maximum.
pub(super) fn expected_tokens(item: &BatchItem) -> u64 {
    item.expected_tokens.unwrap_or(item.tokens / EXPECTED_DIVISOR).min(item.tokens.max(1))
}

/// Returns the bytes that a job counts towards the capacity: its items, its results, and the committed events of its
/// other items, which are retained after its end for later jobs.
pub(super) fn held_bytes(state: &JobState) -> usize {
    let results: usize = state.results.iter().map(ItemResult::held_bytes).sum();
    let events: usize = state.items.iter().map(ItemState::event_bytes).sum();
    state.job.held_bytes() + results + events
}
