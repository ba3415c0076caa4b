//! Reports items that wait although their services have free slots, with the reason.
//!
//! The reports are for whoever looks for the cause of a late job; nothing depends on them.

use std::collections::HashMap;
use std::time::Duration;

use super::{Controller, LiveItem};
use crate::batch::schedule::{self, Requirements};
use crate::batch::score_plan::ItemKey;
use crate::decision::{Component, Decision};
use crate::identity::BatchId;
use crate::time::{Timestamp, whole_millis};

/// Interval between two checks, each of which looks at all open items.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a waiting item is reported, and reported again.
const REPORT_AFTER: Duration = Duration::from_secs(5);

/// Since when items have waited.
#[derive(Default)]
pub(super) struct WaitingMonitor {
    checked_at: Timestamp,
    /// When each waiting item was first seen waiting.
    since: HashMap<ItemKey, Timestamp>,
    /// When an item of the job was last reported.
    reported_at: HashMap<BatchId, Timestamp>,
}

impl Controller {
    /// Reports, for each job, the item that has waited longest although its services have free slots.
    pub(super) fn report_waiting(&mut self, now: Timestamp) {
        if now.saturating_since(self.waiting.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.waiting.checked_at = now;
        let mut longest: HashMap<BatchId, (Timestamp, u32)> = HashMap::new();
        let items = &self.items;
        let is_waiting = |key: &ItemKey| items.get(key).is_some_and(LiveItem::is_waiting);
        self.waiting.since.retain(|key, _| is_waiting(key));
        for (batch, item) in items.iter().filter(|(_, live)| live.is_waiting()).map(|(key, _)| key) {
            let since = *self.waiting.since.entry((batch.clone(), *item)).or_insert(now);
            let first = longest.entry(batch.clone()).or_insert((since, *item));
            *first = (*first).min((since, *item));
        }
        self.waiting.reported_at.retain(|batch, _| longest.contains_key(batch));
        longest.retain(|_, (since, _)| now.saturating_since(*since) >= REPORT_AFTER);
        for (batch, (since, item)) in longest {
            self.report_waiting_item(now, &batch, item, now.saturating_since(since));
        }
    }

    fn report_waiting_item(&mut self, now: Timestamp, batch: &BatchId, item: u32, waited: Duration) {
        let last = self.waiting.reported_at.get(batch);
        if last.is_some_and(|at| now.saturating_since(*at) < REPORT_AFTER) {
            return;
        }
        let Some(reason) = self.waiting_reason(now, batch, item) else { return };
        self.waiting.reported_at.insert(batch.clone(), now);
        let subject = self.item(batch, item).map_or_else(String::new, |item| item.id.clone());
        let decision = Decision::new(Component::Rollout, "item_waiting", reason, subject);
        self.record_decision(decision.with("batch", batch).with("waited_ms", whole_millis(waited)));
    }

    /// Returns why an item waits, or `None` if its services have no free slot.
    fn waiting_reason(&self, now: Timestamp, batch: &BatchId, item: u32) -> Option<&'static str> {
        let live = self.items.get(&(batch.clone(), item))?;
        let Some(requirements) = self.requirements(batch, item) else { return Some("no_route") };
        let serves = |name: &str| requirements.services.iter().any(|part| part.service == name);
        let mut own = self.replicas.values().filter(|state| serves(&state.record.service));
        if !own.any(|state| state.has_free_slot()) {
            return None;
        }
        let is_met = |requirements: &Requirements<'_>| {
            schedule::has_matching_replica(&self.replicas, requirements, now)
        };
        Some(match () {
            () if !self.is_confirmed => "not_confirmed",
            () if live.not_before > now => "backoff",
            () if is_met(&requirements) => "not_chosen",
            () if is_met(&requirements.minimal()) => "no_replica_for_item",
            () => "no_replica_for_job",
        })
    }
}
