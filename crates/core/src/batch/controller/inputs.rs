//! Input from the operator, the platform and other nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Controller;
use crate::batch::schedule::ReplicaState;
use crate::ingress::admission::EvacuatedZones;
use crate::ingress::replicas::ReplicaTable;
use crate::ingress::routes::RouteTable;
use crate::quarantine::Quarantine;
use crate::time::Timestamp;

impl Controller {
    /// Applies the operator's routes, the platform's list of replicas, and the model versions announced by
    /// trainers.
    pub fn update(
        &mut self,
        now: Timestamp,
        routes: Option<Arc<RouteTable>>,
        replicas: &ReplicaTable,
        versions: &BTreeMap<String, u64>,
    ) {
        if let Some(routes) = routes {
            self.gate.warmups_mut().set_routes(&routes);
            self.routes = Some(routes);
        }
        for change in self.gate.warmups_mut().set_replicas(replicas.records.values(), now) {
            self.record_decision(change.decision("owner"));
        }
        self.loads.announce(versions, now);
        for record in replicas.records.values() {
            match self.replicas.get_mut(&record.id) {
                Some(state) => state.record = record.clone(),
                None => {
                    self.replicas.insert(record.id.clone(), ReplicaState::new(record.clone()));
                }
            }
        }
        let gone: Vec<String> =
            self.replicas.keys().filter(|id| !replicas.records.contains_key(*id)).cloned().collect();
        for id in gone {
            // Its runs continue, because a replica that is no longer listed may still serve them.
            if let Some(state) = self.replicas.get_mut(&id) {
                state.record.is_draining = true;
            }
            if !self.runs.values().any(|run| run.replica == id) {
                self.replicas.remove(&id);
            }
        }
        self.mark_items_and_loads_due(now);
    }

    /// Replaces the set of evacuated zones.
    pub fn set_evacuated(&mut self, now: Timestamp, evacuated: Arc<EvacuatedZones>) {
        self.gate.set_evacuated(evacuated, now);
        self.mark_items_and_loads_due(now);
    }

    /// Replaces the quarantine: the requests that must not be sent to any replica.
    pub fn set_quarantine(&mut self, now: Timestamp, quarantine: Arc<Quarantine>) {
        self.quarantine = quarantine;
        self.mark_items_due(now);
    }
}
