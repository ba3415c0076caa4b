//! Orders replicas to load model versions and learns from the results.
//!
//! [`LoadPlan`](crate::batch::weights) chooses which replica loads what. Invariant: an order is sent only
//! after its record is committed, and only once the lease of another holder's order to the same replica has
//! expired.

use std::collections::BTreeMap;

use super::Controller;
use crate::batch::record::Record;
use crate::batch::schedule::{Loading, ReplicaState};
use crate::batch::weights::{Load, LoadEnd};
use crate::decision::{Component, Decision};
use crate::time::Timestamp;

impl Controller {
    /// Orders the loads that may start now.
    pub(super) fn start_loads(&mut self, now: Timestamp) {
        let Some(routes) = self.routes.clone() else { return };
        let clock_ms = self.clock_ms(now);
        for service in routes.services.keys() {
            let (ledger, lease) = (&self.ledger, &self.lease);
            let replicas = &self.replicas;
            let may_order = |id: &str| lease.allows(ledger.last_order(replica_name(replicas, id)), clock_ms);
            let Some(pool) = self.pools.get(service).copied() else { continue };
            for load in self.loads.next(service, pool, &self.replicas, &self.gate, may_order, now) {
                self.begin_load(service, &load);
                let decision = Decision::new(Component::Weights, "load_ordered", "behind", &load.replica);
                self.record_decision(decision.with("model", &load.model).with("version", load.version));
                self.order(now, clock_ms, load);
            }
        }
    }

    /// Appends the record of an order; the order is sent once the record is committed.
    fn order(&mut self, now: Timestamp, clock_ms: u64, load: Load) {
        let holder = self.lease.holder.clone();
        let replica = replica_name(&self.replicas, &load.replica).to_owned();
        self.pending_loads.insert(replica.clone(), load);
        self.append(now, vec![Record::Ordered { replica, holder, at_ms: clock_ms }]);
    }

    fn begin_load(&mut self, service: &str, load: &Load) {
        let is_loading = |state: &&ReplicaState| state.record.service == service && state.loading.is_some();
        let concurrent_loads = self.replicas.values().filter(is_loading).count() + 1;
        if let Some(state) = self.replicas.get_mut(&load.replica) {
            let (model, version) = (load.model.clone(), load.version);
            state.loading = Some(Loading { model, version, concurrent_loads });
        }
    }

    /// Handles the end of a load, successful or not.
    pub fn load_ended(&mut self, now: Timestamp, replica: &str, end: &LoadEnd) {
        self.observe_load(replica, end);
        if let Some(state) = self.replicas.get_mut(replica) {
            state.loading = None;
            for (model, version) in &end.versions {
                state.observe_version(model, *version);
            }
        }
        self.mark_items_and_loads_due(now);
    }

    /// Adjusts the limit of concurrent loads by the duration of a successful load.
    fn observe_load(&mut self, replica: &str, end: &LoadEnd) {
        let Some(state) = self.replicas.get(replica) else { return };
        let Some(loading) = &state.loading else { return };
        let Some(time) = end.time.filter(|_| end.confirms(&loading.model, loading.version)) else { return };
        let service = &state.record.service;
        let Some(pool) = self.pools.get(service).copied() else { return };
        self.loads.load_done(service, loading, time, pool);
    }
}

/// Returns the name of the replica with this incarnation id. Order leases apply to the replica, whichever of
/// its incarnations is ordered.
fn replica_name<'a>(replicas: &'a BTreeMap<String, ReplicaState>, id: &'a str) -> &'a str {
    replicas.get(id).map_or(id, |state| &state.record.name)
}
