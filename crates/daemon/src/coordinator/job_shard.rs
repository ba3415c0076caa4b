//! Takes over the shard of one rollout job.
//!
//! Recovers the job from the shard's log, or waits for its submission if the log is empty, then runs a
//! [`JobOwner`]. The shard's log provides the epoch of the ownership.

use lichenpulley_core::identity::{Epoch, JobId, ShardId};
use lichenpulley_core::rollout::{ControllerConfig, JobController};
use lichenpulley_protocol::internal::CoordinatorRequest;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::job_owner::{JobOwner, unknown_job};
use super::shard::{ShardClock, ShardCommand, refuse_queued, refused};
use crate::context::Context;
use crate::gateway::Dispatcher;
use crate::store::shard_log::{RecoveredLog, ShardLog};

/// The shard of one job on this node.
pub(super) struct JobShard {
    pub(super) context: Context,
    pub(super) dispatcher: Dispatcher,
    pub(super) shard: ShardId,
    pub(super) job: JobId,
    pub(super) commands: mpsc::Receiver<ShardCommand>,
    pub(super) stop: CancellationToken,
}

/// A job that was recovered from the log, or created by a submission that is still to be answered.
struct LoadedJob {
    controller: JobController,
    submission: Option<ShardCommand>,
}

impl JobShard {
    /// Takes over the shard and owns it until it is stopped or superseded, or its log fails.
    pub(super) async fn run(mut self) {
        let taken_over = tokio::select! {
            taken_over = ShardLog::take_over(&self.context, &self.shard) => taken_over,
            () = self.stop.cancelled() => return,
        };
        let (log, recovered) = match taken_over {
            Ok(taken_over) => taken_over,
            Err(error) => {
                log::warn!(target: "rollout", "Job {}: the takeover failed: {error}.", self.job);
                return refuse_queued(&mut self.commands, &error);
            }
        };
        let clock = ShardClock::new();
        let epoch = log.epoch();
        let Some(loaded) = self.load_job(&recovered, epoch, clock).await else { return };
        log::info!(target: "rollout", "Job {}: this node owns the shard under epoch {epoch}.", self.job);
        let mut owner = JobOwner::new(self.context.clone(), self.dispatcher, loaded.controller, log, clock);
        if let Some(submission) = loaded.submission {
            owner.handle_command(submission);
        }
        owner.run(&mut self.commands, &self.stop).await;
        log::info!(target: "rollout", "Job {}: this node no longer owns the shard.", self.job);
    }

    async fn load_job(
        &mut self,
        recovered: &RecoveredLog,
        epoch: Epoch,
        clock: ShardClock,
    ) -> Option<LoadedJob> {
        let config = ControllerConfig::default();
        let snapshot = recovered.snapshot.as_deref();
        match JobController::recover(snapshot, &recovered.records, epoch, config, clock.now()) {
            Ok(Some(controller)) => Some(LoadedJob { controller, submission: None }),
            Ok(None) => self.await_submission(epoch, config, clock).await,
            Err(error) => {
                log::error!(target: "rollout", "Job {}: the log can't be recovered: {error}.", self.job);
                self.refuse_all("log_unusable", &error.to_string());
                None
            }
        }
    }

    /// Waits for the submission that creates the job, used if the log is empty. The task keeps the epoch
    /// while it waits, so that the shard is not taken over again for each request.
    async fn await_submission(
        &mut self,
        epoch: Epoch,
        config: ControllerConfig,
        clock: ShardClock,
    ) -> Option<LoadedJob> {
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
            return Some(LoadedJob { controller, submission: Some(command) });
        }
    }

    fn refuse_all(&mut self, kind: &str, message: &str) {
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            command.answer(refused(kind, message, "submit the job again under another name"));
        }
    }
}
