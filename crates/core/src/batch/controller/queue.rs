//! Reports the waiting work to operators, and counts what each trainer was given.

use std::collections::BTreeMap;

use super::Controller;
use super::backlog::{OpenJob, Pool, trainer_of};
use super::jobs::expected_tokens;
use crate::batch::dispatch_order::GroupState;
use crate::batch::fair_share::Trainer;
use crate::batch::queue_report::{QueueReport, ServiceQueue, TrainerQueue};
use crate::identity::BatchId;
use crate::time::Timestamp;

/// Work, in slot-seconds, below which a past grant is forgotten.
const MIN_GRANT_S: f64 = 0.001;

impl Controller {
    /// Returns a snapshot of the waiting work. Services that share routes are reported as one, under the first name.
    pub fn queue_report(&self, now: Timestamp) -> QueueReport {
        let mut pools = self.pools_with_jobs(now);
        self.add_items(now, &mut pools);
        let services = pools.iter().map(|pool| self.service_queue(now, pool)).collect();
        QueueReport { services, refused_jobs: self.dispatch.refused_jobs }
    }

    fn service_queue(&self, now: Timestamp, pool: &Pool<'_>) -> ServiceQueue {
        let backlog = pool.backlog();
        let of_pool =
            self.replicas.values().filter(|state| pool.services.contains(state.record.service.as_str()));
        let mut trainers: BTreeMap<(u32, &Trainer), TrainerQueue> = BTreeMap::new();
        for job in &pool.jobs {
            let queue = trainers.entry((job.priority, &job.trainer)).or_insert_with(|| TrainerQueue {
                priority: job.priority,
                tenant: job.trainer.tenant.clone(),
                route: job.trainer.route.clone(),
                model: job.trainer.model.clone(),
                share_percent: self.share_percent(now, pool, &job.trainer),
                ..TrainerQueue::default()
            });
            self.add_job(now, queue, job);
        }
        let drain_s = backlog.drain_s().filter(|_| pool.is_measured());
        ServiceQueue {
            service: pool.name().to_owned(),
            slots: pool.slots,
            used_slots: of_pool.map(|state| state.running).sum(),
            drain_ms: drain_s.map(|seconds| (seconds * 1_000.0) as u64),
            is_short: backlog.is_short(),
            trainers: trainers.into_values().collect(),
        }
    }

    fn add_job(&self, now: Timestamp, queue: &mut TrainerQueue, job: &OpenJob<'_>) {
        let mut waiting = 0;
        for (group, state) in job.groups_with_states() {
            waiting += u32::try_from(group.waiting.len()).unwrap_or(u32::MAX);
            let count = match state {
                GroupState::InTime => &mut queue.groups_in_time,
                GroupState::Late => &mut queue.groups_late,
                GroupState::Surplus => &mut queue.groups_surplus,
            };
            *count += u32::from(group.is_group);
        }
        queue.jobs += 1;
        queue.running += job.running;
        queue.waiting += waiting;
        if waiting > 0 {
            let age_ms = self.clock_ms(now).saturating_sub(job.state.accepted_at_ms);
            queue.oldest_waiting_ms = queue.oldest_waiting_ms.max(age_ms);
        }
    }

    /// Returns the share of a trainer in the work that was recently started in a pool.
    fn share_percent(&self, now: Timestamp, pool: &Pool<'_>, trainer: &Trainer) -> u32 {
        let grants = || pool.services.iter().filter_map(|service| self.dispatch.grants.get(*service));
        let total: f64 = grants().flat_map(BTreeMap::values).map(|grant| grant.value(now)).sum();
        let own: f64 = grants().filter_map(|grants| grants.get(trainer)).map(|grant| grant.value(now)).sum();
        if total > 0.0 { (own / total * 100.0).round() as u32 } else { 0 }
    }

    /// Counts the estimated work of a started item as given to its trainer.
    pub(super) fn count_grant(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let Some((state, route)) = self.ledger.job(batch).zip(self.route(batch)) else { return };
        let services = route.services.iter().map(|part| part.service.as_str());
        let Some(per_token) = self.dispatch.estimates.seconds_per_token(services) else { return };
        let Some(request) = state.job.items.get(item as usize) else { return };
        let work_s = per_token * expected_tokens(request) as f64;
        let Some(service) = route.services.first().map(|part| part.service.clone()) else { return };
        let trainer = trainer_of(&state.job);
        let grants = self.dispatch.grants.entry(service).or_default();
        if !grants.contains_key(&trainer) {
            grants.retain(|_, grant| grant.value(now) > MIN_GRANT_S);
        }
        grants.entry(trainer).or_default().add(work_s, now);
    }
}
