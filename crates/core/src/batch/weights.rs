//! Which replica loads which version of which model.
//!
//! Inputs: the versions that trainers named, the tokens that jobs of each model are expected to need, what
//! each replica has and is loading, the limit of loads at a time (`load_limit`), and which replicas may be
//! ordered (`order_lease`).
//!
//! Where a service has several models, each replica is assigned one model and loads only its versions:
//! bringing every replica to every version of every model would take more loads than the replicas can do at a
//! time.
//!
//! Replicas in a zone that is evacuated have no part in this: models are assigned among the others, so that
//! each model keeps replicas of its version outside, and nothing is loaded there. An evacuation may outlast
//! many versions, each of whose loads would be paid for and used by nobody; a zone that is readmitted is
//! behind by whatever came meanwhile, and its replicas, which are furthest behind, load first.

use std::collections::BTreeMap;
use std::time::Duration;

use super::load_limit::{LoadLimit, LoadTime, PoolSize};
use super::schedule::{Loading, ReplicaState};
use crate::ingress::admission::AdmissionGate;
use crate::time::Timestamp;

/// Replicas for each model below which none is assigned. Chosen, not measured: with fewer, the loss of one
/// replica leaves a model without its newest version.
const MIN_REPLICAS_PER_MODEL: usize = 2;
/// Loads of a version wait so long after it was named: the step that was asked for with it fills the slots
/// first, and a replica whose slots are full loses nothing while it loads, since its runs go on. Mean worth
/// of 12 plays: 0.678 with this, lost orders repeated and runs moved; 0.624 with loads on the emptiest
/// replica at once and neither of the two.
const LOAD_DELAY: Duration = Duration::from_millis(300);
/// Weight of the newest time between two versions of a model in the running mean. Chosen, not measured:
/// greater follows single steps, smaller follows a change of pace late.
const INTERVAL_WEIGHT: f64 = 0.3;
/// Weight of the newest job in the running mean of a model's demand. Chosen, not measured: greater reassigns
/// replicas for one job, smaller follows a change of demand late.
const DEMAND_WEIGHT: f64 = 0.3;

/// How many replicas too many one model and too few another must have before one is reassigned. Chosen, not
/// measured: below half of one a replica would move back and forth, above one a model stays short.
const WORTH_MOVING: f64 = 0.75;

/// A load that should begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The replica.
    pub replica: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// How a load ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadEnd {
    /// The versions that the replica reports; none where it did not answer.
    pub versions: BTreeMap<String, u64>,
    /// How long the load took, where its order was answered and its reports were read.
    pub time: Option<LoadTime>,
}

impl LoadEnd {
    /// Whether the replica reports this version of the model, or a newer one.
    pub(crate) fn shows(&self, model: &str, version: u64) -> bool {
        self.versions.get(model).is_some_and(|reported| *reported >= version)
    }
}

/// The newest version of a model that its trainer named.
#[derive(Clone, Copy, Debug, Default)]
struct Named {
    version: u64,
    at: Timestamp,
    /// The mean time between two versions, in seconds, once two were seen.
    interval_s: Option<f64>,
}

/// Named versions, assigned models, and demand for each model.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadPlan {
    named: BTreeMap<String, Named>,
    /// The model whose versions a replica loads, by the replica's id.
    assigned: BTreeMap<String, String>,
    demand: BTreeMap<String, f64>,
    /// Loads at a time, by service.
    limits: BTreeMap<String, LoadLimit>,
}

impl LoadPlan {
    /// Trainers have named these versions. A version never goes back.
    pub(super) fn name(&mut self, versions: &BTreeMap<String, u64>, now: Timestamp) {
        for (model, version) in versions {
            let named = self.named.entry(model.clone()).or_default();
            if *version > named.version {
                let since_s = now.saturating_since(named.at).as_secs_f64();
                // The first one that is seen may have been named long ago.
                let seen = (named.version > 0).then_some(since_s / (*version - named.version) as f64);
                let mean = named.interval_s.or(seen);
                let interval_s = mean.map(|mean| mean + INTERVAL_WEIGHT * (seen.unwrap_or(mean) - mean));
                *named = Named { version: *version, at: now, interval_s };
            }
        }
    }

    /// A job with so many tokens to come was taken.
    pub(super) fn add_demand(&mut self, model: &str, tokens: u64) {
        let tokens = tokens as f64;
        let mean = self.demand.entry(model.to_owned()).or_insert(tokens);
        *mean += DEMAND_WEIGHT * (tokens - *mean);
    }

    /// A load that began as `loading` says is done, among the replicas of its service.
    pub(super) fn load_done(
        &mut self,
        service: &str,
        loading: &Loading,
        time: LoadTime,
        replicas: &BTreeMap<String, ReplicaState>,
    ) {
        let size = pool_size(&members(service, replicas));
        self.limits.entry(service.to_owned()).or_default().observe(time, loading.beside, size);
    }

    /// Loads to begin now in one service, of the replicas that may be ordered: those that are furthest behind
    /// first, among them the fullest.
    pub(super) fn next(
        &mut self,
        service: &str,
        replicas: &BTreeMap<String, ReplicaState>,
        gate: &AdmissionGate,
        may_order: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Vec<Load> {
        let all = members(service, replicas);
        let under_way = all.iter().filter(|replica| replica.loading.is_some()).count();
        let members = open_members(all, gate);
        self.assign_models(replicas, &members);
        let limit = self.limits.entry(service.to_owned()).or_default().get(pool_size(&members));
        let free = limit.saturating_sub(under_way);
        let mut wanted: Vec<(u64, u32, Load)> =
            members.iter().filter_map(|replica| self.wanted(replica, now)).collect();
        wanted.retain(|(_, _, load)| may_order(&load.replica));
        wanted.sort_by(|left, right| {
            right.0.cmp(&left.0).then(right.1.cmp(&left.1)).then_with(|| left.2.replica.cmp(&right.2.replica))
        });
        wanted.into_iter().take(free).map(|(_, _, load)| load).collect()
    }

    /// How many replicas of a service can be brought to each version in time; `None` where versions or loads
    /// were not seen yet. More of them only wait for their weights.
    pub(super) fn renewable(
        &self,
        service: &str,
        replicas: &BTreeMap<String, ReplicaState>,
        gate: &AdmissionGate,
    ) -> Option<u32> {
        let members = open_members(members(service, replicas), gate);
        let models = models_of(&members);
        let intervals = models.iter().filter_map(|model| self.named.get(*model)?.interval_s);
        let shortest = intervals.min_by(f64::total_cmp)?;
        let loads_per_second = self.limits.get(service)?.loads_per_second(pool_size(&members))?;
        Some((shortest * loads_per_second) as u32)
    }

    /// The load that a replica needs, with how far it is behind and how much runs there.
    fn wanted(&self, replica: &ReplicaState, now: Timestamp) -> Option<(u64, u32, Load)> {
        if replica.loading.is_some() || replica.record.is_draining {
            return None;
        }
        let assigned = self.assigned.get(&replica.record.id);
        let behind = replica.record.models.keys().filter_map(|model| {
            if assigned.is_some_and(|assigned| assigned != model) {
                return None;
            }
            let named = self.named.get(model)?;
            let lag = named.version.checked_sub(replica.version(model)?)?;
            let is_due = lag > 1 || now >= named.at + LOAD_DELAY;
            (lag > 0 && is_due).then(|| (lag, model.clone(), named.version))
        });
        let (lag, model, version) = behind.max()?;
        let load = Load { replica: replica.record.id.clone(), model, version };
        Some((lag, replica.running, load))
    }

    /// Assigns each replica a model, in proportion to demand, and moves as few as possible.
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
                let model = neediest(&surplus);
                *surplus.entry(model.clone()).or_default() += 1.0;
                self.assigned.insert(replica.record.id.clone(), model);
            }
        }
        self.move_one(&surplus, members);
    }

    /// How many replicas each model should have; at least one.
    fn shares(&self, models: &[&String], replicas: usize) -> BTreeMap<String, f64> {
        let known: Vec<f64> = models.iter().filter_map(|model| self.demand.get(*model).copied()).collect();
        let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
        let demand = |model: &String| self.demand.get(model).copied().unwrap_or(mean).max(1.0);
        let total: f64 = models.iter().map(|model| demand(model)).sum();
        let share = |model: &String| (demand(model) / total * replicas as f64).max(1.0);
        models.iter().map(|model| ((*model).clone(), share(model))).collect()
    }

    /// How many replicas each model has above its share.
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

    /// Moves one replica from the model with most too many, where that brings both nearer to their share.
    fn move_one(&mut self, surplus: &BTreeMap<String, f64>, members: &[&ReplicaState]) {
        let to = neediest(surplus);
        let Some((from, most)) = surplus.iter().max_by(|left, right| left.1.total_cmp(right.1)) else {
            return;
        };
        let least = surplus.get(&to).copied().unwrap_or_default();
        if *most < WORTH_MOVING || least > -WORTH_MOVING {
            return;
        }
        let mut ids = members.iter().map(|member| &member.record.id);
        if let Some(id) = ids.find(|id| self.assigned.get(*id) == Some(from)) {
            self.assigned.insert(id.clone(), to);
        }
    }
}

/// The replicas of a service that have weights.
fn members<'a>(service: &str, replicas: &'a BTreeMap<String, ReplicaState>) -> Vec<&'a ReplicaState> {
    let is_member =
        |replica: &&ReplicaState| replica.record.service == service && !replica.record.models.is_empty();
    replicas.values().filter(is_member).collect()
}

/// Those among them that stand in no evacuated zone.
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

fn pool_size(members: &[&ReplicaState]) -> PoolSize {
    PoolSize { replicas: members.len(), models: models_of(members).len() }
}

/// The model that lacks most replicas.
fn neediest(surplus: &BTreeMap<String, f64>) -> String {
    let least = surplus.iter().min_by(|left, right| left.1.total_cmp(right.1));
    least.map(|(model, _)| model.clone()).unwrap_or_default()
}
