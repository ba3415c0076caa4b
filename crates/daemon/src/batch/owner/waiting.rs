//! Callers that wait for the owner's answer.
//!
//! Owns their commands. Invariants: a hand-in, an end or counts of usage are answered only once a majority of
//! stores keeps them; nothing of a job is shown to another tenant, nor while its texts are missing; a job is
//! unknown only once an append that began after the question is decided.

use std::time::Duration;

use lichenpulley_core::batch::job::ItemResult;
use lichenpulley_core::batch::ledger::{JobState, Ledger};
use lichenpulley_core::identity::{BatchId, TenantName};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, ListedResult};
use tokio::time::Instant;

use crate::batch::Command;
use crate::boot_clock::BootInstant;

/// Longest answer with results, in bytes of text: a page that the link of a weak machine carries in a fraction
/// of a second; smaller costs callers more calls.
const MAX_PAGE_BYTES: usize = 700 << 10;

/// A reader that waits for a result.
struct Reader {
    batch: BatchId,
    from: u64,
    until: Instant,
    caller: Option<TenantName>,
    command: Command,
}

/// Counts of usage that are on their way to the stores.
struct UsageWriter {
    /// The incarnation of the node that counted.
    source: String,
    /// All its entries before this one are kept once these counts are.
    through: u64,
    command: Command,
}

/// A question about a job that is not kept here.
struct PendingLookup {
    asked_at: BootInstant,
    command: Command,
}

/// Everyone who waits.
#[derive(Default)]
pub(super) struct WaitingCallers {
    submissions: Vec<(BatchId, Command)>,
    ends: Vec<(BatchId, Command)>,
    usages: Vec<UsageWriter>,
    lookups: Vec<PendingLookup>,
    readers: Vec<Reader>,
}

impl WaitingCallers {
    /// A job was handed in that is on its way to the stores.
    pub(super) fn add_submission(&mut self, batch: BatchId, command: Command) {
        self.submissions.push((batch, command));
    }

    /// The end of a job is on its way to the stores.
    pub(super) fn add_end(&mut self, batch: BatchId, command: Command) {
        self.ends.push((batch, command));
    }

    /// Counts of usage are on their way to the stores.
    pub(super) fn add_usage(&mut self, source: String, through: u64, command: Command) {
        self.usages.push(UsageWriter { source, through, command });
    }

    /// A question about a job that is not kept here was asked at `asked_at`.
    pub(super) fn add_lookup(&mut self, asked_at: BootInstant, command: Command) {
        self.lookups.push(PendingLookup { asked_at, command });
    }

    /// Takes the questions that were asked before `confirmed_at`.
    pub(super) fn take_confirmed_lookups(&mut self, confirmed_at: BootInstant) -> Vec<Command> {
        let ready = self.lookups.extract_if(.., |lookup| lookup.asked_at <= confirmed_at);
        ready.map(|lookup| lookup.command).collect()
    }

    /// A caller reads results from the position `from` on, and waits for the first of them.
    pub(super) fn add_reader(
        &mut self,
        batch: BatchId,
        from: u64,
        wait: Duration,
        caller: Option<TenantName>,
        command: Command,
    ) {
        self.readers.push(Reader { batch, from, until: Instant::now() + wait, caller, command });
    }

    /// Answers those whose writes are kept.
    pub(super) fn answer_writers(&mut self, ledger: &Ledger) {
        self.answer_submissions(ledger);
        self.answer_usages(ledger);
        self.answer_ends(ledger);
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

    /// Answers readers whose results are there, and those who have waited long enough.
    pub(super) fn answer_readers(&mut self, ledger: &Ledger, is_confirmed: bool) {
        if !is_confirmed {
            self.refuse_lookups();
        }
        if self.readers.is_empty() {
            return;
        }
        let now = Instant::now();
        for reader in std::mem::take(&mut self.readers) {
            if !is_confirmed {
                reader.command.answer(BatchResponse::Unavailable);
                continue;
            }
            match reader.response(ledger, now) {
                Some(response) => reader.command.answer(response),
                None => self.readers.push(reader),
            }
        }
    }

    /// Nobody can say now whether there are such jobs.
    fn refuse_lookups(&mut self) {
        for lookup in self.lookups.drain(..) {
            lookup.command.answer(BatchResponse::Unavailable);
        }
    }

    /// The owner has ended: what was to be kept may or may not be, and readers ask the next owner.
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
    /// The answer; `None` while the reader goes on waiting.
    fn response(&self, ledger: &Ledger, now: Instant) -> Option<BatchResponse> {
        let may_wait = now < self.until;
        let Some(job) = ledger.job(&self.batch) else { return Some(BatchResponse::Unknown) };
        if !job.job.is_open_to(self.caller.as_ref()) {
            return Some(BatchResponse::Unknown);
        }
        if ledger.lacks_texts(&self.batch) {
            return (!may_wait).then_some(BatchResponse::Unavailable);
        }
        let has_none = job.results.len() as u64 <= self.from;
        if has_none && may_wait {
            return None;
        }
        Some(results(job, self.from))
    }
}

/// The tenant that hands a job in.
const fn submitting_tenant(command: &Command) -> Option<&TenantName> {
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
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(to_listed(job, result));
    }
    BatchResponse::Results { total: job.job.items.len() as u64, results }
}

/// A result with its item's id. Only items of the job are listed, so that there always is one.
fn to_listed(job: &JobState, result: &ItemResult) -> ListedResult {
    let item = job.job.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
    ListedResult { item, result: result.clone() }
}
