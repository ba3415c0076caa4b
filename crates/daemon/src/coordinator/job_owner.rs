//! Drives the state machine of one rollout job that this node owns.
//!
//! Owns the job's controller, its log, its running attempts and the pending requests. `core::rollout` makes
//! all decisions. Unlike the owner of batch jobs, this owner does not confirm its authority with the stores,
//! so each answer waits until its records are committed.

use std::collections::HashMap;
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, JobId};
use lichenpulley_core::rollout::{
    Action, AttemptOutcome, AttemptStart, Event, JobController, JobRecord, JobSpecification, PullRefusal,
    PullRequest, PullResponse,
};
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::attempt::AttemptRunner;
use super::shard::{ShardClock, ShardCommand, encode_records, final_response, refused};
use crate::context::Context;
use crate::gateway::Dispatcher;
use crate::http::client::HttpClient;
use crate::store::log_writer::{AppendMode, AppendOutcome, LogWriter, RecordFormat};
use crate::store::shard_log::{ShardLog, ShardLogError};

/// Target of this module's log lines.
const LOG_TARGET: &str = "rollout";
/// Timeout of a connection attempt to the scorer.
const SCORER_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of an attempt's task.
struct EndedAttempt {
    attempt: AttemptId,
    outcome: AttemptOutcome,
}

/// The owner of a job, with its log, its running attempts and the pending requests.
pub(super) struct JobOwner {
    context: Context,
    runner: AttemptRunner,
    controller: JobController,
    clock: ShardClock,
    log: LogWriter<Vec<u8>>,
    attempts: JoinSet<EndedAttempt>,
    /// Handles that cancel the running attempts.
    running: HashMap<AttemptId, AbortHandle>,
    /// Pull requests that wait for their answer, by ticket.
    pulls: HashMap<u64, ShardCommand>,
    /// Submissions that wait until the specification is committed.
    submissions: Vec<ShardCommand>,
    last_ticket: u64,
    failure: Option<ShardLogError>,
}

impl JobOwner {
    pub(super) fn new(
        context: Context,
        dispatcher: Dispatcher,
        controller: JobController,
        log: ShardLog,
        clock: ShardClock,
    ) -> Self {
        let runner = AttemptRunner {
            context: context.clone(),
            dispatcher,
            http: HttpClient::new(SCORER_CONNECT_TIMEOUT),
            specification: controller.ledger().specification().clone(),
            timeout: controller.config().attempt_timeout,
        };
        let boot_clock = context.boot_clock.clone();
        Self {
            context,
            runner,
            controller,
            clock,
            log: LogWriter::start(log, RecordFormat::bytes(LOG_TARGET), AppendMode::Single, 0, boot_clock),
            attempts: JoinSet::new(),
            running: HashMap::new(),
            pulls: HashMap::new(),
            submissions: Vec::new(),
            last_ticket: 0,
            failure: None,
        }
    }

    /// Runs the job until it is stopped or its log fails. Requests that are then unanswered are refused, so
    /// that callers repeat them at the next owner.
    pub(super) async fn run(mut self, commands: &mut mpsc::Receiver<ShardCommand>, stop: &CancellationToken) {
        self.execute_actions();
        while self.failure.is_none() {
            let wakeup = self.controller.next_wakeup();
            tokio::select! {
                () = stop.cancelled() => break,
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                outcome = self.log.next() => self.handle_append(outcome),
                Some(ended) = self.attempts.join_next() => self.handle_attempt(ended),
                () = self.clock.sleep_until(wakeup) => self.handle(Event::WakeUp),
            }
        }
        self.finish(commands);
    }

    pub(super) fn handle_command(&mut self, command: ShardCommand) {
        match &command.request {
            CoordinatorRequest::SubmitJob(specification) => {
                let specification = specification.clone();
                self.handle_submission(&specification, command);
            }
            CoordinatorRequest::Pull(_, request) => {
                let request = request.clone();
                self.handle_pull(request, command);
            }
            CoordinatorRequest::JobStatus(_) => {
                let status = self.controller.status();
                command.answer(CoordinatorResponse::Job(status));
            }
            _ => command.answer(CoordinatorResponse::NotOwner(None)),
        }
    }

    fn handle_submission(&mut self, specification: &JobSpecification, command: ShardCommand) {
        if specification != self.controller.ledger().specification() {
            let message = format!("job {} exists with another specification", specification.job);
            return command.answer(refused("job_exists", message, "submit it under another name"));
        }
        self.submissions.push(command);
        self.answer_submissions();
    }

    fn answer_submissions(&mut self) {
        if !self.controller.is_created() {
            return;
        }
        for command in self.submissions.drain(..) {
            command.answer(CoordinatorResponse::Job(self.controller.status()));
        }
    }

    fn handle_pull(&mut self, request: PullRequest, command: ShardCommand) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.pulls.insert(ticket, command);
        self.handle(Event::Pull { ticket, request });
    }

    fn handle_append(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Appended { appends, .. } => {
                (0..appends).for_each(|_| self.handle(Event::Appended));
                self.answer_submissions();
            }
            // This owner never replaces a store.
            AppendOutcome::Confirmed { .. } | AppendOutcome::Replaced(_) => {}
            // Only a writer of batched appends refuses appends and asks for snapshots.
            AppendOutcome::Refused { .. } | AppendOutcome::SnapshotDue(_) => {}
            AppendOutcome::Failed(error) => self.failure = Some(error),
        }
    }

    fn handle_attempt(&mut self, ended: Result<EndedAttempt, tokio::task::JoinError>) {
        match ended {
            Ok(EndedAttempt { attempt, outcome }) => {
                self.running.remove(&attempt);
                self.handle(Event::AttemptEnded { attempt, outcome });
            }
            // Cancelled by the controller, which has put the slot back into its queue.
            Err(error) if error.is_cancelled() => {}
            // The controller retries the slot after its attempt timeout.
            Err(error) => log::error!(target: "rollout", "An attempt's task failed: {error}."),
        }
    }

    fn handle(&mut self, event: Event) {
        self.controller.handle(event, self.clock.now());
        self.execute_actions();
    }

    fn execute_actions(&mut self) {
        while let Some(action) = self.controller.poll_action() {
            match action {
                Action::Start(start) => self.spawn_attempt(start),
                Action::Cancel(attempt) => self.cancel_attempt(&attempt),
                Action::Append(records) => self.append(&records),
                Action::Compact(snapshot) => self.log.compact(snapshot),
                Action::Answer { ticket, answer } => self.answer_pull(ticket, answer),
                Action::Decide(decision) => self.context.decisions.record(decision),
            }
        }
    }

    fn spawn_attempt(&mut self, start: AttemptStart) {
        let runner = self.runner.clone();
        let attempt = start.attempt.clone();
        let handle = self.attempts.spawn(async move {
            let outcome = runner.run(&start).await;
            EndedAttempt { attempt: start.attempt, outcome }
        });
        self.running.insert(attempt, handle);
    }

    fn cancel_attempt(&mut self, attempt: &AttemptId) {
        if let Some(handle) = self.running.remove(attempt) {
            handle.abort();
        }
    }

    fn append(&mut self, records: &[JobRecord]) {
        // Records that can't be encoded are not appended, so no answer that depends on them is sent.
        if let Some(encoded) = encode_records(LOG_TARGET, records, JobRecord::encode) {
            self.log.append(encoded);
        }
    }

    fn answer_pull(&mut self, ticket: u64, answer: Result<PullResponse, PullRefusal>) {
        let Some(command) = self.pulls.remove(&ticket) else { return };
        command.answer(match answer {
            Ok(samples) => CoordinatorResponse::Samples(samples),
            Err(refusal) => refused(refusal.kind(), refusal, "pull from the cursor that was saved"),
        });
    }

    fn finish(mut self, commands: &mut mpsc::Receiver<ShardCommand>) {
        let pending = self.pulls.drain().map(|(_, command)| command).chain(self.submissions.drain(..));
        let response = final_response(LOG_TARGET, self.failure.as_ref(), commands);
        for command in pending {
            command.answer(response.clone());
        }
    }
}

/// Returns the answer to a request about a job that was never submitted.
pub(super) fn unknown_job(job: &JobId) -> CoordinatorResponse {
    refused("unknown_job", format!("job {job} was never submitted"), "submit it, or mend its name")
}
