//! Chooses which replica loads which version of which model.
//!
//! Inputs: the versions that trainers announced, the expected tokens of each model's jobs, the versions that
//! each replica has or is loading, the limit of concurrent loads (`load_limit`), and which replicas may be
//! ordered (`order_lease`).
//!
//! In a service with several models, each replica is assigned one model and loads only its versions, because
//! loading every version of every model on every replica would need more concurrent loads than the replicas
//! can do.
//!
//! Replicas in evacuated zones are excluded: models are assigned among the remaining replicas, and nothing is
//! loaded in the zone. Otherwise each version announced during a long evacuation would be loaded there
//! without being used. After the zone is readmitted its replicas are the furthest behind, so they load first.

use std::collections::BTreeMap;
use std::time::Duration;

use super::load_limit::{LoadLimit, LoadTime, PoolSize};
use super::schedule::{Loading, ReplicaState};
use crate::ingress::admission::AdmissionGate;
use crate::time::Timestamp;

/// Minimum number of replicas per model for assigning models; with fewer, losing one replica could leave a
/// model without its newest version.
const MIN_REPLICAS_PER_MODEL: usize = 2;
/// Delay between the announcement of a version and its loads. The items submitted with the new version fill the slots
/// first; a full replica loses nothing by loading, since its runs continue. Loading at once on the emptiest replicas
/// served less.
const LOAD_DELAY: Duration = Duration::from_millis(300);
/// Weight of the newest interval between two versions of a model in the moving average.
const INTERVAL_WEIGHT: f64 = 0.3;
/// Weight of the newest job in the moving average of a model's demand.
const DEMAND_WEIGHT: f64 = 0.3;

/// Divisor of a model's replicas that may load at a time, where only some replicas of the service are used.
const MAX_LOADING_DIVISOR: usize = 2;
/// Minimum surplus of one model and shortage of another, in replicas, before a replica is reassigned. Below
/// one half, replicas would oscillate between models.
const MIN_IMBALANCE: f64 = 0.75;

/// A model load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Id of the replica.
    pub replica: String,
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// Result of a load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadEnd {
    /// Versions that the replica reports, by model; empty if it did not answer.
    pub versions: BTreeMap<String, u64>,
    /// Duration of the load, if its order was answered and its reports were read.
    pub time: Option<LoadTime>,
}

impl LoadEnd {
    /// Returns whether the replica reports this version of the model or a newer one.
    pub(crate) fn confirms(&self, model: &str, version: u64) -> bool {
        self.versions.get(model).is_some_and(|reported| *reported >= version)
    }
}

/// The newest version of a model that its trainer announced.
#[derive(Clone, Copy, Debug, Default)]
struct AnnouncedVersion {
    version: u64,
    at: Timestamp,
    /// Mean interval between two versions in seconds, once two were seen.
    interval_s: Option<f64>,
}

/// Announced versions, assignment of models to replicas, and demand for each model.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadPlan {
    announced: BTreeMap<String, AnnouncedVersion>,
    /// The model that each replica loads, by replica id.
    assigned: BTreeMap<String, String>,
    demand: BTreeMap<String, f64>,
    /// Limit of concurrent loads, by service.
    limits: BTreeMap<String, LoadLimit>,
}

impl LoadPlan {
    /// Records versions that trainers announced. Older versions than the known ones are ignored.
    pub(super) fn announce(&mut self, versions: &BTreeMap<String, u64>, now: Timestamp) {
        for (model, version) in versions {
            let announced = self.announced.entry(model.clone()).or_default();
            if *version > announced.version {
                let since_s = now.saturating_since(announced.at).as_secs_f64();
                // The first version seen may have been announced long ago, so it gives no interval.
                let seen = (announced.version > 0).then_some(since_s / (*version - announced.version) as f64);
                let mean = announced.interval_s.or(seen);
                let interval_s = mean.map(|mean| mean + INTERVAL_WEIGHT * (seen.unwrap_or(mean) - mean));
                *announced = AnnouncedVersion { version: *version, at: now, interval_s };
            }
        }
    }

    /// Adds the expected tokens of an accepted job to a model's demand.
    pub(super) fn add_demand(&mut self, model: &str, tokens: u64) {
        let tokens = tokens as f64;
        let mean = self.demand.entry(model.to_owned()).or_insert(tokens);
        *mean += DEMAND_WEIGHT * (tokens - *mean);
    }

    /// Records the duration of a completed load in a service of this size.
    pub(super) fn load_done(&mut self, service: &str, loading: &Loading, time: LoadTime, pool: PoolSize) {
        self.limits.entry(service.to_owned()).or_default().observe(time, loading.concurrent_loads, pool);
    }

    /// Returns the loads to start now in one service of this size, among the replicas that may be ordered.
    /// Replicas that are furthest behind come first, and among these the fullest.
    pub(super) fn next(
        &mut self,
        service: &str,
        pool: PoolSize,
        replicas: &BTreeMap<String, ReplicaState>,
        gate: &AdmissionGate,
        may_order: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Vec<Load> {
        let all = members(service, replicas);
        let under_way = all.iter().filter(|replica| replica.loading.is_some()).count();
        let members = open_members(all, gate);
        self.assign_models(replicas, &members);
        let limit = self.limits.entry(service.to_owned()).or_default().get(pool);
        let free = limit.saturating_sub(under_way);
        let mut model_limits = self.model_limits(&members, pool);
        let mut wanted: Vec<(u64, u32, Load)> =
            members.iter().filter_map(|replica| self.wanted(replica, now)).collect();
        wanted.retain(|(_, _, load)| may_order(&load.replica));
        wanted.sort_by(|left, right| {
            right.0.cmp(&left.0).then(right.1.cmp(&left.1)).then_with(|| left.2.replica.cmp(&right.2.replica))
        });
        let loads = wanted.into_iter().map(|(_, _, load)| load);
        loads.filter(|load| model_limits.take(&load.model)).take(free).collect()
    }

    /// Returns how many replicas of a service can be updated within the shortest interval between versions,
    /// or `None` if versions or loads were not observed yet. Additional replicas would only wait for their
    /// weights.
    pub(super) fn renewable(
        &self,
        service: &str,
        replicas: &BTreeMap<String, ReplicaState>,
        gate: &AdmissionGate,
        pool: PoolSize,
    ) -> Option<u32> {
        let members = open_members(members(service, replicas), gate);
        let models = models_of(&members);
        let intervals = models.iter().filter_map(|model| self.announced.get(*model)?.interval_s);
        let shortest = intervals.min_by(f64::total_cmp)?;
        let loads_per_second = self.limits.get(service)?.loads_per_second(pool)?;
        Some((shortest * loads_per_second) as u32)
    }

    /// Returns the load that a replica needs, its lag in versions and its number of runs.
    fn wanted(&self, replica: &ReplicaState, now: Timestamp) -> Option<(u64, u32, Load)> {
        if replica.loading.is_some() || replica.record.is_draining {
            return None;
        }
        let assigned = self.assigned.get(&replica.record.id);
        let behind = replica.record.models.keys().filter_map(|model| {
            if assigned.is_some_and(|assigned| assigned != model) {
                return None;
            }
            let announced = self.announced.get(model)?;
            let lag = announced.version.checked_sub(replica.version(model)?)?;
            let is_due = lag > 1 || now >= announced.at + LOAD_DELAY;
            (lag > 0 && is_due).then(|| (lag, model.clone(), announced.version))
        });
        let (lag, model, version) = behind.max()?;
        let load = Load { replica: replica.record.id.clone(), model, version };
        Some((lag, replica.running, load))
    }

    /// Limits the concurrent loads of each model where the owner works with few of a service's replicas. The
    /// service's limit alone would then let all replicas of a model load at once, which leaves none for its
    /// items.
    fn model_limits(&self, members: &[&ReplicaState], pool: PoolSize) -> ModelLimits {
        if members.len() >= pool.replicas {
            return ModelLimits(None);
        }
        let mut limits: BTreeMap<String, usize> = BTreeMap::new();
        for member in members {
            let assigned = self.assigned.get(&member.record.id);
            let models = member.record.models.keys();
            for model in models.filter(|model| assigned.is_none_or(|assigned| assigned == *model)) {
                *limits.entry(model.clone()).or_default() += 1;
            }
        }
        limits.values_mut().for_each(|limit| *limit = limit.div_ceil(MAX_LOADING_DIVISOR));
        for loading in members.iter().filter_map(|member| member.loading.as_ref()) {
            if let Some(limit) = limits.get_mut(&loading.model) {
                *limit = limit.saturating_sub(1);
            }
        }
        ModelLimits(Some(limits))
    }

    /// Assigns a model to each replica in proportion to demand, changing as few assignments as possible.
    fn assign_models(&mut self, replicas: &BTreeMap<String, ReplicaState>, members: &[&ReplicaState]) {
        let models = models_of(members);
        self.assigned.retain(|id, _| replicas.contains_key(id));
        if models.len() < 2 || members.len() < models.len() * MIN_REPLICAS_PER_MODEL {
            self.assigned.clear();
            return;
        }
        let shares = self.shares(&models, members.len());
        let mut surplus = self.surplus(&shares, members);
        for replica in members {
            if !self.assigned.contains_key(&replica.record.id) {
                let model = self.newest_short_model(replica, &surplus);
                let model = model.unwrap_or_else(|| least_surplus_model(&surplus));
                *surplus.entry(model.clone()).or_default() += 1.0;
                self.assigned.insert(replica.record.id.clone(), model);
            }
        }
        self.reassign_one(&surplus, members);
    }

    /// Returns the model of which a replica has the newest version, among those that lack replicas. `None` if it
    /// is as far behind with all of them, as when nothing was loaded yet.
    fn newest_short_model(&self, replica: &ReplicaState, surplus: &BTreeMap<String, f64>) -> Option<String> {
        let lag = |model: &String| {
            let announced = self.announced.get(model).map_or(0, |announced| announced.version);
            announced.saturating_sub(replica.version(model).unwrap_or(0))
        };
        let short = surplus.iter().filter(|(_, surplus)| **surplus < 0.0).map(|(model, _)| model);
        let lags: Vec<(u64, &String)> = short.map(|model| (lag(model), model)).collect();
        let (least, most) = (lags.iter().min()?, lags.iter().max()?);
        (least.0 < most.0).then(|| least.1.clone())
    }

    /// Returns how many replicas each model should have, at least one.
    fn shares(&self, models: &[&String], replicas: usize) -> BTreeMap<String, f64> {
        let known: Vec<f64> = models.iter().filter_map(|model| self.demand.get(*model).copied()).collect();
        let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
        let demand = |model: &String| self.demand.get(model).copied().unwrap_or(mean).max(1.0);
        let total: f64 = models.iter().map(|model| demand(model)).sum();
        let share = |model: &String| (demand(model) / total * replicas as f64).max(1.0);
        models.iter().map(|model| ((*model).clone(), share(model))).collect()
    }

    /// Returns how many replicas each model has beyond its share; negative for a shortage.
    fn surplus(&self, shares: &BTreeMap<String, f64>, members: &[&ReplicaState]) -> BTreeMap<String, f64> {
        let mut surplus: BTreeMap<String, f64> =
            shares.iter().map(|(model, share)| (model.clone(), -share)).collect();
        for model in members.iter().filter_map(|member| self.assigned.get(&member.record.id)) {
            if let Some(count) = surplus.get_mut(model) {
                *count += 1.0;
            }
        }
        surplus
    }

    /// Reassigns one replica from the model with the largest surplus to the one with the largest shortage, if
    /// both are large enough.
    fn reassign_one(&mut self, surplus: &BTreeMap<String, f64>, members: &[&ReplicaState]) {
        let to = least_surplus_model(surplus);
        let Some((from, max_surplus)) = surplus.iter().max_by(|left, right| left.1.total_cmp(right.1)) else {
            return;
        };
        let min_surplus = surplus.get(&to).copied().unwrap_or_default();
        if *max_surplus < MIN_IMBALANCE || min_surplus > -MIN_IMBALANCE {
            return;
        }
        let mut ids = members.iter().map(|member| &member.record.id);
        if let Some(id) = ids.find(|id| self.assigned.get(*id) == Some(from)) {
            self.assigned.insert(id.clone(), to);
        }
    }
}

/// Returns the replicas of a service that hold model weights.
fn members<'a>(service: &str, replicas: &'a BTreeMap<String, ReplicaState>) -> Vec<&'a ReplicaState> {
    let is_member =
        |replica: &&ReplicaState| replica.record.service == service && !replica.record.models.is_empty();
    replicas.values().filter(is_member).collect()
}

/// Returns the members outside evacuated zones.
fn open_members<'a>(mut members: Vec<&'a ReplicaState>, gate: &AdmissionGate) -> Vec<&'a ReplicaState> {
    members.retain(|replica| !gate.is_evacuated(&replica.record));
    members
}

fn models_of<'a>(members: &[&'a ReplicaState]) -> Vec<&'a String> {
    let mut models: Vec<&String> = members.iter().flat_map(|replica| replica.record.models.keys()).collect();
    models.sort_unstable();
    models.dedup();
    models
}

/// How many more loads of each model may start; unlimited without a map.
struct ModelLimits(Option<BTreeMap<String, usize>>);

impl ModelLimits {
    /// Counts a load against the limit of its model; returns whether it may start.
    fn take(&mut self, model: &str) -> bool {
        let Some(limits) = &mut self.0 else { return true };
        match limits.get_mut(model) {
            Some(0) => false,
            Some(limit) => {
                *limit -= 1;
                true
            }
            None => true,
        }
    }
}

/// Returns the model with the smallest surplus.
fn least_surplus_model(surplus: &BTreeMap<String, f64>) -> String {
    let lowest = surplus.iter().min_by(|left, right| left.1.total_cmp(right.1));
    lowest.map(|(model, _)| model.clone()).unwrap_or_default()
}
