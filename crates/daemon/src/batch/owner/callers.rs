//! Handles requests of callers and other nodes at the owner.
//!
//! Invariants: requests other than ends are answered only while the owner's authority is confirmed. `Unknown` for
//! a job that is absent, and a page without results, are returned only after a confirmation that began after the
//! request arrived, since a later owner may have accepted the job, or listed results, while the previous
//! confirmation is still valid.
//! [`WaitingCallers`](super::waiting::WaitingCallers) holds the requests that have to wait.

use std::time::Duration;

use lichenpulley_core::batch::controller::Submission;
use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{BatchId, TenantName};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};

use super::Owner;
use crate::batch::Command;
use crate::batch::held_ends::CollectedEnds;

impl Owner {
    /// Answers a command, or queues it until its response is available.
    pub(super) fn handle_command(&mut self, command: Command) {
        // An end is answered once it is committed, which needs no confirmation, and the owner must not start the
        // job's items when it is confirmed again.
        let is_end = matches!(command.request, BatchRequest::End { .. });
        if !is_end && !self.stores.is_confirmed() {
            return command.answer(BatchResponse::Unavailable);
        }
        if self.lacks_job_of(&command.request) {
            return self.callers.add_lookup(self.stores.clock().now(), command);
        }
        match &command.request {
            BatchRequest::Submit(job) => {
                let job = job.clone();
                self.submit(job, command);
            }
            BatchRequest::Read { batch, from, wait_ms, caller } => {
                let (batch, from, caller) = (batch.clone(), *from, caller.clone());
                let wait = Duration::from_millis(*wait_ms);
                let asked_at = self.stores.clock().now();
                self.callers.add_reader(asked_at, batch, from, wait, caller, command);
                self.answer_readers();
            }
            BatchRequest::ItemBody { batch, item, caller } => {
                let response = self.item_body(batch, item, caller.as_ref());
                command.answer(response);
            }
            BatchRequest::End { batch, caller } => {
                if self.is_hidden(batch, caller.as_ref()) {
                    return command.answer(BatchResponse::Unknown);
                }
                let batch = batch.clone();
                self.end(batch, command);
            }
            BatchRequest::Usage(report) => {
                let (source, through) = (report.source.clone(), report.through());
                self.controller.record_usage(self.now(), report);
                self.callers.add_usage(source, through, command);
                self.answer_writers();
            }
            BatchRequest::BaseLatencies(replicas) => {
                let latencies = self.controller.base_latencies(replicas);
                command.answer(BatchResponse::BaseLatencies(latencies));
            }
            BatchRequest::Queue => {
                let report = self.controller.queue_report(self.now());
                command.answer(BatchResponse::Queue(report));
            }
            // This node owns the shard already.
            BatchRequest::TakeOver(_) => command.answer(BatchResponse::Ended),
        }
    }

    fn submit(&mut self, job: BatchJob, command: Command) {
        let batch = job.id.clone();
        match self.controller.submit(self.now(), job) {
            Submission::Committed => command.answer(BatchResponse::Taken),
            Submission::Pending => self.callers.add_submission(batch, command),
            Submission::Full => command.answer(BatchResponse::Full),
            Submission::IdTaken => command.answer(BatchResponse::IdTaken),
        }
    }

    /// Returns whether a job belongs to another tenant; the caller is then told that it is unknown.
    fn is_hidden(&self, batch: &BatchId, caller: Option<&TenantName>) -> bool {
        self.controller.job(batch).is_some_and(|job| !job.is_open_to(caller))
    }

    fn end(&mut self, batch: BatchId, command: Command) {
        match self.controller.end(self.now(), &batch) {
            Some(true) => command.answer(BatchResponse::Ended),
            Some(false) => self.callers.add_end(batch, command),
            None if self.stores.is_confirmed() => {
                self.callers.add_lookup(self.stores.clock().now(), command);
            }
            None => command.answer(BatchResponse::Unavailable),
        }
    }

    /// Ends the jobs whose ends were collected after the shard was taken over.
    pub(super) fn end_held_jobs(&mut self, collected: &CollectedEnds) {
        let decision =
            Decision::new(Component::Rollout, "ends_collected", "taken_over", self.scope.shard.as_str());
        let decision = decision.with("asked", collected.asked).with("answered", collected.answered);
        let decision =
            decision.with("held", collected.ends.len()).with("milliseconds", collected.took.as_millis());
        self.context.decisions.record(decision);
        self.controller.end_held(self.now(), &collected.ends);
    }

    /// Returns whether a request reads a job that is not in the ledger.
    fn lacks_job_of(&self, request: &BatchRequest) -> bool {
        let reads = matches!(request, BatchRequest::Read { .. } | BatchRequest::ItemBody { .. });
        reads && !self.keeps_job_of(request)
    }

    fn keeps_job_of(&self, request: &BatchRequest) -> bool {
        request.job().is_some_and(|batch| self.controller.ledger().job(batch).is_some())
    }

    /// Answers lookups of absent jobs that arrived before the last confirmed append began.
    pub(super) fn answer_lookups(&mut self) {
        for command in self.callers.take_confirmed_lookups(self.stores.confirmed_at()) {
            if self.keeps_job_of(&command.request) {
                self.handle_command(command);
            } else {
                command.answer(BatchResponse::Unknown);
            }
        }
    }

    fn item_body(&self, batch: &BatchId, item: &str, caller: Option<&TenantName>) -> BatchResponse {
        let body = || {
            let job = self.controller.ledger().job(batch)?;
            if !job.job.is_open_to(caller) {
                return None;
            }
            let position = *job.positions.get(item)?;
            Some(job.job.items.get(position as usize)?.body.clone())
        };
        body().map_or(BatchResponse::Unknown, BatchResponse::Body)
    }

    /// Answers callers whose writes are committed.
    pub(super) fn answer_writers(&mut self) {
        self.callers.answer_writers(self.controller.ledger());
    }

    /// Answers readers whose results are available or whose wait has expired.
    pub(super) fn answer_readers(&mut self) {
        let confirmed_at = self.stores.is_confirmed().then(|| self.stores.confirmed_at());
        self.callers.answer_readers(self.controller.ledger(), confirmed_at);
    }
}
