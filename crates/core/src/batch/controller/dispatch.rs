//! Starts the items of services with a shortage: groups that can be in time first, in shares and turns.
//!
//! The order applies only where open jobs or routes of a service have different priorities and the waiting work drains
//! too slowly ([`crate::batch::shortage`]). All state here is a hint that is lost with the owner; a new owner assumes a
//! usual time for each item until its first items complete.

use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use super::backlog::{Pool, priority};
use super::jobs::expected_tokens;
use super::starting::JobClasses;
use super::{Controller, LiveItem};
use crate::batch::dispatch_order::{GroupState, IncompleteGroup, Lane, Pick, WaitingItem};
use crate::batch::fair_share::{Contender, FairQueue, Trainer};
use crate::batch::schedule::ReplicaState;
use crate::batch::work_estimate::{DecayingSum, WorkEstimates};
use crate::identity::BatchId;
use crate::time::Timestamp;

/// Urgency of an item where all jobs have the same priority (0 is the most urgent, 9 the least).
const DEFAULT_URGENCY: u8 = 5;
/// Urgency of the items of the highest priority level; the other levels follow.
const HIGHEST_URGENCY: u8 = 4;
const LOWEST_URGENCY: u8 = 9;
/// Minimum interval between two passes during a shortage. Each pass looks at all open items, of which there may be
/// thousands, while hundreds of runs end in a second; a slot that waits half of this time loses one or two percent of
/// a run.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(20);
/// How long a shortage counts after a pass that saw one. Passes with free slots are far more frequent in a shortage.
const SHORTAGE_VALIDITY: Duration = Duration::from_millis(500);
/// Pace of a replica, relative to the mean of its service, from which on it is not given the longest items. Measured
/// paces of similar replicas vary by some percent.
const SLOW_REPLICA_RATIO: f64 = 1.15;

/// What the owner remembers between passes over the waiting items.
#[derive(Default)]
pub(super) struct Dispatch {
    pub(super) estimates: WorkEstimates,
    /// For each pool of services, the queue of each group state.
    queues: BTreeMap<String, BTreeMap<GroupState, FairQueue>>,
    /// The priority levels of services with more than one, as of the last pass.
    levels: BTreeMap<String, BTreeSet<u32>>,
    /// The services with a shortage in which the last pass left slots idle, because no waiting item can use them.
    idle_services: BTreeSet<String>,
    /// The services in which items wait for the next free slot, as of the last search for runs to move.
    awaited_services: BTreeSet<String>,
    /// Work recently given to each trainer, by the first service of its route.
    pub(super) grants: BTreeMap<String, BTreeMap<Trainer, DecayingSum>>,
    /// Number of jobs refused since this owner took over.
    pub(super) refused_jobs: u64,
    /// When the next pass may begin, as long as the shortage lasts.
    next_pass_at: Timestamp,
    /// Until when the shortage seen by the last pass counts.
    short_until: Timestamp,
}

impl Dispatch {
    /// Returns whether the next pass has to wait. Slots that become free meanwhile are filled together.
    pub(super) fn defers_pass(&self, now: Timestamp) -> bool {
        now < self.next_pass_at
    }

    /// Lets the next pass begin now, and returns whether it would have had to wait.
    pub(super) fn end_deferral(&mut self, now: Timestamp) -> bool {
        let is_deferred = self.defers_pass(now);
        self.next_pass_at = self.next_pass_at.min(now);
        is_deferred
    }

    /// Notes that all slots are in use.
    pub(super) fn clear_idle_services(&mut self) {
        self.idle_services.clear();
    }
}

/// The waiting items of a pool in the order in which they are started.
struct PoolPlan {
    name: String,
    services: BTreeSet<String>,
    /// The jobs, by the indices that the lanes use.
    batches: Vec<BatchId>,
    lanes: BTreeMap<GroupState, Vec<(Contender, Lane)>>,
    quantum_s: f64,
}

impl Controller {
    /// Returns whether there is a shortage in which work is started in shares.
    pub fn is_short(&self, now: Timestamp) -> bool {
        now < self.dispatch.short_until
    }

    /// Starts waiting items of pools with a shortage, and returns the jobs of these pools.
    pub(super) fn start_items_of_short_pools(&mut self, now: Timestamp) -> HashSet<BatchId> {
        let mut full = HashSet::new();
        let plans = self.plan_short_pools(now, &mut full);
        let mut planned = full;
        if !plans.is_empty() {
            self.dispatch.next_pass_at = now + MIN_PASS_INTERVAL;
            self.dispatch.short_until = now + SHORTAGE_VALIDITY;
        }
        for plan in plans {
            planned.extend(plan.batches.iter().cloned());
            self.start_planned(now, plan);
        }
        planned
    }

    /// Plans the pools with a shortage and free slots. Adds the jobs of pools without free slots to `full`: nothing of
    /// theirs can start, so their waiting items, of which there may be thousands, are not looked at.
    fn plan_short_pools(&mut self, now: Timestamp, full: &mut HashSet<BatchId>) -> Vec<PoolPlan> {
        let mut pools = self.pools_with_levels(now);
        let levels = |pool: &Pool<'_>| {
            let services = pool.services.iter().map(|service| (*service).to_owned());
            let priorities = pool.priorities.clone();
            services.map(move |service| (service, priorities.clone())).collect::<Vec<_>>()
        };
        let levels = pools.iter().flat_map(levels).collect();
        pools.retain(|pool| {
            let has_free_slot = self.has_free_slot_in(&pool.services);
            if !has_free_slot {
                full.extend(pool.jobs.iter().map(|job| job.batch.clone()));
            }
            has_free_slot
        });
        let mut plans = Vec::new();
        if !pools.is_empty() {
            self.add_items(now, &mut pools);
            pools.retain(|pool| pool.backlog().is_short());
        }
        if !pools.is_empty() {
            let classes = self.open_classes(now);
            plans.extend(pools.into_iter().map(|pool| PoolPlan::new(pool, &classes)));
        }
        self.dispatch.levels = levels;
        self.dispatch.idle_services.clear();
        plans
    }

    fn start_planned(&mut self, now: Timestamp, plan: PoolPlan) {
        let PoolPlan { name, services, batches, lanes, quantum_s } = plan;
        let mut queues = self.dispatch.queues.remove(&name).unwrap_or_default();
        let mut pass = Pass { services, batches, full_classes: HashSet::new() };
        for (state, lanes) in lanes {
            let (contenders, mut lanes): (Vec<_>, Vec<_>) = lanes.into_iter().unzip();
            let queue = queues.entry(state).or_default();
            queue.begin(contenders, quantum_s);
            self.serve(now, &mut pass, queue, &mut lanes);
        }
        let free = self.replicas.values().filter(|state| state.has_free_slot());
        let idle: BTreeSet<&str> = free.map(|state| state.record.service.as_str()).collect();
        pass.services.retain(|service| idle.contains(service.as_str()));
        self.dispatch.idle_services.append(&mut pass.services);
        self.dispatch.queues.insert(name, queues);
    }

    /// Starts items in the order of a queue while there are free slots.
    fn serve(&mut self, now: Timestamp, pass: &mut Pass, queue: &mut FairQueue, lanes: &mut [Lane]) {
        while let Some(pick) = self.pick_for_free_slot(&pass.services) {
            let Some(contender) = queue.next_contender() else { return };
            let next = lanes.get_mut(contender).and_then(|lane| pass.next_startable(lane, pick));
            let Some((job, waiting, class)) = next else {
                queue.exhaust(contender);
                continue;
            };
            let Some(batch) = pass.batches.get(job) else { continue };
            if self.start_item(now, batch, waiting.item) {
                queue.charge(contender, waiting.work_s);
            } else if !self.has_capacity_for_class(now, batch, waiting.item) {
                pass.full_classes.insert(class);
            }
        }
    }

    /// Returns which items suit the fastest replica with a free slot, or `None` if no slot is free.
    fn pick_for_free_slot(&self, services: &BTreeSet<String>) -> Option<Pick> {
        let states = || self.replicas.values().filter(|state| services.contains(&state.record.service));
        let free = states().filter(|state| state.has_free_slot());
        let fastest = free.map(|state| state.expected_pace(&self.paces)).min_by(f64::total_cmp)?;
        let (sum, count) = states()
            .fold((0.0, 0.0), |(sum, count), state| (sum + state.expected_pace(&self.paces), count + 1.0));
        Some(if fastest > sum / count * SLOW_REPLICA_RATIO { Pick::Shortest } else { Pick::Longest })
    }

    fn has_free_slot_in<S>(&self, services: &BTreeSet<S>) -> bool
    where
        S: Borrow<str> + Ord,
    {
        let service = |state: &&ReplicaState| services.contains(state.record.service.as_str());
        let mut states = self.replicas.values().filter(service);
        states.any(ReplicaState::has_free_slot)
    }

    /// Returns the urgency that is sent with the items of a job.
    pub(super) fn urgency(&self, batch: &BatchId) -> u8 {
        let level = || {
            let (state, route) = (self.ledger.job(batch)?, self.route(batch)?);
            let levels = self.dispatch.levels.get(&route.services.first()?.service)?;
            let priority = priority(self.routes.as_deref()?, route, &state.job);
            Some(levels.range(..priority).count())
        };
        level().map_or(DEFAULT_URGENCY, |level| {
            let level = u8::try_from(level).unwrap_or(LOWEST_URGENCY);
            HIGHEST_URGENCY.saturating_add(level).min(LOWEST_URGENCY)
        })
    }

    /// Determines in which services items wait for the next free slot. A run that moves would take it from them.
    pub(super) fn find_awaited_services(&mut self, now: Timestamp) {
        let mut pools = self.pools_with_levels(now);
        if !pools.is_empty() && self.items.values().any(LiveItem::is_waiting) {
            self.add_items(now, &mut pools);
            pools.retain(|pool| pool.backlog().is_short());
        } else {
            pools.clear();
        }
        let services = pools.iter().flat_map(|pool| &pool.services).copied();
        let is_awaited = |service: &&str| !self.dispatch.idle_services.contains(*service);
        self.dispatch.awaited_services = services.filter(is_awaited).map(str::to_owned).collect();
    }

    /// Returns whether items wait for the next free slot of a service.
    pub(super) fn is_slot_awaited(&self, service: &str) -> bool {
        self.dispatch.awaited_services.contains(service)
    }

    /// Learns from an item whose text is complete how much work its expected tokens are.
    pub(super) fn observe_work(&mut self, now: Timestamp, replica: &str, batch: &BatchId, item: u32) {
        let Some(request) = self.item(batch, item) else { return };
        let tokens = expected_tokens(request);
        let Some(live) = self.items.get(&(batch.clone(), item)) else { return };
        let Some(state) = self.replicas.get(replica).filter(|_| !live.has_earlier_events) else { return };
        self.dispatch.estimates.observe(&state.record.service, tokens, live.ran, now);
    }

    /// Learns from a listed item how long scoring takes.
    pub(super) fn observe_scoring(&mut self, now: Timestamp, batch: &BatchId, item: u32) {
        let has_scorer = self.item(batch, item).is_some_and(|item| item.scorer.is_some());
        let live = self.items.get(&(batch.clone(), item)).filter(|_| has_scorer);
        if let Some(completed_at) = live.and_then(|live| live.completed_at) {
            self.dispatch.estimates.observe_scoring(now.saturating_since(completed_at));
        }
    }
}

/// What one pass over a pool keeps.
struct Pass {
    services: BTreeSet<String>,
    batches: Vec<BatchId>,
    /// Classes of items for which no replica has capacity.
    full_classes: HashSet<usize>,
}

impl Pass {
    /// Removes items from a lane up to the first one that a replica may have capacity for, and returns that one with
    /// the index of its job and its class.
    fn next_startable(&self, lane: &mut Lane, pick: Pick) -> Option<(usize, WaitingItem, usize)> {
        loop {
            let (job, waiting) = lane.next_item(pick)?;
            if let Some(class) = waiting.class.filter(|class| !self.full_classes.contains(class)) {
                return Some((job, waiting, class));
            }
        }
    }
}

impl PoolPlan {
    fn new(pool: Pool<'_>, classes: &HashMap<&BatchId, JobClasses<'_>>) -> Self {
        let backlog = pool.backlog();
        let mut plan = Self {
            name: pool.name().to_owned(),
            services: pool.services.iter().map(|service| (*service).to_owned()).collect(),
            batches: pool.jobs.iter().map(|job| job.batch.clone()).collect(),
            lanes: BTreeMap::new(),
            quantum_s: backlog.capacity_s() / pool.trainers().max(1) as f64,
        };
        for state in GroupState::ALL {
            plan.lanes.insert(state, Vec::new());
        }
        for (index, job) in pool.jobs.into_iter().enumerate() {
            // Nothing of this job can be started, so its trainer does not take turns.
            let Some(classes) = classes.get(job.batch) else { continue };
            let accepted_at_ms = job.state.accepted_at_ms;
            let mut by_state: BTreeMap<GroupState, Vec<IncompleteGroup>> = BTreeMap::new();
            for (mut group, state) in job.groups.into_iter().zip(job.states) {
                for waiting in &mut group.waiting {
                    let request = job.state.job.items.get(waiting.item as usize);
                    waiting.class = request.and_then(|request| classes.class(request.model.as_deref()));
                }
                if !group.waiting.is_empty() {
                    by_state.entry(state).or_default().push(group);
                }
            }
            for (state, groups) in by_state {
                plan.lane(state, job.priority, &job.trainer).add(accepted_at_ms, index, groups);
            }
        }
        for (contender, lane) in plan.lanes.values_mut().flatten() {
            contender.work_s = lane.work_s();
        }
        plan
    }

    /// Returns the lane of a trainer, a new one if it has none.
    fn lane(&mut self, state: GroupState, priority: u32, trainer: &Trainer) -> &mut Lane {
        let lanes = self.lanes.entry(state).or_default();
        let is_own = |(one, _): &(Contender, Lane)| one.priority == priority && one.trainer == *trainer;
        let position = lanes.iter().position(is_own).unwrap_or_else(|| {
            let contender = Contender { priority, trainer: trainer.clone(), work_s: 0.0 };
            lanes.push((contender, Lane::default()));
            lanes.len() - 1
        });
        &mut lanes[position].1
    }
}
