//! Orders to replicas to load a version: when they are given, and what is learned from their ends.
//!
//! Which replica loads what is [`LoadPlan`](crate::batch::weights)'s choice. Invariant: an order leaves only
//! after a majority of stores keeps that it was given, and only once the lease of another holder's order to
//! the same replica has run out.

use std::collections::BTreeMap;

use super::Controller;
use crate::batch::record::Record;
use crate::batch::schedule::{Loading, ReplicaState};
use crate::batch::weights::{Load, LoadEnd};
use crate::decision::{Component, Decision};
use crate::time::Timestamp;

impl Controller {
    /// Orders the loads that may begin now.
    pub(super) fn start_loads(&mut self, now: Timestamp) {
        let Some(routes) = self.routes.clone() else { return };
        let clock_ms = self.clock_ms(now);
        for service in routes.services.keys() {
            let (ledger, lease) = (&self.ledger, &self.lease);
            let replicas = &self.replicas;
            let may_order = |id: &str| lease.allows(ledger.last_order(name_of(replicas, id)), clock_ms);
            for load in self.loads.next(service, &self.replicas, &self.gate, may_order, now) {
                self.begin_load(service, &load);
                let decision = Decision::new(Component::Weights, "load_ordered", "behind", &load.replica);
                self.decide(decision.with("model", &load.model).with("version", load.version));
                self.order(now, clock_ms, load);
            }
        }
    }

    /// Invariant: an order leaves only after a majority of stores keeps that it was given.
    fn order(&mut self, now: Timestamp, clock_ms: u64, load: Load) {
        let holder = self.lease.holder.clone();
        let replica = name_of(&self.replicas, &load.replica).to_owned();
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

    /// A load has ended, well or not.
    pub fn load_ended(&mut self, now: Timestamp, replica: &str, end: &LoadEnd) {
        self.note_load(replica, end);
        if let Some(state) = self.replicas.get_mut(replica) {
            state.loading = None;
            for (model, version) in &end.versions {
                state.observe_version(model, *version);
            }
        }
        self.work_and_load(now);
    }

    /// Learns from a load that is done how many may be under way.
    fn note_load(&mut self, replica: &str, end: &LoadEnd) {
        let Some(state) = self.replicas.get(replica) else { return };
        let Some(loading) = &state.loading else { return };
        let Some(time) = end.time.filter(|_| end.shows(&loading.model, loading.version)) else { return };
        self.loads.load_done(&state.record.service, loading, time, &self.replicas);
    }
}

/// The name of the replica whose incarnation has this id. Holders of orders take turns at a replica,
/// whichever of its incarnations is ordered.
fn name_of<'a>(replicas: &'a BTreeMap<String, ReplicaState>, id: &'a str) -> &'a str {
    replicas.get(id).map_or(id, |state| &state.record.name)
}
