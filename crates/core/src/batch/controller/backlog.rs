//! The open work of the services, grouped by jobs and groups.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::jobs::expected_tokens;
use super::{Controller, ItemStage, LiveItem};
use crate::batch::dispatch_order::{GroupState, IncompleteGroup, WaitingItem, group_states};
use crate::batch::fair_share::{Trainer, level_shares};
use crate::batch::group_tally::GroupTally;
use crate::batch::job::{BatchItem, BatchJob};
use crate::batch::ledger::JobState;
use crate::batch::shortage::Backlog;
use crate::batch::work_estimate::{DEFAULT_ITEM_S, remaining_s};
use crate::identity::BatchId;
use crate::ingress::routes::{Route, RouteKind, RouteTable};
use crate::ingress::tenants::Tenant;
use crate::time::{Timestamp, whole_millis};

/// The services that share routes, and thus their open jobs. Usually a single one.
pub(super) struct Pool<'a> {
    pub(super) services: BTreeSet<&'a str>,
    /// The distinct priorities in use, highest first.
    pub(super) priorities: BTreeSet<u32>,
    /// Number of usable slots.
    pub(super) slots: u32,
    pub(super) jobs: Vec<OpenJob<'a>>,
}

/// An open job.
pub(super) struct OpenJob<'a> {
    pub(super) batch: &'a BatchId,
    pub(super) state: &'a JobState,
    pub(super) route: &'a Route,
    tally: &'a GroupTally,
    pub(super) priority: u32,
    pub(super) trainer: Trainer,
    /// Time until it is due in seconds; negative afterwards.
    left_s: f64,
    /// Slot-seconds per expected token.
    seconds_per_token: f64,
    /// Whether that was measured; otherwise it is a guess.
    is_measured: bool,
    pub(super) running: u32,
    /// Its incomplete groups in the order of their positions, then the items without a group.
    pub(super) groups: Vec<IncompleteGroup>,
    /// The state of each of these.
    pub(super) states: Vec<GroupState>,
}

impl Pool<'_> {
    /// Returns the name under which the pool is known: the first of its services.
    pub(super) fn name(&self) -> &str {
        self.services.first().copied().unwrap_or_default()
    }

    /// Returns whether jobs of different priorities compete. Otherwise the usual order applies.
    pub(super) fn has_levels(&self) -> bool {
        self.priorities.len() > 1
    }

    /// Returns the waiting work that the open jobs need.
    pub(super) fn backlog(&self) -> Backlog {
        let open = || self.jobs.iter().filter(|job| !job.groups.is_empty());
        let due = open().map(|job| job.route.due).min().unwrap_or_default();
        let work: f64 = open().map(OpenJob::needed_s).sum();
        Backlog { work_s: work, slots: self.slots, due_s: due.as_secs_f64() }
    }

    /// Returns whether the work of items was measured.
    pub(super) fn is_measured(&self) -> bool {
        self.jobs.iter().any(|job| job.is_measured)
    }

    /// Returns the part of the slots that each trainer can count on while all trainers have work, by priority and
    /// trainer: the share of its level, split evenly between the trainers of the level. Only work that can be in time
    /// counts, because late work takes no share from it.
    pub(super) fn trainer_shares(&self) -> BTreeMap<(u32, &Trainer), f64> {
        let mut levels: BTreeMap<u32, (f64, BTreeSet<&Trainer>)> = BTreeMap::new();
        for (job, work_s) in self.jobs.iter().map(|job| (job, job.in_time_s())) {
            if work_s > 0.0 {
                let (work, trainers) = levels.entry(job.priority).or_default();
                *work += work_s;
                trainers.insert(&job.trainer);
            }
        }
        let total: f64 = levels.values().map(|(work, _)| work).sum();
        let demands: Vec<f64> = levels.values().map(|(work, _)| work / total).collect();
        let shares = level_shares(&demands);
        let mut trainer_shares = BTreeMap::new();
        for ((priority, (_, trainers)), share) in levels.iter().zip(shares) {
            let each = share / trainers.len() as f64;
            trainer_shares.extend(trainers.iter().map(|trainer| ((*priority, *trainer), each)));
        }
        trainer_shares
    }

    /// Returns the number of trainers with waiting work that they need.
    pub(super) fn trainers(&self) -> usize {
        let needing = self.jobs.iter().filter(|job| job.needed_s() > 0.0);
        needing.map(|job| &job.trainer).collect::<BTreeSet<_>>().len()
    }
}

impl OpenJob<'_> {
    /// Returns the groups with their states.
    pub(super) fn groups_with_states(&self) -> impl Iterator<Item = (&IncompleteGroup, GroupState)> {
        self.groups.iter().zip(self.states.iter().copied())
    }

    /// Returns the estimated work of the waiting items of groups that can be in time, in slot-seconds.
    pub(super) fn in_time_s(&self) -> f64 {
        let in_time = self.groups_with_states().filter(|(_, state)| *state == GroupState::InTime);
        in_time.map(|(group, _)| group.waiting_s()).sum()
    }

    /// Returns the estimated work of the waiting items that the trainer needs, in slot-seconds.
    pub(super) fn needed_s(&self) -> f64 {
        let needed = self.groups_with_states().filter(|(_, state)| *state != GroupState::Surplus);
        needed.map(|(group, _)| group.waiting_s()).sum()
    }

    /// Adds an item, of which all runs together took `ran` so far. Items without a group are appended behind the groups.
    fn add(&mut self, item: u32, request: &BatchItem, live: &LiveItem, ran: Duration, scoring_delay_s: f64) {
        let position = self.tally.group(item).unwrap_or_else(|| {
            self.groups.push(IncompleteGroup::default());
            self.groups.len() - 1
        });
        let is_generating = live.stage == ItemStage::Generating;
        let estimate_s = self.seconds_per_token * expected_tokens(request) as f64;
        let work_s = if is_generating { remaining_s(estimate_s, ran) } else { 0.0 };
        let scoring_s = if request.scorer.is_some() { scoring_delay_s } else { 0.0 };
        self.running += u32::from(live.run.is_some());
        let Some(group) = self.groups.get_mut(position) else { return };
        group.is_started |= live.was_started();
        group.finish_s = group.finish_s.max(work_s + scoring_s);
        if live.is_waiting() {
            group.waiting.push(WaitingItem { item, work_s, class: None });
        }
    }

    /// Removes complete groups and determines the states of the others.
    fn finish(&mut self) {
        let tally = self.tally;
        // Sums of floating-point numbers depend on the order, and the items are added in the order of a hash map.
        for group in &mut self.groups {
            group.waiting.sort_unstable_by_key(|waiting| waiting.item);
        }
        if let Some(ungrouped) = self.groups.get_mut(tally.groups()..) {
            ungrouped.sort_by_key(|group| group.waiting.first().map(|waiting| waiting.item));
        }
        let mut position = 0;
        self.groups.retain(|_| {
            position += 1;
            position > tally.groups() || tally.remaining(position - 1) > 0
        });
        let complete = tally.complete_groups() as u64;
        let missing = self.state.job.desired_groups.map(|desired| desired.saturating_sub(complete));
        self.states = group_states(&self.groups, missing, self.left_s);
    }
}

impl Controller {
    /// Returns the pools of services that have open jobs, without the items of the jobs.
    pub(super) fn pools_with_jobs(&self, now: Timestamp) -> Vec<Pool<'_>> {
        let Some(routes) = self.routes.as_deref() else { return Vec::new() };
        self.with_jobs(now, routes, pools_of(routes))
    }

    /// Returns the pools with open jobs in which jobs of different priorities compete, without the items of the jobs.
    /// Where there are none, which is usual, the groups of the jobs are not looked at.
    pub(super) fn pools_with_levels(&self, now: Timestamp) -> Vec<Pool<'_>> {
        let Some(routes) = self.routes.as_deref() else { return Vec::new() };
        let mut pools = pools_of(routes);
        for batch in self.tallies.keys() {
            let Some((state, route)) = self.ledger.job(batch).zip(self.route(batch)) else { continue };
            if let Some(pool) = pool_of(&mut pools, route) {
                pool.priorities.insert(priority(routes, route, &state.job));
            }
        }
        pools.retain(Pool::has_levels);
        self.with_jobs(now, routes, pools)
    }

    /// Adds the open jobs to their pools, and drops pools without any.
    fn with_jobs<'a>(
        &'a self,
        now: Timestamp,
        routes: &'a RouteTable,
        mut pools: Vec<Pool<'a>>,
    ) -> Vec<Pool<'a>> {
        if pools.is_empty() {
            return pools;
        }
        for batch in self.tallies.keys() {
            let Some(job) = self.open_job(now, routes, batch) else { continue };
            if let Some(pool) = pool_of(&mut pools, job.route) {
                pool.priorities.insert(job.priority);
                pool.jobs.push(job);
            }
        }
        pools.retain(|pool| !pool.jobs.is_empty());
        for pool in &mut pools {
            pool.slots = self.usable_slots(&pool.services);
            pool.jobs.sort_by_key(|job| (job.state.accepted_at_ms, job.batch));
        }
        pools
    }

    fn open_job<'a>(
        &'a self,
        now: Timestamp,
        routes: &'a RouteTable,
        batch: &'a BatchId,
    ) -> Option<OpenJob<'a>> {
        let (state, tally) = (self.ledger.job(batch)?, self.tallies.get(batch)?);
        let route = routes.by_name(&state.job.route)?;
        let age_ms = self.clock_ms(now).saturating_sub(state.accepted_at_ms);
        let services = route.services.iter().map(|part| part.service.as_str());
        let groups = |number| IncompleteGroup {
            is_group: true,
            is_required: tally.is_required(number),
            is_started: tally.has_listed(number),
            ..IncompleteGroup::default()
        };
        let measured = self.dispatch.estimates.seconds_per_token(services);
        Some(OpenJob {
            batch,
            state,
            route,
            tally,
            priority: priority(routes, route, &state.job),
            trainer: trainer_of(&state.job),
            left_s: (whole_millis(route.due) as f64 - age_ms as f64) / 1_000.0,
            seconds_per_token: measured.unwrap_or_else(|| default_seconds_per_token(state)),
            is_measured: measured.is_some(),
            running: 0,
            groups: (0..tally.groups()).map(groups).collect(),
            states: Vec::new(),
        })
    }

    /// Adds the open items to the jobs of the pools, and determines the states of their groups.
    pub(super) fn add_items(&self, now: Timestamp, pools: &mut [Pool<'_>]) {
        let mut jobs: HashMap<&BatchId, &mut OpenJob<'_>> = HashMap::new();
        for job in pools.iter_mut().flat_map(|pool| &mut pool.jobs) {
            jobs.insert(job.batch, job);
        }
        let scoring_delay_s = self.dispatch.estimates.scoring_delay_s();
        for ((batch, item), live) in &self.items {
            let Some(job) = jobs.get_mut(batch) else { continue };
            let Some(request) = job.state.job.items.get(*item as usize) else { continue };
            let run = live.run.and_then(|run| self.runs.get(&run));
            let current = run.map(|run| now.saturating_since(run.started_at)).unwrap_or_default();
            job.add(*item, request, live, live.ran + current, scoring_delay_s);
        }
        jobs.into_values().for_each(OpenJob::finish);
    }

    /// Counts the slots of the services' replicas that can be used.
    fn usable_slots(&self, services: &BTreeSet<&str>) -> u32 {
        let records = self.replicas.values().map(|state| &*state.record);
        let records = records.filter(|record| services.contains(record.service.as_str()));
        let is_usable = |zone: &str| self.config.regions.allows_zone(&self.config.zones, zone);
        let usable = records.filter(|record| !record.is_draining && is_usable(&record.zone));
        let open = usable.filter(|record| !self.gate.is_evacuated(record));
        open.map(|record| record.slots).fold(0, u32::saturating_add)
    }
}

/// Returns the slot-seconds per expected token of a job if nothing was measured: its items take the default time on
/// average.
fn default_seconds_per_token(state: &JobState) -> f64 {
    let tokens: u64 = state.job.items.iter().map(expected_tokens).sum();
    DEFAULT_ITEM_S * state.job.items.len() as f64 / tokens.max(1) as f64
}

/// Returns the sets of services that batch routes share, with the priorities of the routes.
fn pools_of(routes: &RouteTable) -> Vec<Pool<'_>> {
    let mut pools: Vec<Pool<'_>> = Vec::new();
    for route in routes.routes.iter().filter(|route| route.kind == RouteKind::Batch) {
        let services: BTreeSet<&str> = route.services.iter().map(|part| part.service.as_str()).collect();
        let priorities = BTreeSet::from_iter(uses_own_priority(routes, route).then_some(route.priority));
        let mut merged = Pool { services, priorities, slots: 0, jobs: Vec::new() };
        let is_apart = |pool: &Pool<'_>| pool.services.is_disjoint(&merged.services);
        let (apart, joined): (Vec<_>, Vec<_>) = pools.into_iter().partition(is_apart);
        for pool in joined {
            merged.services.extend(pool.services);
            merged.priorities.extend(pool.priorities);
        }
        pools = apart;
        pools.push(merged);
    }
    pools
}

/// Returns the pool to which the jobs of a route belong.
fn pool_of<'a, 'b>(pools: &'b mut [Pool<'a>], route: &Route) -> Option<&'b mut Pool<'a>> {
    let first = route.services.first()?.service.as_str();
    pools.iter_mut().find(|pool| pool.services.contains(first))
}

/// Returns whether there are callers to whose jobs the priority of the route itself applies.
fn uses_own_priority(routes: &RouteTable, route: &Route) -> bool {
    let has_none = |tenants: &[Tenant]| tenants.iter().any(|tenant| tenant.priority.is_none());
    route.is_public || routes.tenants.as_ref().is_none_or(|directory| has_none(directory.tenants()))
}

/// Returns the priority of a job: that of its tenant, or else that of its route.
pub(super) fn priority(routes: &RouteTable, route: &Route, job: &BatchJob) -> u32 {
    let tenant = job.tenant.as_ref();
    let tenant = tenant.and_then(|name| routes.tenants.as_ref()?.by_name(name));
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Returns the trainer that submitted a job.
pub(super) fn trainer_of(job: &BatchJob) -> Trainer {
    let model = job.items.first().and_then(|item| item.model.clone());
    Trainer { tenant: job.tenant.clone(), route: job.route.clone(), model }
}
