//! Starts items and loads after all pending events are processed.

use std::collections::{HashMap, HashSet};

use super::jobs::expected_tokens;
use super::{Action, Controller, DueWork, ItemStage, LiveItem, Run, RunId, RunStart};
use crate::batch::ledger::JobState;
use crate::batch::schedule::{self, ReplicaState, Requirements};
use crate::decision::{Component, Decision};
use crate::identity::{BatchId, TenantName};
use crate::ingress::places::AllowedRegions;
use crate::ingress::replicas::ReplicaRecord;
use crate::ingress::routes::Route;
use crate::time::{Timestamp, whole_millis};

impl Controller {
    /// Schedules a pass over the waiting items.
    pub(super) fn mark_items_due(&mut self, now: Timestamp) {
        self.due.now = now;
        self.due.items = true;
    }

    /// Schedules a pass over the waiting items and over model loads.
    pub(super) fn mark_items_and_loads_due(&mut self, now: Timestamp) {
        self.mark_items_due(now);
        self.due.loads = true;
    }

    pub(super) fn run_due_work(&mut self) {
        let DueWork { now, items, loads } = std::mem::take(&mut self.due);
        let is_deferred = items && self.dispatch.defers_pass(now);
        if is_deferred {
            self.mark_items_due(now);
        }
        let items = items && !is_deferred && !self.awaits_ends;
        if items {
            self.remove_listed_items();
        }
        if !self.is_confirmed {
            return;
        }
        if loads && self.config.regions.is_all() {
            self.start_loads(now);
        }
        if items {
            self.reuse_if_due(now);
            self.start_items(now);
            self.start_scores(now);
        }
    }

    /// Does a pass that was deferred, so that no run moves to a slot for which an item waits.
    pub(super) fn run_deferred_pass(&mut self, now: Timestamp) {
        if self.dispatch.end_deferral(now) {
            self.mark_items_due(now);
            self.run_due_work();
        }
    }

    /// Drops the in-memory state of items that are listed.
    fn remove_listed_items(&mut self) {
        let ledger = &self.ledger;
        self.items.retain(|(batch, item), live| {
            let is_listed = || ledger.job(batch).is_some_and(|job| !job.is_open(*item));
            !(live.stage == ItemStage::Listing && is_listed())
        });
    }

    fn start_items(&mut self, now: Timestamp) {
        if !self.replicas.values().any(ReplicaState::has_free_slot) {
            self.dispatch.clear_idle_services();
            return;
        }
        if !self.items.values().any(LiveItem::is_waiting) {
            return;
        }
        let planned = self.start_items_of_short_pools(now);
        if planned.len() == self.tallies.len() {
            return;
        }
        let mut full_classes = HashSet::new();
        for WaitingItem { batch, item, class } in self.waiting(now, &planned) {
            if full_classes.contains(&class) || self.start_item(now, &batch, item) {
                continue;
            }
            if !self.has_capacity_for_class(now, &batch, item) {
                full_classes.insert(class);
            }
        }
    }

    /// Returns whether a replica has capacity for any item of the same class.
    pub(super) fn has_capacity_for_class(&self, now: Timestamp, batch: &BatchId, item: u32) -> bool {
        let requirements = self.requirements(batch, item).map(Requirements::minimal);
        requirements
            .is_some_and(|requirements| schedule::has_matching_replica(&self.replicas, &requirements, now))
    }

    /// Returns the waiting items that a replica may have capacity for, most urgent first, except those of jobs that
    /// are served in the order for a shortage.
    ///
    /// What the items of one job and model share is computed once for all of them: there may be a thousand
    /// waiting items, most of which need replicas without a free slot.
    fn waiting(&self, now: Timestamp, planned: &HashSet<BatchId>) -> Vec<WaitingItem> {
        let mut classes = self.open_classes(now);
        classes.retain(|batch, _| !planned.contains(*batch));
        let mut waiting = Vec::new();
        for ((batch, item), live) in &self.items {
            if !live.is_waiting() {
                continue;
            }
            let Some(job_classes) = classes.get(batch) else { continue };
            let Some(request) = job_classes.job.job.items.get(*item as usize) else { continue };
            let Some(class) = job_classes.class(request.model.as_deref()) else { continue };
            let tally = self.tallies.get(batch);
            let group = tally.and_then(|tally| tally.group(*item).map(|group| (tally, group)));
            let is_required = group.is_some_and(|(tally, group)| tally.is_required(group));
            let group_left = group.map(|(tally, group)| tally.remaining(group));
            let expected = expected_tokens(request).saturating_sub(live.events.len() as u64);
            let rank = (
                job_classes.is_late,
                job_classes.job.accepted_at_ms,
                !is_required,
                u64::MAX - expected,
                group_left.unwrap_or(0),
            );
            waiting.push((rank, batch, *item, class));
        }
        waiting.sort_unstable();
        let waiting = waiting.into_iter();
        waiting.map(|(_, batch, item, class)| WaitingItem { batch: batch.clone(), item, class }).collect()
    }

    /// Returns the open jobs that have at least one model with capacity on a replica.
    pub(super) fn open_classes(&self, now: Timestamp) -> HashMap<&BatchId, JobClasses<'_>> {
        let clock_ms = self.clock_ms(now);
        let mut next_class = 0;
        let mut classes = HashMap::new();
        for batch in self.tallies.keys() {
            let (Some(job), Some(route)) = (self.ledger.job(batch), self.route(batch)) else { continue };
            let mut models = models_of(job);
            models.retain(|model| {
                let requirements = self.minimal_requirements(route, job, *model);
                schedule::has_matching_replica(&self.replicas, &requirements, now)
            });
            let due_ms = whole_millis(route.due);
            let is_late = clock_ms.saturating_sub(job.accepted_at_ms) > due_ms;
            let first_class = next_class;
            next_class += models.len();
            if !models.is_empty() {
                classes.insert(batch, JobClasses { job, is_late, models, first_class });
            }
        }
        classes
    }

    /// Returns what an item requires of a replica, or `None` when its route no longer exists.
    pub(super) fn requirements(&self, batch: &BatchId, item: u32) -> Option<Requirements<'_>> {
        let job = self.ledger.job(batch)?;
        let routes = self.routes.as_ref()?;
        let route = routes.by_name(&job.job.route)?;
        let request = job.job.items.get(item as usize)?;
        let live = self.items.get(&(batch.clone(), item))?;
        let first_event = live.events.first().filter(|_| route.needs_single_version);
        Some(Requirements {
            exact_version: first_event.map(|event| event.version),
            tokens: expected_tokens(request),
            avoid: live.avoid.as_deref(),
            broke_at: &live.broke_at,
            ..self.minimal_requirements(route, job, request.model.as_deref())
        })
    }

    /// Returns the minimum that any item of this job and model requires of a replica.
    fn minimal_requirements<'a>(
        &'a self,
        route: &'a Route,
        job: &JobState,
        model: Option<&'a str>,
    ) -> Requirements<'a> {
        Requirements {
            services: &route.services,
            model,
            min_version: job.job.min_version,
            exact_version: None,
            tokens: 0,
            memory: self.routes.as_deref().map(|routes| &routes.services),
            avoid: None,
            broke_at: &[],
            gate: &self.gate,
            regions: self.allowed_regions(route, job.job.tenant.as_ref()),
            zones: &self.config.zones,
        }
    }

    /// Returns the regions in which requests of a route and tenant may run, within the shard's own regions.
    fn allowed_regions(&self, route: &Route, tenant: Option<&TenantName>) -> AllowedRegions {
        let Some(routes) = &self.routes else { return self.config.regions.clone() };
        routes.allowed_regions(route, tenant).intersect(&self.config.regions)
    }

    /// Starts an item if a replica has capacity for it, and returns whether it did.
    pub(super) fn start_item(&mut self, now: Timestamp, batch: &BatchId, item: u32) -> bool {
        let Some(requirements) = self.requirements(batch, item) else { return false };
        let Some(job) = self.ledger.job(batch) else { return false };
        let Some(request) = self.item(batch, item) else { return false };
        let live = self.items.get(&(batch.clone(), item)).filter(|live| live.not_before <= now);
        let Some(live) = live else { return false };
        let tokens = requirements.tokens;
        let Some(Placement { replica: chosen, restarts_text }) = self.choose(requirements, now) else {
            return false;
        };
        let last_event = live.events.last().map(|event| event.number).filter(|_| !restarts_text);
        let request = request.clone();
        let (host, tenant) = (job.job.host.clone(), job.job.tenant.clone());
        let Some(state) = self.replicas.get_mut(&chosen) else { return false };
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return false };
        state.running += 1;
        state.tokens += tokens;
        let replica = ReplicaRecord::clone(&state.record);
        self.gate.record_sent(&replica, now);
        self.last_run += 1;
        let run = RunId(self.last_run);
        live.run = Some(run);
        live.written_at = now;
        live.has_earlier_events |= live.ran.is_zero() && !live.events.is_empty();
        if restarts_text {
            live.restart();
        }
        let started =
            Run { batch: batch.clone(), item, replica: chosen, tokens, started_at: now, last_event_at: None };
        self.runs.insert(run, started);
        self.count_grant(now, batch, item);
        let (item, urgency) = (request, self.urgency(batch));
        let start = RunStart { run, replica, host, tenant, item, last_event, urgency };
        self.record_decision(start_decision(batch, &start));
        self.actions.push_back(Action::Start(Box::new(start)));
        true
    }

    /// Chooses the replica that should finish an item first. If no replica has the model version of the
    /// item's events, chooses one with another version and restarts the text.
    fn choose(&self, requirements: Requirements<'_>, now: Timestamp) -> Option<Placement> {
        if let Some(replica) = schedule::choose(&self.replicas, &requirements, &self.paces, now) {
            return Some(Placement { replica, restarts_text: false });
        }
        requirements.exact_version?;
        let requirements = Requirements { exact_version: None, ..requirements };
        let replica = schedule::choose(&self.replicas, &requirements, &self.paces, now)?;
        Some(Placement { replica, restarts_text: true })
    }
}

/// The replica chosen for an item.
struct Placement {
    /// Id of the replica.
    replica: String,
    /// Whether the events received so far are discarded.
    restarts_text: bool,
}

fn start_decision(batch: &BatchId, start: &RunStart) -> Decision {
    let after_event = start.last_event.map_or_else(|| "none".to_owned(), |number| number.to_string());
    Decision::new(Component::Rollout, "run_started", "chosen", &start.item.id)
        .with("batch", batch)
        .with("replica", &start.replica.id)
        .with("run", start.run.0)
        .with("after_event", after_event)
}

/// An item that waits to be started.
struct WaitingItem {
    batch: BatchId,
    item: u32,
    /// Index of the item's class: the items of one job and model.
    class: usize,
}

/// What the waiting items of a job have in common.
pub(super) struct JobClasses<'a> {
    job: &'a JobState,
    is_late: bool,
    /// The job's models for which a replica has capacity; each is one class.
    models: Vec<Option<&'a str>>,
    /// Index of the first class; the others follow.
    first_class: usize,
}

impl JobClasses<'_> {
    pub(super) fn class(&self, model: Option<&str>) -> Option<usize> {
        let position = self.models.iter().position(|open| *open == model)?;
        Some(self.first_class + position)
    }
}

/// Returns the distinct models that a job's items name.
fn models_of(job: &JobState) -> Vec<Option<&str>> {
    let mut models = Vec::new();
    for item in &job.job.items {
        let model = item.model.as_deref();
        if !models.contains(&model) {
            models.push(model);
        }
    }
    models
}
