//! Callers that wait for a response of the owner.
//!
//! Invariants: a submission, an end or a usage report is acknowledged only once it is committed. Results of a
//! job are not returned to another tenant, nor while its texts are missing. A job is reported as unknown, and a
//! read as having no results, only once an append that began after the request is committed.

use std::time::Duration;

use lichenpulley_core::batch::job::ItemResult;
use lichenpulley_core::batch::ledger::{JobState, Ledger};
use lichenpulley_core::identity::{BatchId, TenantName};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, ListedResult};
use tokio::time::Instant;

use crate::batch::Command;
use crate::boot_clock::BootInstant;

/// Maximum size of one page of results, in bytes of text.
const MAX_PAGE_BYTES: usize = 700 << 10;

/// A caller that waits for results of a job.
struct Reader {
    asked_at: BootInstant,
    batch: BatchId,
    from: u64,
    until: Instant,
    caller: Option<TenantName>,
    command: Command,
}

/// A caller that waits until its usage report is committed.
struct UsageWriter {
    /// Incarnation of the node that counted.
    source: String,
    /// All entries of the source before this position must be committed.
    through: u64,
    command: Command,
}

/// A request for a job that is not in the ledger, pending a confirmation of the authority.
struct PendingLookup {
    asked_at: BootInstant,
    command: Command,
}

/// All callers that wait for a response.
#[derive(Default)]
pub(super) struct WaitingCallers {
    submissions: Vec<(BatchId, Command)>,
    ends: Vec<(BatchId, Command)>,
    usages: Vec<UsageWriter>,
    lookups: Vec<PendingLookup>,
    readers: Vec<Reader>,
}

impl WaitingCallers {
    /// Adds a caller whose submitted job is being appended.
    pub(super) fn add_submission(&mut self, batch: BatchId, command: Command) {
        self.submissions.push((batch, command));
    }

    /// Adds a caller that ends a job and whose record is being appended.
    pub(super) fn add_end(&mut self, batch: BatchId, command: Command) {
        // Holders send an end again after a timeout, for as long as it is not committed.
        self.ends.retain(|(_, earlier)| !earlier.reply.is_closed());
        self.ends.push((batch, command));
    }

    /// Adds a caller whose usage report is being appended.
    pub(super) fn add_usage(&mut self, source: String, through: u64, command: Command) {
        self.usages.push(UsageWriter { source, through, command });
    }

    /// Adds a request, received at `asked_at`, for a job that is not in the ledger.
    pub(super) fn add_lookup(&mut self, asked_at: BootInstant, command: Command) {
        self.lookups.push(PendingLookup { asked_at, command });
    }

    /// Removes and returns the lookups that were received no later than `confirmed_at`.
    pub(super) fn take_confirmed_lookups(&mut self, confirmed_at: BootInstant) -> Vec<Command> {
        let ready = self.lookups.extract_if(.., |lookup| lookup.asked_at <= confirmed_at);
        ready.map(|lookup| lookup.command).collect()
    }

    /// Adds a caller that reads results from position `from` on, since `asked_at`, and waits up to `wait` for
    /// the first one.
    pub(super) fn add_reader(
        &mut self,
        asked_at: BootInstant,
        batch: BatchId,
        from: u64,
        wait: Duration,
        caller: Option<TenantName>,
        command: Command,
    ) {
        self.readers.push(Reader { asked_at, batch, from, until: Instant::now() + wait, caller, command });
    }

    /// Answers callers whose writes are committed.
    pub(super) fn answer_writers(&mut self, ledger: &Ledger) {
        self.answer_submissions(ledger);
        self.answer_usages(ledger);
        self.answer_ends(ledger);
    }

    /// Answers the callers that submitted a job for which there was no room, and those that ended it already.
    pub(super) fn refuse_job(&mut self, batch: &BatchId) {
        for (_, command) in self.submissions.extract_if(.., |(submitted, _)| submitted == batch) {
            command.answer(BatchResponse::Full);
        }
        for (_, command) in self.ends.extract_if(.., |(ended, _)| ended == batch) {
            command.answer(BatchResponse::Unknown);
        }
    }

    fn answer_submissions(&mut self, ledger: &Ledger) {
        for (batch, command) in std::mem::take(&mut self.submissions) {
            match ledger.job(&batch) {
                Some(state) => {
                    let is_own = state.job.is_open_to(submitting_tenant(&command));
                    command.answer(if is_own { BatchResponse::Taken } else { BatchResponse::IdTaken });
                }
                None => self.submissions.push((batch, command)),
            }
        }
    }

    fn answer_usages(&mut self, ledger: &Ledger) {
        for waiting in std::mem::take(&mut self.usages) {
            if ledger.usage().through(&waiting.source) >= waiting.through {
                waiting.command.answer(BatchResponse::UsageKept);
            } else {
                self.usages.push(waiting);
            }
        }
    }

    fn answer_ends(&mut self, ledger: &Ledger) {
        for (batch, command) in std::mem::take(&mut self.ends) {
            match ledger.job(&batch) {
                Some(job) if job.is_ended => command.answer(BatchResponse::Ended),
                _ => self.ends.push((batch, command)),
            }
        }
    }

    /// Answers readers whose results are available or whose wait has expired. `confirmed_at` is when the last
    /// committed append began; without a confirmed authority (`None`), answers all readers and lookups with
    /// `Unavailable`.
    pub(super) fn answer_readers(&mut self, ledger: &Ledger, confirmed_at: Option<BootInstant>) {
        if confirmed_at.is_none() {
            self.refuse_lookups();
        }
        if self.readers.is_empty() {
            return;
        }
        let now = Instant::now();
        for reader in std::mem::take(&mut self.readers) {
            let Some(confirmed_at) = confirmed_at else {
                reader.command.answer(BatchResponse::Unavailable);
                continue;
            };
            match reader.response(ledger, confirmed_at, now) {
                Some(response) => reader.command.answer(response),
                None => self.readers.push(reader),
            }
        }
    }

    /// Answers all lookups with `Unavailable`, since the owner's ledger may be outdated.
    fn refuse_lookups(&mut self) {
        for lookup in self.lookups.drain(..) {
            lookup.command.answer(BatchResponse::Unavailable);
        }
    }

    /// Answers all callers when the ownership ends: writers with `InDoubt`, since their records may or may
    /// not be committed, and readers and lookups with `Unavailable`.
    pub(super) fn close(&mut self) {
        let jobs = self.submissions.drain(..).chain(self.ends.drain(..)).map(|(_, command)| command);
        let usages = self.usages.drain(..).map(|waiting| waiting.command);
        for command in jobs.chain(usages) {
            command.answer(BatchResponse::InDoubt);
        }
        self.refuse_lookups();
        for reader in self.readers.drain(..) {
            reader.command.answer(BatchResponse::Unavailable);
        }
    }
}

impl Reader {
    /// Returns the response, or `None` while the reader should wait.
    fn response(&self, ledger: &Ledger, confirmed_at: BootInstant, now: Instant) -> Option<BatchResponse> {
        let may_wait = now < self.until;
        let Some(job) = ledger.job(&self.batch) else { return Some(BatchResponse::Unknown) };
        if !job.job.is_open_to(self.caller.as_ref()) {
            return Some(BatchResponse::Unknown);
        }
        if ledger.lacks_texts(&self.batch) {
            return (!may_wait).then_some(BatchResponse::Unavailable);
        }
        let has_none = job.results.len() as u64 <= self.from;
        // A later owner may have listed results since the last confirmation.
        let may_be_outdated = confirmed_at < self.asked_at;
        if has_none && (may_wait || may_be_outdated) {
            return None;
        }
        Some(results(job, self.from))
    }
}

/// Returns the tenant that submits a job.
const fn submitting_tenant(command: &Command) -> Option<&TenantName> {
    match &command.request {
        BatchRequest::Submit(job) => job.tenant.as_ref(),
        _ => None,
    }
}

/// Returns results from position `from` on, up to [`MAX_PAGE_BYTES`] but at least one if there is any.
fn results(job: &JobState, from: u64) -> BatchResponse {
    let mut bytes = 0;
    let mut results = Vec::new();
    let first = usize::try_from(from).unwrap_or(usize::MAX);
    for result in job.results.iter().skip(first) {
        bytes += result.text.len();
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(to_listed(job, result));
    }
    BatchResponse::Results { total: job.job.items.len() as u64, results }
}

/// Converts a result for the response, adding its item's id. Every result refers to an item of the job.
fn to_listed(job: &JobState, result: &ItemResult) -> ListedResult {
    let item = job.job.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
    ListedResult { item, result: result.clone() }
}
