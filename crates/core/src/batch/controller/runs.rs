//! Runs of items: their events, their ends, and when they are moved to another replica.
//!
//! A run that breaks, stalls or is rejected is resumed on another replica after its last event. Only answers
//! that report a failure count towards the route's attempts. `batch::moves` decides whether a move is
//! worthwhile, and `batch::schedule` chooses the replica.

use super::{Action, Controller, ItemStage, Run, RunEnd, RunEvent, RunId};
use crate::batch::job::{ItemResult, OutputEvent};
use crate::batch::moves::{MAX_MOVES_PER_TICK, MIN_TIME_ON_REPLICA, is_worth_awaited_slot, is_worth_moving};
use crate::batch::record::Record;
use crate::batch::schedule::{self, BROKEN_RUN_COOLDOWN, REJECTION_COOLDOWN, ReplicaState, Requirements};
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::ingress::replica_load::ReplicaLoad;
use crate::time::Timestamp;

impl Controller {
    /// Handles an event or the end of a run.
    pub fn run_event(&mut self, now: Timestamp, run: RunId, event: RunEvent) {
        // Ignores output that arrives after the run was stopped.
        if !self.runs.contains_key(&run) {
            return;
        }
        match event {
            RunEvent::Load(load) => self.take_load(run, load),
            RunEvent::Event(event) => self.take_event(now, run, event),
            RunEvent::Ended(end) => self.run_ended(now, run, end),
        }
    }

    fn take_load(&mut self, id: RunId, load: ReplicaLoad) {
        let Some(run) = self.runs.get(&id) else { return };
        if let Some(state) = self.replicas.get_mut(&run.replica) {
            state.reports_pace |= load.pace_percent.is_some();
        }
    }

    fn take_event(&mut self, now: Timestamp, id: RunId, event: OutputEvent) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let gap = run.last_event_at.map(|earlier| now.saturating_since(earlier));
        run.last_event_at = Some(now);
        let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
        let model = self.item(&batch, item).and_then(|item| item.model.clone());
        let is_cold = self.gate.is_cold(&replica, now);
        if let Some(state) = self.replicas.get_mut(&replica) {
            if let Some(gap) = gap {
                state.observe_gap(now, gap, is_cold, &mut self.paces);
            }
            if let Some(model) = &model {
                state.observe_version(model, event.version);
            }
        }
        if !self.is_version_allowed(&batch, item, event.version) {
            return self.drop_run_of_wrong_version(now, id, &batch, item);
        }
        let progress_interval = self.config.progress_interval;
        let keeps_progress = !self.needs_single_version(&batch);
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        let next = live.events.last().map_or(event.number, |last| last.number + 1);
        if event.number < next {
            return;
        }
        if event.number > next {
            return self.run_ended(now, id, RunEnd::Broken);
        }
        live.events.push(event);
        let is_due = now.saturating_since(live.written_at) >= progress_interval;
        if keeps_progress && is_due && !live.is_restarted {
            let events = live.take_unwritten();
            live.written_at = now;
            self.append(now, vec![Record::Progress { batch, item, events }]);
        }
    }

    /// Returns whether the item's text may contain an event of this version.
    pub(super) fn is_version_allowed(&self, batch: &BatchId, item: u32, version: u64) -> bool {
        let Some(job) = self.ledger.job(batch) else { return false };
        if version < job.job.min_version {
            return false;
        }
        let earlier = self.items.get(&(batch.clone(), item)).and_then(|live| live.events.first());
        !self.needs_single_version(batch) || earlier.is_none_or(|earlier| earlier.version == version)
    }

    fn drop_run_of_wrong_version(&mut self, now: Timestamp, id: RunId, batch: &BatchId, item: u32) {
        let restarts_text = self.needs_single_version(batch);
        if let Some(live) = self.items.get_mut(&(batch.clone(), item)).filter(|_| restarts_text) {
            live.restart();
        }
        self.record_decision(
            Decision::new(Component::Rollout, "run_stopped", "wrong_version", batch).with("item", item),
        );
        let replica = self.runs.get(&id).map(|run| run.replica.clone());
        self.stop(now, id);
        if let Some(live) = self.items.get_mut(&(batch.clone(), item)) {
            live.avoid = replica;
        }
        self.mark_items_due(now);
    }

    pub(super) fn run_ended(&mut self, now: Timestamp, id: RunId, end: RunEnd) {
        let Some(run) = self.runs.get(&id) else { return };
        let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
        let started_at = run.started_at;
        self.stop(now, id);
        let key = (batch.clone(), item);
        if let Some(state) = self.replicas.get_mut(&replica) {
            match end {
                RunEnd::Broken => state.avoid_until = state.avoid_until.max(now + BROKEN_RUN_COOLDOWN),
                RunEnd::Rejected => state.avoid_until = state.avoid_until.max(now + REJECTION_COOLDOWN),
                // The replica is gone, but the list of replicas does not show it yet.
                RunEnd::OtherReplica => state.avoid_until = now + BROKEN_RUN_COOLDOWN * 5,
                RunEnd::Complete | RunEnd::Failed | RunEnd::Unprocessable | RunEnd::Unframed => {}
            }
        }
        let subject = self.item(&batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "run_ended", end.as_str(), subject);
        let events = self.items.get(&key).map_or(0, |live| live.events.len());
        let decision = decision.with("batch", &batch).with("replica", &replica).with("run", id.0);
        self.record_decision(decision.with("events", events));
        let max_attempts = self.route(&batch).map_or(1, |route| route.max_attempts);
        let Some(live) = self.items.get_mut(&key) else { return };
        match end {
            RunEnd::Complete => {
                self.observe_work(now, &replica, &batch, item);
                self.complete_text(now, &batch, item);
            }
            RunEnd::Unprocessable => self.give_up(now, &batch, item, "never"),
            RunEnd::Failed => {
                live.failures += 1;
                live.avoid = Some(replica);
                let failures = live.failures;
                self.append(now, vec![Record::Failed { batch: batch.clone(), item, failures }]);
                if failures >= max_attempts {
                    self.give_up(now, &batch, item, "failures");
                }
            }
            RunEnd::Broken => live.record_broken_run(replica, now.saturating_since(started_at), now),
            RunEnd::Rejected | RunEnd::OtherReplica | RunEnd::Unframed => live.avoid = Some(replica),
        }
        self.mark_items_due(now);
    }

    /// Appends a complete text: as a result, or as input for its scorer.
    fn complete_text(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let needs_score = self.item(batch, item).is_some_and(|item| item.scorer.is_some());
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        live.stage = if needs_score { ItemStage::Persisting } else { ItemStage::Listing };
        live.completed_at = Some(now);
        let mut events = std::mem::take(&mut live.events);
        let batch = batch.clone();
        let replaces = live.is_restarted;
        let record = match (needs_score, replaces) {
            (true, true) => Record::Generated { batch, item, events, replaces },
            (true, false) => {
                Record::Generated { batch, item, events: events.split_off(live.written), replaces }
            }
            (false, true) => Record::Listed { batch, result: ItemResult::complete(item, &events, None) },
            (false, false) => Record::Completed { batch, item, events: events.split_off(live.written) },
        };
        self.append(now, vec![record]);
    }

    pub(super) fn give_up(&mut self, now: Timestamp, batch: &BatchId, item: u32, reason: &str) {
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        if live.stage == ItemStage::Listing {
            return;
        }
        live.stage = ItemStage::Listing;
        let run = live.run.take();
        if let Some(run) = run {
            self.stop(now, run);
        }
        self.stop_scores(now, |key| key.0 == *batch && key.1 == item);
        let subject = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        self.record_decision(
            Decision::new(Component::Rollout, "item_given_up", reason, subject).with("batch", batch),
        );
        let result = ItemResult::faulted(item);
        self.append(now, vec![Record::Listed { batch: batch.clone(), result }]);
    }

    pub(super) fn stop_stalled(&mut self, now: Timestamp) {
        let is_stalled = |run: &Run| match run.last_event_at {
            Some(at) => now.saturating_since(at) >= self.config.event_timeout,
            None => now.saturating_since(run.started_at) >= self.config.first_event_timeout,
        };
        let stalled: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| is_stalled(run)).map(|(id, _)| *id).collect();
        for id in stalled {
            self.run_ended(now, id, RunEnd::Broken);
        }
    }

    /// Moves runs from slow replicas to much faster ones with a free slot. Each run is stopped before it is
    /// resumed, so that no item runs twice at a time.
    pub(super) fn move_slow(&mut self, now: Timestamp) {
        if !self.is_confirmed {
            return;
        }
        // Compares with the fastest free replica first, since choosing a replica for each run is expensive.
        let free = self.replicas.values().filter(|state| state.has_free_slot());
        let Some(best_pace) = free.map(|state| state.reliable_pace(&self.paces)).min_by(f64::total_cmp)
        else {
            return;
        };
        self.find_awaited_services(now);
        let mut moves = 0;
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for id in runs {
            if moves >= MAX_MOVES_PER_TICK || !self.should_move(now, id, best_pace) {
                continue;
            }
            let Some(run) = self.runs.get(&id) else { continue };
            let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
            moves += 1;
            let subject = self.item(&batch, item).map_or_else(String::new, |item| item.id.clone());
            let decision = Decision::new(Component::Rollout, "run_stopped", "slow_replica", subject);
            self.record_decision(decision.with("batch", &batch).with("replica", &replica).with("run", id.0));
            self.stop(now, id);
            if let Some(live) = self.items.get_mut(&(batch.clone(), item)) {
                live.avoid = Some(replica);
            }
            // If no replica has capacity, the item waits for its next turn.
            let _ = self.start_item(now, &batch, item);
        }
    }

    fn should_move(&self, now: Timestamp, id: RunId, best_pace: f64) -> bool {
        let Some(run) = self.runs.get(&id) else { return false };
        if now.saturating_since(run.started_at) < MIN_TIME_ON_REPLICA || run.last_event_at.is_none() {
            return false;
        }
        let Some(state) = self.replicas.get(&run.replica) else { return false };
        let pace = state.gap(&self.paces).as_secs_f64();
        let events = self.items.get(&(run.batch.clone(), run.item)).map_or(0, |live| live.events.len());
        if !is_worth_moving(pace, best_pace, events) {
            return false;
        }
        let Some(pace) = self.lasting_pace(state, pace) else { return false };
        let Some(requirements) = self.requirements(&run.batch, run.item) else { return false };
        let others = Requirements { avoid: Some(&run.replica), ..requirements };
        let Some(other) = schedule::choose(&self.replicas, &others, &self.paces, now) else { return false };
        let Some(other) = self.replicas.get(&other).filter(|other| other.record.id != run.replica) else {
            return false;
        };
        let other_pace = other.reliable_pace(&self.paces);
        let is_allowed =
            !self.is_slot_awaited(&other.record.service) || is_worth_awaited_slot(pace, other_pace);
        is_allowed && is_worth_moving(pace, other_pace, events)
    }

    /// Returns the pace of a replica, in seconds per event, as far as it lasts for longer than a slowdown. Where
    /// replicas of the service report their pace, they have slowdowns that end before a move pays off. `None` if the
    /// replica was not observed for long enough there.
    fn lasting_pace(&self, state: &ReplicaState, pace: f64) -> Option<f64> {
        let same_service = |other: &&ReplicaState| other.record.service == state.record.service;
        if !self.replicas.values().filter(same_service).any(|other| other.reports_pace) {
            return Some(pace);
        }
        state.sustained_gap(&self.paces).map(|sustained| pace.min(sustained.as_secs_f64()))
    }

    pub(super) fn stop(&mut self, now: Timestamp, id: RunId) {
        let Some(run) = self.runs.remove(&id) else { return };
        if let Some(live) = self.items.get_mut(&(run.batch.clone(), run.item)) {
            live.run = None;
            live.ran += now.saturating_since(run.started_at);
        }
        if let Some(state) = self.replicas.get_mut(&run.replica) {
            state.running = state.running.saturating_sub(1);
            state.tokens = state.tokens.saturating_sub(run.tokens);
        }
        self.actions.push_back(Action::Stop(id));
    }
}
