//! What callers and other nodes ask of the owner.
//!
//! Invariants: what was asked is answered only under a confirmed authority; that there is no such job is said
//! only under one that was confirmed after the question came, since a later owner may have taken the job while
//! the last confirmation still holds. Those who have to wait are kept by
//! [`WaitingCallers`](super::waiting::WaitingCallers).

use std::time::Duration;

use lichenpulley_core::batch::controller::Submission;
use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::identity::{BatchId, TenantName};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};

use super::Owner;
use crate::batch::Command;

impl Owner {
    /// Answers a command, or lets its caller wait.
    pub(super) fn handle_command(&mut self, command: Command) {
        if !self.stores.is_confirmed() {
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
                self.callers.add_reader(batch, from, wait, caller, command);
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
            // It is owned already.
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

    /// Whether a job is another tenant's: to this caller it is as if it weren't there.
    fn is_hidden(&self, batch: &BatchId, caller: Option<&TenantName>) -> bool {
        self.controller.ledger().job(batch).is_some_and(|state| !state.job.is_open_to(caller))
    }

    fn end(&mut self, batch: BatchId, command: Command) {
        match self.controller.end(self.now(), &batch) {
            Some(true) => command.answer(BatchResponse::Ended),
            Some(false) => self.callers.add_end(batch, command),
            None => self.callers.add_lookup(self.stores.clock().now(), command),
        }
    }

    /// Whether a request wants to read of a job that is not kept here.
    fn lacks_job_of(&self, request: &BatchRequest) -> bool {
        let reads = matches!(request, BatchRequest::Read { .. } | BatchRequest::ItemBody { .. });
        reads && !self.keeps_job_of(request)
    }

    fn keeps_job_of(&self, request: &BatchRequest) -> bool {
        request.job().is_some_and(|batch| self.controller.ledger().job(batch).is_some())
    }

    /// An append was decided: answers those who asked for unknown jobs before it began.
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

    /// Answers callers whose writes are kept.
    pub(super) fn answer_writers(&mut self) {
        self.callers.answer_writers(self.controller.ledger());
    }

    /// Answers readers whose results are there, and those who have waited long enough.
    pub(super) fn answer_readers(&mut self) {
        self.callers.answer_readers(self.controller.ledger(), self.stores.is_confirmed());
    }
}
