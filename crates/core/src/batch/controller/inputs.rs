//! Input from the operator, the platform and other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Controller;
use crate::batch::load_limit::PoolSize;
use crate::batch::schedule::ReplicaState;
use crate::batch::working_set;
use crate::ingress::admission::EvacuatedZones;
use crate::ingress::replicas::{ReplicaRecord, ReplicaTable};
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
        replicas: &Arc<ReplicaTable>,
        versions: &BTreeMap<String, u64>,
    ) {
        if let Some(routes) = routes {
            self.gate.warmups_mut().set_routes(&routes);
            self.is_reuse_due |= self.routes.as_ref().is_none_or(|earlier| !Arc::ptr_eq(earlier, &routes));
            self.routes = Some(routes);
        }
        self.loads.announce(versions, now);
        if !Arc::ptr_eq(&self.listed, replicas) {
            self.listed = Arc::clone(replicas);
            self.measure_pools();
        }
        self.measure_demand(now);
        self.refresh_replicas(now);
        self.mark_items_and_loads_due(now);
    }

    /// Chooses again with which replicas to work, and takes their records over from the list.
    pub(super) fn refresh_replicas(&mut self, now: Timestamp) {
        let listed = Arc::clone(&self.listed);
        let (zones, regions) = (&self.config.zones, &self.config.regions);
        let allows_zone = |zone: &str| regions.allows_zone(zones, zone);
        let chosen = working_set::choose(&listed, &self.demand, &self.gate, allows_zone, now);
        for record in chosen.iter().filter_map(|id| listed.records.get(*id)) {
            match self.replicas.get_mut(&record.id) {
                Some(state) => state.record = Arc::clone(record),
                None => {
                    self.replicas.insert(record.id.clone(), ReplicaState::new(Arc::clone(record)));
                }
            }
        }
        // Runs continue on replicas that are no longer listed, since these may still serve them.
        let others: Vec<String> =
            self.replicas.keys().filter(|id| !chosen.contains(id.as_str())).cloned().collect();
        for id in others {
            self.release_replica(&id, listed.records.get(&id));
        }
        let records = chosen.iter().filter_map(|id| listed.records.get(*id));
        for change in self.gate.warmups_mut().set_replicas(records.map(Arc::as_ref), now) {
            self.record_decision(change.decision("owner"));
        }
    }

    /// Stops working with a replica, once no run and no load of this owner is there.
    fn release_replica(&mut self, id: &str, record: Option<&Arc<ReplicaRecord>>) {
        let Some(state) = self.replicas.get_mut(id) else { return };
        match record {
            Some(record) => state.record = Arc::clone(record),
            None => Arc::make_mut(&mut state.record).is_draining = true,
        }
        let is_loading = state.loading.is_some() && record.is_some();
        if state.running == 0 && !is_loading {
            self.replicas.remove(id);
        }
    }

    /// Records how many items are open, as far as their routes are known.
    pub(super) fn measure_demand(&mut self, now: Timestamp) {
        let Some(routes) = self.routes.clone() else { return };
        let mut open: BTreeMap<(&str, Option<&str>), usize> = BTreeMap::new();
        for batch in self.tallies.keys() {
            let Some(job) = self.ledger.job(batch) else { continue };
            let Some(route) = routes.by_name(&job.job.route) else { continue };
            let items = job.job.items.iter().zip(0..);
            let models = items.filter(|(_, position)| job.is_open(*position)).map(|(item, _)| &item.model);
            for model in models {
                for part in &route.services {
                    *open.entry((&part.service, model.as_deref())).or_default() += 1;
                }
            }
        }
        for ((service, model), items) in open {
            self.demand.observe(service, model, items, now);
        }
    }

    /// Counts the replicas of each service that hold model weights.
    fn measure_pools(&mut self) {
        let mut models: BTreeMap<&str, (usize, BTreeSet<&String>)> = BTreeMap::new();
        let records = self.listed.records.values().filter(|record| !record.models.is_empty());
        for record in records.filter(|record| !self.gate.is_evacuated(record)) {
            let (replicas, names) = models.entry(&record.service).or_default();
            *replicas += 1;
            names.extend(record.models.keys());
        }
        let size = |(service, (replicas, names)): (&str, (usize, BTreeSet<&String>))| {
            (service.to_owned(), PoolSize { replicas, models: names.len() })
        };
        self.pools = models.into_iter().map(size).collect();
    }

    /// Replaces the set of evacuated zones.
    pub fn set_evacuated(&mut self, now: Timestamp, evacuated: Arc<EvacuatedZones>) {
        let is_same = *self.gate.evacuated() == *evacuated;
        self.gate.set_evacuated(evacuated, now);
        if !is_same {
            self.measure_pools();
            self.refresh_replicas(now);
        }
        self.mark_items_and_loads_due(now);
    }

    /// Replaces the quarantine, which holds score requests back for a time.
    pub fn set_quarantine(&mut self, now: Timestamp, quarantine: Arc<Quarantine>) {
        self.quarantine = quarantine;
        self.mark_items_due(now);
    }
}
