//! Runs of items: their events, their ends, and when one is taken up elsewhere.
//!
//! A run that breaks, stalls or is refused is resumed at another replica after its last event; only answers
//! that say that the item failed count towards the route's attempts. Whether a run is worth moving is decided
//! in `batch::moves`, which replica it goes to in `batch::schedule`.

use super::{Action, Controller, ItemStage, Run, RunEnd, RunEvent, RunId};
use crate::batch::job::{ItemResult, OutputEvent};
use crate::batch::moves::{MIN_STAY, MOVES_PER_TICK, is_worth_moving};
use crate::batch::record::Record;
use crate::batch::schedule::{self, Need, PAUSE_AFTER_REJECTION, SUSPECT_AFTER_BREAK};
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::time::Timestamp;

impl Controller {
    /// Takes what a run gives.
    pub fn run_event(&mut self, now: Timestamp, run: RunId, event: RunEvent) {
        // What a stopped run still gives is not wanted.
        if !self.runs.contains_key(&run) {
            return;
        }
        match event {
            RunEvent::Event(event) => self.take_event(now, run, event),
            RunEvent::Ended(end) => self.run_ended(now, run, end),
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
                state.observe_gap(gap, is_cold, &mut self.slowdown);
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
        if keeps_progress && is_due && !live.is_anew {
            let events = live.take_unwritten();
            live.written_at = now;
            self.append(now, vec![Record::Progress { batch, item, events }]);
        }
    }

    /// Whether an event of this version may stand in the item's text.
    pub(super) fn is_version_allowed(&self, batch: &BatchId, item: u32, version: u64) -> bool {
        let Some(job) = self.ledger.job(batch) else { return false };
        if version < job.job.min_version {
            return false;
        }
        let earlier = self.items.get(&(batch.clone(), item)).and_then(|live| live.events.first());
        !self.needs_single_version(batch) || earlier.is_none_or(|earlier| earlier.version == version)
    }

    fn drop_run_of_wrong_version(&mut self, now: Timestamp, id: RunId, batch: &BatchId, item: u32) {
        let starts_anew = self.needs_single_version(batch);
        if let Some(live) = self.items.get_mut(&(batch.clone(), item)).filter(|_| starts_anew) {
            live.restart();
        }
        self.decide(
            Decision::new(Component::Rollout, "run_stopped", "wrong_version", batch).with("item", item),
        );
        self.stop(id);
        self.work(now);
    }

    pub(super) fn run_ended(&mut self, now: Timestamp, id: RunId, end: RunEnd) {
        let Some(run) = self.runs.get(&id) else { return };
        let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
        self.stop(id);
        let key = (batch.clone(), item);
        if let Some(state) = self.replicas.get_mut(&replica) {
            match end {
                RunEnd::Broken => state.avoid_until = state.avoid_until.max(now + SUSPECT_AFTER_BREAK),
                RunEnd::Rejected => state.avoid_until = state.avoid_until.max(now + PAUSE_AFTER_REJECTION),
                // The address belongs to another: the list will say so.
                RunEnd::OtherReplica => state.avoid_until = now + SUSPECT_AFTER_BREAK * 5,
                RunEnd::Complete | RunEnd::Failed | RunEnd::Unprocessable => {}
            }
        }
        let subject = self.item(&batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "run_ended", end.as_str(), subject);
        let events = self.items.get(&key).map_or(0, |live| live.events.len());
        let decision = decision.with("batch", &batch).with("replica", &replica).with("run", id.0);
        self.decide(decision.with("events", events));
        let max_attempts = self.route(&batch).map_or(1, |route| route.max_attempts);
        let Some(live) = self.items.get_mut(&key) else { return };
        match end {
            RunEnd::Complete => self.text_came_whole(now, &batch, item),
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
            RunEnd::Broken | RunEnd::Rejected | RunEnd::OtherReplica => live.avoid = Some(replica),
        }
        self.work(now);
    }

    /// Keeps a whole text: listed at once, or for its scorer.
    fn text_came_whole(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let needs_score = self.item(batch, item).is_some_and(|item| item.scorer.is_some());
        let Some(live) = self.items.get_mut(&(batch.clone(), item)) else { return };
        live.stage = if needs_score { ItemStage::Keeping } else { ItemStage::Listing };
        let mut events = std::mem::take(&mut live.events);
        let batch = batch.clone();
        let line_feeds = events.len().saturating_sub(1);
        self.held_bytes += events.iter().map(|event| event.data.len()).sum::<usize>() + line_feeds;
        let replaces = live.is_anew;
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
            self.stop(run);
        }
        self.stop_scores(now, |key| key.0 == *batch && key.1 == item);
        let subject = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        self.decide(Decision::new(Component::Rollout, "item_given_up", reason, subject).with("batch", batch));
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

    /// Runs at a replica that is much slower than one with a free slot are resumed there. Each is stopped
    /// first, so that no item runs twice at a time.
    pub(super) fn move_slow(&mut self, now: Timestamp) {
        if !self.is_confirmed {
            return;
        }
        // Comparing with the fastest free replica first spares the choice of one for each run.
        let free = self.replicas.values().filter(|state| state.has_free_slot());
        let Some(best) = free.map(|state| state.expected_pace(self.slowdown)).min_by(f64::total_cmp) else {
            return;
        };
        let mut moves = 0;
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for id in runs {
            if moves >= MOVES_PER_TICK || !self.should_move(now, id, best) {
                continue;
            }
            let Some(run) = self.runs.get(&id) else { continue };
            let (batch, item, replica) = (run.batch.clone(), run.item, run.replica.clone());
            // Stopped, it could not be started anywhere.
            if self.is_held(&batch, item) {
                continue;
            }
            moves += 1;
            let subject = self.item(&batch, item).map_or_else(String::new, |item| item.id.clone());
            let decision = Decision::new(Component::Rollout, "run_stopped", "slow_replica", subject);
            self.decide(decision.with("batch", &batch).with("replica", &replica).with("run", id.0));
            self.stop(id);
            if let Some(live) = self.items.get_mut(&(batch.clone(), item)) {
                live.avoid = Some(replica);
            }
            // Without a place elsewhere it waits like any other.
            let _ = self.start_item(now, &batch, item);
        }
    }

    fn should_move(&self, now: Timestamp, id: RunId, best: f64) -> bool {
        let Some(run) = self.runs.get(&id) else { return false };
        if now.saturating_since(run.started_at) < MIN_STAY || run.last_event_at.is_none() {
            return false;
        }
        let Some(state) = self.replicas.get(&run.replica) else { return false };
        let pace = state.gap(self.slowdown).as_secs_f64();
        let events = self.items.get(&(run.batch.clone(), run.item)).map_or(0, |live| live.events.len());
        if !is_worth_moving(pace, best, events) {
            return false;
        }
        let Some(need) = self.need(&run.batch, run.item) else { return false };
        let others = Need { avoid: Some(&run.replica), ..need };
        let Some(other) = schedule::choose(&self.replicas, &others, self.slowdown, now) else { return false };
        let Some(other) = self.replicas.get(&other).filter(|other| other.record.id != run.replica) else {
            return false;
        };
        is_worth_moving(pace, other.expected_pace(self.slowdown), events)
    }

    pub(super) fn stop(&mut self, id: RunId) {
        let Some(run) = self.runs.remove(&id) else { return };
        if let Some(live) = self.items.get_mut(&(run.batch.clone(), run.item)) {
            live.run = None;
        }
        if let Some(state) = self.replicas.get_mut(&run.replica) {
            state.running = state.running.saturating_sub(1);
            state.tokens = state.tokens.saturating_sub(run.tokens);
        }
        self.actions.push_back(Action::Stop(id));
    }
}
