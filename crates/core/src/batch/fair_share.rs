//! Shares the slots of a service between priority levels, tenants and trainers under a shortage.
//!
//! Load pattern: trainers of different priority together need more than the slots can do in time. Strict priority would
//! starve the lowest level, and an even split would make the jobs of all trainers late.
//!
//! - Half of the slots are shared in proportion to the needed work of the levels; the other half goes to the highest
//!   level that has work. Levels are interleaved by weighted virtual time (start-time fair queueing, Goyal et al. 1996),
//!   so what a level does not use goes to the others.
//! - Within a level, trainers take turns. The next turn goes to the tenant that was given the least, and there to the
//!   trainer that was given the least.
//!
//! All state is a hint held by the owner; a new owner starts with equal virtual times.

use std::collections::{BTreeMap, BTreeSet};

use crate::identity::TenantName;

/// The part of the slots that is shared in proportion to the needed work, whatever the priority. No kind of request may
/// be served less than a quarter as often as all together; with a half, the lowest level is not, even where the levels
/// above it take all of the rest.
const PROPORTIONAL_SHARE: f64 = 0.5;
/// Minimum weight of a level, so that rounding never gives a level with work no share at all.
const MIN_WEIGHT: f64 = 1e-6;

/// Returns each level's share of the slots, with sum 1. `demands` are the levels' parts of the needed work, highest
/// priority first, with sum 1. The share of the highest level does not shrink with its remaining work: the last items
/// of its jobs would wait for the longest.
pub fn level_shares(demands: &[f64]) -> Vec<f64> {
    let share = |(level, demand): (usize, &f64)| {
        let by_priority = if level == 0 { 1.0 - PROPORTIONAL_SHARE } else { 0.0 };
        demand * PROPORTIONAL_SHARE + by_priority
    };
    demands.iter().enumerate().map(share).collect()
}

/// Weighted virtual times of the parties that compete for something.
#[derive(Clone, Debug)]
pub struct VirtualTimes<K> {
    times: BTreeMap<K, f64>,
    active: BTreeSet<K>,
}

impl<K> Default for VirtualTimes<K> {
    fn default() -> Self {
        Self { times: BTreeMap::new(), active: BTreeSet::new() }
    }
}

impl<K: Clone + Ord> VirtualTimes<K> {
    /// Sets which parties have work. One that becomes active begins at the minimum virtual time of those that stayed
    /// active, or, when there are none, at the maximum of all: it is not owed anything for the time without work,
    /// except for at most `credit` that it was behind before.
    pub fn set_active(&mut self, active: BTreeSet<K>, credit: f64) {
        let staying = active.intersection(&self.active).filter_map(|key| self.times.get(key).copied());
        let minimum = staying.min_by(f64::total_cmp);
        let maximum = || self.times.values().copied().max_by(f64::total_cmp);
        let floor = (minimum.or_else(maximum).unwrap_or(0.0) - credit).max(0.0);
        for key in active.difference(&self.active) {
            let time = self.times.entry(key.clone()).or_insert(floor);
            *time = time.max(floor);
        }
        // A time at or below the floor says nothing: the party would begin at the floor.
        self.times.retain(|key, time| active.contains(key) || *time > floor);
        self.active = active;
    }

    /// Returns the virtual time of a party.
    pub fn time(&self, key: &K) -> f64 {
        self.times.get(key).copied().unwrap_or(0.0)
    }

    /// Charges a party with work. A party with twice the weight advances half as fast.
    pub fn charge(&mut self, key: &K, work_s: f64, weight: f64) {
        *self.times.entry(key.clone()).or_insert(0.0) += work_s / weight.max(MIN_WEIGHT);
    }

    /// Returns the party with the minimum virtual time, the first of them if several have it.
    pub fn least<'a>(&self, keys: impl Iterator<Item = &'a K>) -> Option<&'a K>
    where
        K: 'a,
    {
        keys.min_by(|left, right| self.time(left).total_cmp(&self.time(right)))
    }
}

/// A trainer: submits the jobs of one tenant, route and model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Trainer {
    /// The tenant; `None` where callers need no key.
    pub tenant: Option<TenantName>,
    /// Name of the route.
    pub route: String,
    /// The model; `None` where items name none.
    pub model: Option<String>,
}

/// A trainer with waiting work.
#[derive(Clone, Debug, PartialEq)]
pub struct Contender {
    /// Priority, 0 being the highest.
    pub priority: u32,
    /// The trainer.
    pub trainer: Trainer,
    /// Its waiting work in slot-seconds.
    pub work_s: f64,
}

/// The turns of the trainers of one priority level.
#[derive(Clone, Debug, Default)]
struct LevelTurns {
    tenants: VirtualTimes<Option<TenantName>>,
    trainers: VirtualTimes<Trainer>,
    /// The trainer whose turn it is, and the work that it was given in this turn.
    turn: Option<(Trainer, f64)>,
}

impl LevelTurns {
    /// Sets which trainers have work. One whose job was due before its turn came keeps up to one quantum of credit, or
    /// else the same trainer would have the first turn each time and take all of the time until the jobs are due.
    fn set_active(&mut self, trainers: BTreeSet<Trainer>, quantum_s: f64) {
        let tenants = trainers.iter().map(|trainer| trainer.tenant.clone()).collect();
        self.tenants.set_active(tenants, quantum_s);
        self.trainers.set_active(trainers, quantum_s);
    }

    /// Returns the trainer whose turn it is; the turn passes on if its quantum is used up or it has no work.
    fn next<'a>(&mut self, ready: &[&'a Contender], quantum_s: f64) -> Option<&'a Trainer> {
        if let Some((holder, given)) = &self.turn
            && *given < quantum_s
            && let Some(contender) = ready.iter().find(|contender| contender.trainer == *holder)
        {
            return Some(&contender.trainer);
        }
        let tenants: BTreeSet<_> = ready.iter().map(|contender| &contender.trainer.tenant).collect();
        let tenant = self.tenants.least(tenants.into_iter())?;
        let of_tenant: BTreeSet<&Trainer> =
            ready.iter().map(|contender| &contender.trainer).filter(|one| one.tenant == *tenant).collect();
        let trainer = self.trainers.least(of_tenant.into_iter())?;
        self.turn = Some((trainer.clone(), 0.0));
        Some(trainer)
    }

    fn charge(&mut self, trainer: &Trainer, work_s: f64) {
        self.tenants.charge(&trainer.tenant, work_s, 1.0);
        self.trainers.charge(trainer, work_s, 1.0);
        if let Some((holder, given)) = &mut self.turn
            && holder == trainer
        {
            *given += work_s;
        }
    }
}

/// Decides which trainer is served next. Lasts over all passes; one instance for each group state, because work that
/// is served while nobody else wants the slots must not count against a trainer's work that can be in time.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    levels: VirtualTimes<u32>,
    turns: BTreeMap<u32, LevelTurns>,
    /// The contenders of the current pass.
    contenders: Vec<Contender>,
    /// Whether each contender still has items to start in this pass.
    ready: Vec<bool>,
    weights: BTreeMap<u32, f64>,
    quantum_s: f64,
}

impl FairQueue {
    /// Begins a pass over the free slots. `quantum_s` is the work that a trainer is given in one turn.
    pub fn begin(&mut self, contenders: Vec<Contender>, quantum_s: f64) {
        let mut demands: BTreeMap<u32, f64> = BTreeMap::new();
        let mut trainers: BTreeMap<u32, BTreeSet<Trainer>> = BTreeMap::new();
        for contender in &contenders {
            *demands.entry(contender.priority).or_default() += contender.work_s;
            trainers.entry(contender.priority).or_default().insert(contender.trainer.clone());
        }
        let total: f64 = demands.values().sum();
        let parts: Vec<f64> = demands.values().map(|work| work / total.max(f64::MIN_POSITIVE)).collect();
        let shares = level_shares(&parts);
        self.weights = demands.keys().copied().zip(shares).collect();
        self.levels.set_active(demands.keys().copied().collect(), 0.0);
        for (level, turns) in &mut self.turns {
            turns.set_active(trainers.remove(level).unwrap_or_default(), quantum_s);
        }
        for (level, trainers) in trainers {
            self.turns.entry(level).or_default().set_active(trainers, quantum_s);
        }
        self.ready = vec![true; contenders.len()];
        self.contenders = contenders;
        self.quantum_s = quantum_s;
    }

    /// Returns the position of the contender that is served next, or `None` when all are exhausted.
    pub fn next_contender(&mut self) -> Option<usize> {
        let ready = self.contenders.iter().zip(&self.ready).filter(|(_, is_ready)| **is_ready);
        let ready: Vec<&Contender> = ready.map(|(contender, _)| contender).collect();
        let levels: BTreeSet<u32> = ready.iter().map(|contender| contender.priority).collect();
        let level = *self.levels.least(levels.iter())?;
        let of_level: Vec<&Contender> =
            ready.into_iter().filter(|contender| contender.priority == level).collect();
        let trainer = self.turns.get_mut(&level)?.next(&of_level, self.quantum_s)?;
        self.contenders.iter().position(|one| one.priority == level && one.trainer == *trainer)
    }

    /// Charges a contender with an item that was started.
    pub fn charge(&mut self, contender: usize, work_s: f64) {
        let Some(Contender { priority, trainer, .. }) = self.contenders.get(contender) else { return };
        let weight = self.weights.get(priority).copied().unwrap_or(1.0);
        self.levels.charge(priority, work_s, weight);
        if let Some(turns) = self.turns.get_mut(priority) {
            turns.charge(trainer, work_s);
        }
    }

    /// Notes that a contender has no more items to start in this pass.
    pub fn exhaust(&mut self, contender: usize) {
        if let Some(is_ready) = self.ready.get_mut(contender) {
            *is_ready = false;
        }
    }
}
