//! Refuses jobs for which there is no space, and jobs that can't start in time because of earlier jobs of the same
//! trainer.
//!
//! Load pattern: a trainer submits jobs faster than its share of the slots completes them. Each job would be late
//! because of the one before it. A trainer that has one job at a time is never refused, however large its job is.

use super::Controller;
use super::backlog::{OpenJob, Pool, priority, trainer_of};
use crate::batch::job::BatchJob;
use crate::batch::record::Record;
use crate::decision::{Component, Decision};
use crate::time::{Timestamp, whole_millis};

impl Controller {
    /// Refuses a job of so many bytes if it exceeds the owner's memory, or if the log could then no longer be compacted
    /// within the stores' room, and returns whether it did.
    pub(super) fn refuse_for_space(&mut self, job: &BatchJob, bytes: usize) -> bool {
        let needed = self.held_bytes + bytes;
        let has_memory = self.bookkeeping_bytes() + job.bookkeeping_bytes() <= self.config.bookkeeping_bytes;
        let reason = if needed > self.config.capacity_bytes || !has_memory {
            "no_room"
        } else if self.state_limit.is_some_and(|limit| needed > limit) {
            "no_store_room"
        } else {
            return false;
        };
        let decision = Decision::new(Component::Rollout, "batch_refused", reason, &job.id);
        self.record_decision(decision.with("held_bytes", self.held_bytes));
        self.dispatch.refused_jobs += 1;
        true
    }

    /// Returns the memory that the items of all jobs take beside their bytes.
    fn bookkeeping_bytes(&self) -> usize {
        let kept = self.ledger.jobs().values().map(|state| state.job.bookkeeping_bytes());
        let pending = self.pending_appends.iter().flatten().map(|record| match record {
            Record::Accepted(job) => job.bookkeeping_bytes(),
            _ => 0,
        });
        kept.chain(pending).sum()
    }

    /// Refuses a job if the work accepted before it takes its trainer's share of the slots until it is due, and returns
    /// whether it did.
    pub(super) fn refuse_for_time(&mut self, now: Timestamp, job: &BatchJob) -> bool {
        let Some(route) = self.routes.as_deref().and_then(|routes| routes.by_name(&job.route)) else {
            return false;
        };
        let due_ms = whole_millis(route.due);
        let Some(wait_ms) = self.wait_for_own_jobs_ms(now, job).filter(|wait_ms| *wait_ms > due_ms) else {
            return false;
        };
        let decision = Decision::new(Component::Rollout, "batch_refused", "no_time", &job.id);
        self.record_decision(decision.with("wait_ms", wait_ms).with("due_ms", due_ms));
        self.dispatch.refused_jobs += 1;
        true
    }

    /// Returns how long the groups of the trainer's earlier jobs that can be in time take its share of the slots, in
    /// milliseconds. Late groups do not count, because they never delay groups that can be in time.
    fn wait_for_own_jobs_ms(&self, now: Timestamp, job: &BatchJob) -> Option<u64> {
        let routes = self.routes.as_deref()?;
        let route = routes.by_name(&job.route)?;
        let (priority, trainer) = (priority(routes, route, job), trainer_of(job));
        let mut pools = self.pools_with_levels(now);
        pools.retain(|pool| pool.jobs.iter().any(|job| job.priority == priority && job.trainer == trainer));
        if pools.is_empty() {
            return None;
        }
        self.add_items(now, &mut pools);
        let pool: &Pool<'_> = pools.first().filter(|pool| pool.backlog().is_short())?;
        let own = pool.jobs.iter().filter(|job| job.priority == priority && job.trainer == trainer);
        let work_s: f64 = own.map(OpenJob::in_time_s).sum();
        let share = pool.trainer_shares().get(&(priority, &trainer)).copied()?;
        let wait_s = work_s / (share * f64::from(pool.slots));
        Some((wait_s * 1_000.0) as u64)
    }
}
