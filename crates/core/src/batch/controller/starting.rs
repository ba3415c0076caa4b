//! Which items are started and which versions are loaded, once all events at hand are taken in.

use super::{Action, Controller, DueWork, ItemStage, Run, RunId, RunStart, expected_tokens};
use crate::batch::record::Record;
use crate::batch::schedule::{self, Loading, Need, ReplicaState};
use crate::batch::weights::Load;
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::time::Timestamp;

/// Urgency of items where nothing speaks for another.
const DEFAULT_URGENCY: u8 = 5;

impl Controller {
    /// Items may be started at the next look.
    pub(super) fn work(&mut self, now: Timestamp) {
        self.due.now = now;
        self.due.items = true;
    }

    /// Items may be started and versions loaded at the next look.
    pub(super) fn work_and_load(&mut self, now: Timestamp) {
        self.work(now);
        self.due.loads = true;
    }

    pub(super) fn do_due_work(&mut self) {
        let DueWork { now, items, loads } = std::mem::take(&mut self.due);
        if items {
            self.forget_listed();
        }
        if !self.is_confirmed {
            return;
        }
        if loads {
            self.start_loads(now);
        }
        if items {
            self.start_items(now);
            self.start_scores(now);
        }
    }

    /// Items that stand in their job's list need nothing more.
    fn forget_listed(&mut self) {
        let ledger = &self.ledger;
        self.items.retain(|(batch, item), live| {
            let is_listed = || ledger.job(batch).is_some_and(|job| !job.is_open(*item));
            !(live.stage == ItemStage::Listing && is_listed())
        });
    }

    fn start_loads(&mut self, now: Timestamp) {
        let Some(routes) = self.routes.clone() else { return };
        let clock_ms = self.clock_ms(now);
        for service in routes.services.keys() {
            let (ledger, lease) = (&self.ledger, &self.lease);
            let may_order = |replica: &str| lease.allows(ledger.last_order(replica), clock_ms);
            for load in self.loads.next(service, &self.replicas, may_order, now) {
                self.begin_load(service, &load);
                let decision = Decision::new(Component::Weights, "load_ordered", "behind", &load.replica);
                self.decide(decision.with("model", &load.model).with("version", load.version));
                self.order(now, clock_ms, load);
            }
        }
    }

    /// Invariant: an order leaves only after a majority of stores keeps that it was given.
    fn order(&mut self, now: Timestamp, clock_ms: u64, load: Load) {
        let (replica, holder) = (load.replica.clone(), self.lease.holder.clone());
        self.ordering.insert(replica.clone(), load);
        self.append(now, vec![Record::Ordered { replica, holder, at_ms: clock_ms }]);
    }

    fn begin_load(&mut self, service: &str, load: &Load) {
        let is_loading = |state: &&ReplicaState| state.record.service == service && state.loading.is_some();
        let beside = self.replicas.values().filter(is_loading).count() + 1;
        if let Some(state) = self.replicas.get_mut(&load.replica) {
            let (model, version) = (load.model.clone(), load.version);
            state.loading = Some(Loading { model, version, beside });
        }
    }

    fn start_items(&mut self, now: Timestamp) {
        if !self.replicas.values().any(ReplicaState::has_free_slot) {
            return;
        }
        for (batch, item) in self.waiting(now) {
            self.start_item(now, &batch, item);
        }
    }

    /// Waiting items, the most pressing first.
    fn waiting(&self, now: Timestamp) -> Vec<(BatchId, u32)> {
        let clock_ms = self.clock_ms(now);
        let mut waiting = Vec::new();
        for ((batch, item), live) in &self.items {
            if live.run.is_some() || live.stage != ItemStage::Generating {
                continue;
            }
            let Some(job) = self.ledger.job(batch) else { continue };
            let Some(request) = job.job.items.get(*item as usize) else { continue };
            let due_ms = self.route(batch).map_or(0, |route| route.due.as_millis() as u64);
            let is_late = clock_ms.saturating_sub(job.accepted_at_ms) > due_ms;
            let tally = self.tallies.get(batch);
            let group_left = tally.and_then(|tally| tally.group(*item).map(|group| tally.left(group)));
            let expected = expected_tokens(request).saturating_sub(live.events.len() as u64);
            let rank = (is_late, job.accepted_at_ms, u64::MAX - expected, group_left.unwrap_or(0));
            waiting.push((rank, batch.clone(), *item));
        }
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, batch, item)| (batch, item)).collect()
    }

    /// What an item needs of a replica; none where its route is gone.
    pub(super) fn need(&self, batch: &BatchId, item: u32) -> Option<Need<'_>> {
        let job = self.ledger.job(batch)?;
        let routes = self.routes.as_ref()?;
        let route = routes.by_name(&job.job.route)?;
        let request = job.job.items.get(item as usize)?;
        let live = self.items.get(&(batch.clone(), item))?;
        let first_service = route.services.first().and_then(|part| routes.services.get(&part.service));
        let first_event = live.events.first().filter(|_| route.needs_single_version);
        Some(Need {
            services: &route.services,
            model: request.model.as_deref(),
            min_version: job.job.min_version,
            exact_version: first_event.map(|event| event.version),
            tokens: expected_tokens(request),
            memory_tokens: first_service.and_then(|service| service.memory_tokens),
            avoid: live.avoid.as_deref(),
        })
    }

    pub(super) fn start_item(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let Some(mut need) = self.need(batch, item) else { return };
        let Some(job) = self.ledger.job(batch) else { return };
        let Some(request) = self.item(batch, item) else { return };
        let Some(live) = self.items.get(&(batch.clone(), item)) else { return };
        let mut last_event = live.events.last().map(|event| event.number);
        let mut chosen = schedule::choose(&self.replicas, &need, now);
        let mut starts_anew = false;
        if chosen.is_none() && need.exact_version.is_some() {
            need.exact_version = None;
            chosen = schedule::choose(&self.replicas, &need, now);
            last_event = None;
            starts_anew = true;
        }
        let Some(chosen) = chosen else { return };
        let (tokens, request, host) = (need.tokens, request.clone(), job.job.host.clone());
        let Some(state) = self.replicas.get_mut(&chosen) else { return };
        state.running += 1;
        state.tokens += tokens;
        let replica = state.record.clone();
        self.last_run += 1;
        let run = RunId(self.last_run);
        if let Some(live) = self.items.get_mut(&(batch.clone(), item)) {
            live.run = Some(run);
            live.written_at = now;
            if starts_anew {
                live.restart();
            }
        }
        let started =
            Run { batch: batch.clone(), item, replica: chosen, tokens, started_at: now, last_event_at: None };
        self.runs.insert(run, started);
        let decision = Decision::new(Component::Rollout, "run_started", "chosen", &request.id)
            .with("batch", batch)
            .with("replica", &replica.id)
            .with("run", run.0)
            .with("after_event", last_event.map_or_else(|| "none".to_owned(), |number| number.to_string()));
        self.decide(decision);
        let start = RunStart { run, replica, host, item: request, last_event, urgency: DEFAULT_URGENCY };
        self.actions.push_back(Action::Start(Box::new(start)));
    }
}
