//! What callers and other nodes ask of the owner, and when they are answered.
//!
//! Invariants: what was asked is answered only under a confirmed authority; a hand-in, an end or counts of usage only once a
//! majority of stores keeps them; nothing of a job is shown to another tenant, nor while its texts are missing.

use std::time::Duration;

use lichenpulley_core::batch::controller::Submission;
use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::batch::ledger::JobState;
use lichenpulley_core::identity::{BatchId, TenantName};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, ListedResult};
use tokio::time::Instant;

use super::super::Command;
use super::Owner;

/// Longest answer with results, in bytes of text.
const RESULTS_BYTES: usize = 700 << 10;

/// A reader that waits for a result.
pub(super) struct Reader {
    batch: BatchId,
    from: u64,
    until: Instant,
    caller: Option<TenantName>,
    pub(super) command: Command,
}

impl Owner {
    pub(super) fn handle_command(&mut self, command: Command) {
        if !self.is_confirmed() {
            return command.answer(BatchResponse::Unavailable);
        }
        match &command.request {
            BatchRequest::Submit(job) => {
                let job = job.clone();
                self.submit(job, command);
            }
            BatchRequest::Read { batch, from, wait_ms, caller } => {
                let until = Instant::now() + Duration::from_millis(*wait_ms);
                let (batch, caller) = (batch.clone(), caller.clone());
                let reader = Reader { batch, from: *from, until, caller, command };
                self.readers.push(reader);
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
                self.controller.take_usage(self.now(), report);
                self.usages.push((source, through, command));
                self.answer_writers();
            }
            // It is owned already.
            BatchRequest::TakeOver(_) => command.answer(BatchResponse::Ended),
        }
    }

    fn submit(&mut self, job: BatchJob, command: Command) {
        let batch = job.id.clone();
        match self.controller.submit(self.now(), job) {
            Submission::Kept => command.answer(BatchResponse::Taken),
            Submission::Pending => self.submissions.push((batch, command)),
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
            Some(false) => self.ends.push((batch, command)),
            None => command.answer(BatchResponse::Unknown),
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

    pub(super) fn answer_writers(&mut self) {
        let ledger = self.controller.ledger();
        for (batch, command) in std::mem::take(&mut self.submissions) {
            match ledger.job(&batch) {
                Some(state) => {
                    let is_own = state.job.is_open_to(submitter(&command));
                    command.answer(if is_own { BatchResponse::Taken } else { BatchResponse::IdTaken });
                }
                None => self.submissions.push((batch, command)),
            }
        }
        for (source, through, command) in std::mem::take(&mut self.usages) {
            if ledger.usage().through(&source) >= through {
                command.answer(BatchResponse::UsageKept);
            } else {
                self.usages.push((source, through, command));
            }
        }
        for (batch, command) in std::mem::take(&mut self.ends) {
            match ledger.job(&batch) {
                Some(job) if job.is_ended => command.answer(BatchResponse::Ended),
                _ => self.ends.push((batch, command)),
            }
        }
    }

    /// Answers readers whose results are there, and those who have waited long enough.
    pub(super) fn answer_readers(&mut self) {
        if self.readers.is_empty() {
            return;
        }
        let now = Instant::now();
        let is_confirmed = self.is_confirmed();
        for reader in std::mem::take(&mut self.readers) {
            if !is_confirmed {
                reader.command.answer(BatchResponse::Unavailable);
                continue;
            }
            match self.controller.ledger().job(&reader.batch) {
                None => reader.command.answer(BatchResponse::Unknown),
                Some(state) if !state.job.is_open_to(reader.caller.as_ref()) => {
                    reader.command.answer(BatchResponse::Unknown)
                }
                Some(_) if self.controller.ledger().lacks_texts(&reader.batch) => {
                    if now < reader.until {
                        self.readers.push(reader);
                    } else {
                        reader.command.answer(BatchResponse::Unavailable);
                    }
                }
                Some(job) if (job.results.len() as u64) <= reader.from && now < reader.until => {
                    self.readers.push(reader);
                }
                Some(job) => reader.command.answer(results(job, reader.from)),
            }
        }
    }
}

/// The tenant that hands a job in.
const fn submitter(command: &Command) -> Option<&TenantName> {
    match &command.request {
        BatchRequest::Submit(job) => job.tenant.as_ref(),
        _ => None,
    }
}

/// Results from a position on, as many as fit an answer.
fn results(job: &JobState, from: u64) -> BatchResponse {
    let mut bytes = 0;
    let mut results = Vec::new();
    let first = usize::try_from(from).unwrap_or(usize::MAX);
    for result in job.results.iter().skip(first) {
        bytes += result.text.len();
        if bytes > RESULTS_BYTES && !results.is_empty() {
            break;
        }
        let item = job.job.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
        results.push(ListedResult { item, result: result.clone() });
    }
    BatchResponse::Results { total: job.job.items.len() as u64, results }
}
