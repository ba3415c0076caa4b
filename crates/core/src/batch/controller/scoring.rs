//! Scoring of complete texts.
//!
//! Invariants: a score request is sent only after the text that it scores is committed; a score is listed
//! only with that text; an item is given up because of its scorer only after as many failures as the route
//! allows, including those counted by earlier owners.

use std::time::Duration;

use super::{Action, Controller, ItemStage};
use crate::batch::record::Record;
use crate::batch::score_plan::{EndedScore, ItemKey, ScoreEnd, ScoreId};
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::ingress::places::AllowedRegions;
use crate::ingress::replica_load::ReplicaLoad;
use crate::ingress::shared_bases::MAX_ANSWERED_REPLICAS;
use crate::time::Timestamp;

impl Controller {
    /// Queues the score request of a committed text.
    pub(super) fn begin_scoring(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let Some(job) = self.ledger.job(batch).filter(|job| job.is_open(item)) else { return };
        let Some(request) = job.job.items.get(item as usize).and_then(|item| item.scorer.clone()) else {
            return;
        };
        let tenant = job.job.tenant.clone();
        let is_generated = job.items.get(item as usize).is_some_and(|state| state.is_generated);
        let key = (batch.clone(), item);
        let Some(live) =
            self.items.get_mut(&key).filter(|live| is_generated && live.stage != ItemStage::Listing)
        else {
            return;
        };
        live.stage = ItemStage::Scoring;
        self.scores.add(key, request, tenant, now);
    }

    pub(super) fn start_scores(&mut self, now: Timestamp) {
        let Some(routes) = self.routes.clone() else { return };
        let (replicas, config) = (&self.replicas, &self.config);
        let ready = |service: &str, regions: &AllowedRegions| {
            let records = replicas.values().map(|state| &*state.record);
            let ready = records.filter(|record| record.service == service && !record.is_draining);
            ready.filter(|record| regions.allows_zone(&config.zones, &record.zone)).collect()
        };
        for start in self.scores.next(&routes, ready, &mut self.gate, &self.quarantine, now) {
            let decision = Decision::new(Component::Rollout, "score_requested", "whole", &start.request.id);
            let decision = decision.with("replica", &start.replica.id).with("sending", start.id.0);
            self.record_decision(decision.with("patience_ms", start.timeout.as_millis()));
            self.actions.push_back(Action::Score(Box::new(start)));
        }
    }

    /// Handles the end of a score request. `load` is the load that the replica reported, if it
    /// did; it still includes this request.
    pub fn score_ended(&mut self, now: Timestamp, id: ScoreId, end: &ScoreEnd, load: Option<ReplicaLoad>) {
        if let Some(load) = load {
            self.scores.reported(id, load, now);
        }
        let ended = self.scores.ended(id, end, self.routes.as_deref(), now);
        let Some(EndedScore { key, request, replica, route_attempts }) = ended else { return };
        let item = self.item(&key.0, key.1).map_or_else(String::new, |item| item.id.clone());
        let decision =
            Decision::new(Component::Rollout, "score_ended", end.as_str(), &request).with("item", item);
        self.record_decision(decision.with("batch", &key.0).with("replica", &replica).with("sending", id.0));
        match end {
            ScoreEnd::Scored(score) => self.list_scored(now, key, score),
            ScoreEnd::Failed => self.count_score_failure(now, &key, route_attempts),
            ScoreEnd::Rejected | ScoreEnd::Broken => {}
        }
        self.mark_items_due(now);
    }

    /// Returns the base latencies, in microseconds, of replicas that score requests were sent to, in the order of their
    /// ids; `None` for those that report no pace or were measured too rarely.
    pub fn base_latencies(&self, replicas: &[String]) -> Vec<Option<u32>> {
        let micros = |base: Duration| u32::try_from(base.as_micros()).unwrap_or(u32::MAX);
        let asked = replicas.iter().take(MAX_ANSWERED_REPLICAS);
        asked.map(|replica| self.scores.base_latency(replica).map(micros)).collect()
    }

    fn list_scored(&mut self, now: Timestamp, key: ItemKey, score: &str) {
        let Some(live) = self.items.get_mut(&key).filter(|live| live.stage == ItemStage::Scoring) else {
            return;
        };
        live.stage = ItemStage::Listing;
        let (batch, item) = key;
        self.append(now, vec![Record::Scored { batch, item, score: score.to_owned() }]);
    }

    fn count_score_failure(&mut self, now: Timestamp, key: &ItemKey, route_attempts: Option<u32>) {
        let Some(live) = self.items.get_mut(key) else { return };
        live.score_failures += 1;
        let failures = live.score_failures;
        let (batch, item) = key.clone();
        self.append(now, vec![Record::ScoreFailed { batch, item, failures }]);
        // The limit on failures comes from the route; without one the item is retried.
        if route_attempts.is_some_and(|attempts| failures >= attempts) {
            self.give_up(now, &key.0, key.1, "score_failures");
        }
    }

    /// Cancels the score requests of the matching items.
    pub(super) fn stop_scores(&mut self, now: Timestamp, is_gone: impl Fn(&ItemKey) -> bool) {
        for id in self.scores.remove(is_gone, now) {
            self.actions.push_back(Action::StopScore(id));
        }
    }
}
