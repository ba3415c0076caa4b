//! Time-driven work: stalled and slow runs, expired items and jobs, and the log's heartbeat.

use std::time::Duration;

use super::{Controller, RunId};
use crate::batch::ledger::JobState;
use crate::batch::record::Record;
use crate::identity::BatchId;
use crate::time::{Timestamp, whole_millis};

/// Margin after an item's maximum queue time, so that an item is never given up before its caller expects it.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(500);

impl Controller {
    /// Does the work that is due. Must be called at least every
    /// [`super::ControllerConfig::heartbeat_interval`].
    pub fn tick(&mut self, now: Timestamp) {
        self.stop_stalled(now);
        self.run_deferred_pass(now);
        self.move_slow(now);
        self.give_up_expired(now);
        self.drop_expired(now);
        self.report_waiting(now);
        if self.pending_appends.is_empty()
            && now.saturating_since(self.last_append_at) >= self.config.heartbeat_interval
        {
            let clock = Record::Clock(self.clock_ms(now));
            self.append(now, vec![clock]);
        }
        self.mark_items_and_loads_due(now);
    }

    fn give_up_expired(&mut self, now: Timestamp) {
        let clock_ms = self.clock_ms(now);
        let is_expired = |batch: &&BatchId| {
            let (Some(job), Some(route)) = (self.ledger.job(batch), self.route(batch)) else { return false };
            let age = Duration::from_millis(clock_ms.saturating_sub(job.accepted_at_ms));
            age > route.max_queue + GIVE_UP_MARGIN
        };
        let expired_jobs: Vec<&BatchId> = self.tallies.keys().filter(is_expired).collect();
        let mut expired = Vec::new();
        for batch in expired_jobs {
            let Some(job) = self.ledger.job(batch) else { continue };
            let positions = (0..).take(job.items.len()).filter(|position| job.is_open(*position));
            expired.extend(positions.map(|position| (batch.clone(), position)));
        }
        for (batch, item) in expired {
            self.give_up(now, &batch, item, "too_old");
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        let clock_ms = self.clock_ms(now);
        let retention_ms = whole_millis(self.config.retention);
        let is_done = |job: &JobState| job.is_ended || job.results.len() == job.job.items.len();
        let expired = self
            .ledger
            .jobs()
            .values()
            .filter(|job| is_done(job) && clock_ms.saturating_sub(job.accepted_at_ms) > retention_ms);
        let expired: Vec<BatchId> = expired.map(|job| job.job.id.clone()).collect();
        for batch in expired {
            self.remove_items(now, &batch);
            self.append(now, vec![Record::Dropped(batch)]);
        }
    }

    pub(super) fn remove_items(&mut self, now: Timestamp, batch: &BatchId) {
        let runs: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| &run.batch == batch).map(|(id, _)| *id).collect();
        runs.into_iter().for_each(|run| self.stop(now, run));
        self.stop_scores(now, |(owner, _)| owner == batch);
        self.items.retain(|(owner, _), _| owner != batch);
        self.tallies.remove(batch);
    }
}
