//! Takes over the shard of one job and owns it.
//!
//! Owns the way from the recovered log to a job: a log with records is resumed, an empty one waits for the submission. What
//! the owner then does is the job owner's. Relies on the shard's log for the epoch under which it owns.

use lichenpulley_core::identity::{Epoch, JobId, ShardId};
use lichenpulley_core::rollout::{ControllerConfig, JobController};
use lichenpulley_protocol::internal::CoordinatorRequest;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::job_owner::{JobOwner, unknown_job};
use super::shard::{ShardClock, ShardCommand, refuse_waiting, refused};
use crate::context::Context;
use crate::gateway::Dispatcher;
use crate::store::shard_log::{RecoveredLog, ShardLog};

/// One job's shard on this node.
pub(super) struct JobShard {
    pub(super) context: Context,
    pub(super) dispatcher: Dispatcher,
    pub(super) shard: ShardId,
    pub(super) job: JobId,
    pub(super) commands: mpsc::Receiver<ShardCommand>,
    pub(super) stop: CancellationToken,
}

/// A job that this node can own, and the submission that made it.
struct FoundJob {
    controller: JobController,
    submission: Option<ShardCommand>,
}

impl JobShard {
    /// Takes the shard over and owns it until stopped, superseded or without a usable log.
    pub(super) async fn run(mut self) {
        let taken_over = tokio::select! {
            taken_over = ShardLog::take_over(&self.context, &self.shard) => taken_over,
            () = self.stop.cancelled() => return,
        };
        let (log, recovered) = match taken_over {
            Ok(taken_over) => taken_over,
            Err(error) => {
                log::warn!(target: "rollout", "Job {} is not owned here: {error}.", self.job);
                return refuse_waiting(&mut self.commands, &error);
            }
        };
        let clock = ShardClock::new();
        let epoch = log.epoch();
        let Some(found) = self.find_job(&recovered, epoch, clock).await else { return };
        log::info!(target: "rollout", "Job {} is owned here under epoch {epoch}.", self.job);
        let mut owner = JobOwner::new(self.context.clone(), self.dispatcher, found.controller, log, clock);
        if let Some(submission) = found.submission {
            owner.handle_command(submission);
        }
        owner.run(&mut self.commands, &self.stop).await;
        log::info!(target: "rollout", "Job {} is no longer owned here.", self.job);
    }

    async fn find_job(
        &mut self,
        recovered: &RecoveredLog,
        epoch: Epoch,
        clock: ShardClock,
    ) -> Option<FoundJob> {
        let config = ControllerConfig::default();
        let snapshot = recovered.snapshot.as_deref();
        match JobController::recover(snapshot, &recovered.records, epoch, config, clock.now()) {
            Ok(Some(controller)) => Some(FoundJob { controller, submission: None }),
            Ok(None) => self.first_submission(epoch, config, clock).await,
            Err(error) => {
                log::error!(target: "rollout", "Job {}: its log can't be used: {error}.", self.job);
                self.refuse_all("log_unusable", &error.to_string());
                None
            }
        }
    }

    /// The log is empty: only a submission can make the job. Until one comes the epoch is held, so that the
    /// shard is not taken over again and again.
    async fn first_submission(
        &mut self,
        epoch: Epoch,
        config: ControllerConfig,
        clock: ShardClock,
    ) -> Option<FoundJob> {
        loop {
            let command = tokio::select! {
                command = self.commands.recv() => command?,
                () = self.stop.cancelled() => return None,
            };
            let CoordinatorRequest::SubmitJob(specification) = &command.request else {
                command.answer(unknown_job(&self.job));
                continue;
            };
            if let Err(error) = specification.validate() {
                command.answer(refused("bad_specification", error, "mend the specification"));
                continue;
            }
            let controller = JobController::create(specification.clone(), epoch, config, clock.now());
            return Some(FoundJob { controller, submission: Some(command) });
        }
    }

    fn refuse_all(&mut self, kind: &str, message: &str) {
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            command.answer(refused(kind, message, "submit the job again under another name"));
        }
    }
}
