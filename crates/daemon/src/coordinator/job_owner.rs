//! Drives the state machine of one job that this node owns.
//!
//! Owns the job's controller, its log, its running attempts and the callers that wait. Relies on
//! `core::rollout` for every choice. Unlike the owner of batch jobs it has no confirmed authority: each
//! answer waits until its records are kept.

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
use super::shard::{ShardClock, ShardCommand, encode_all, last_answer, refused};
use crate::context::Context;
use crate::gateway::Dispatcher;
use crate::http::client::HttpClient;
use crate::store::log_writer::{AppendMode, AppendOutcome, LogWriter, RecordFormat};
use crate::store::shard_log::{ShardLog, ShardLogError};

/// The prefix of this part's log lines.
const LOG_PREFIX: &str = "rollout";
/// A connection to the scorer that is not made within this time is given up. Chosen, not measured: some round
/// trips of a busy machine; longer, and an attempt loses its time to a scorer that is gone.
const SCORER_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How an attempt's task ended.
struct AttemptEnd {
    attempt: AttemptId,
    outcome: AttemptOutcome,
}

/// The owner of a job, with its log, its running attempts and those who wait for an answer.
pub(super) struct JobOwner {
    context: Context,
    runner: AttemptRunner,
    controller: JobController,
    clock: ShardClock,
    log: LogWriter<Vec<u8>>,
    attempts: JoinSet<AttemptEnd>,
    /// How to stop each running attempt.
    running: HashMap<AttemptId, AbortHandle>,
    /// Pulls that wait for their answer, by ticket.
    pulls: HashMap<u64, ShardCommand>,
    /// Submissions that wait until the specification is kept by a majority.
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
        let clock_of_writes = context.boot_clock.clone();
        Self {
            context,
            runner,
            controller,
            clock,
            log: LogWriter::start(
                log,
                RecordFormat::bytes(LOG_PREFIX),
                AppendMode::Single,
                0,
                clock_of_writes,
            ),
            attempts: JoinSet::new(),
            running: HashMap::new(),
            pulls: HashMap::new(),
            submissions: Vec::new(),
            last_ticket: 0,
            failure: None,
        }
    }

    /// Owns the job until stopped or until its log fails. What is then unanswered is refused, so that it is
    /// repeated at the next owner.
    pub(super) async fn run(mut self, commands: &mut mpsc::Receiver<ShardCommand>, stop: &CancellationToken) {
        self.act();
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
            // This owner replaces no store.
            AppendOutcome::Replaced(_) => {}
            AppendOutcome::Failed(error) => self.failure = Some(error),
        }
    }

    fn handle_attempt(&mut self, ended: Result<AttemptEnd, tokio::task::JoinError>) {
        match ended {
            Ok(AttemptEnd { attempt, outcome }) => {
                self.running.remove(&attempt);
                self.handle(Event::AttemptEnded { attempt, outcome });
            }
            // Cancelled on the controller's word; its slot is in the queue again.
            Err(error) if error.is_cancelled() => {}
            // The controller's timeout brings the slot back.
            Err(error) => log::error!(target: "rollout", "An attempt's task failed: {error}."),
        }
    }

    fn handle(&mut self, event: Event) {
        self.controller.handle(event, self.clock.now());
        self.act();
    }

    fn act(&mut self) {
        while let Some(action) = self.controller.poll_action() {
            match action {
                Action::Start(start) => self.start_attempt(start),
                Action::Cancel(attempt) => self.cancel_attempt(&attempt),
                Action::Append(records) => self.append(&records),
                Action::Compact(snapshot) => self.log.compact(snapshot),
                Action::Answer { ticket, answer } => self.answer_pull(ticket, answer),
                Action::Decide(decision) => self.context.decisions.record(decision),
            }
        }
    }

    fn start_attempt(&mut self, start: AttemptStart) {
        let runner = self.runner.clone();
        let attempt = start.attempt.clone();
        let handle = self.attempts.spawn(async move {
            let outcome = runner.run(&start).await;
            AttemptEnd { attempt: start.attempt, outcome }
        });
        self.running.insert(attempt, handle);
    }

    fn cancel_attempt(&mut self, attempt: &AttemptId) {
        if let Some(handle) = self.running.remove(attempt) {
            handle.abort();
        }
    }

    fn append(&mut self, records: &[JobRecord]) {
        // Nothing that rests on records that can't be encoded is ever revealed.
        if let Some(encoded) = encode_all(LOG_PREFIX, records, JobRecord::encode) {
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
        let waiting = self.pulls.drain().map(|(_, command)| command).chain(self.submissions.drain(..));
        let response = last_answer(LOG_PREFIX, self.failure.as_ref(), commands);
        for command in waiting {
            command.answer(response.clone());
        }
    }
}

/// The answer to a request about a job that was never submitted.
pub(super) fn unknown_job(job: &JobId) -> CoordinatorResponse {
    refused("unknown_job", format!("job {job} was never submitted"), "submit it, or mend its name")
}
