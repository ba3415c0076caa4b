//! The replicas of one pool as one node knows them, with the pool's retry budget and drain rate.
//!
//! Inputs: the machine list, load reports, how requests went, the time and a source of random numbers. Owns
//! what the node knows of each replica and which were probed. Relies on its caller to send probes and
//! requests and to report their ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use crate::identity::{NodeId, ReplicaId, WeightVersion, ZoneName};
use crate::request::answer::Priority;
use crate::retry::backoff::Backoff;
use crate::retry::budget::{BudgetConfig, RetryBudget};
use crate::retry::drain_rate::DrainRate;
use crate::routing::balancer::{self, BalancerConfig, Choice};
use crate::routing::concurrency::ConcurrencyConfig;
use crate::routing::eligibility::{DEFAULT_CONFIRMATION_VALIDITY, Eligibility};
use crate::routing::load::LoadReport;
use crate::routing::replica::Replica;
use crate::routing::subset;
use crate::time::Timestamp;

/// Replicas asked for their role at once when none is confirmed. More than one, as it may be dead.
const PROBES_AT_ONCE: usize = 4;
/// An unanswered probe is not repeated sooner than this: the time-out of a probe.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Replicas that one node uses; docs/decisions/routing.md holds the measurement.
pub const DEFAULT_SUBSET_SIZE: usize = 32;

/// The pause before a retry, with full jitter. A first retry comes at once for the caller, and even the tenth
/// waits no longer than a second.
const ENGINE_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(10), Duration::from_secs(1));

/// How a pool is routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// How long a replica's confirmation that it takes work holds.
    pub confirmation_validity: Duration,
    /// Replicas that one node uses at most; see [`crate::routing::subset`].
    pub subset_size: usize,
    /// How replicas are weighed.
    pub balancer: BalancerConfig,
    /// How many requests are kept at a replica.
    pub concurrency: ConcurrencyConfig,
    /// How many retries are made.
    pub budget: BudgetConfig,
    /// How long to wait before a retry.
    pub backoff: Backoff,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            confirmation_validity: DEFAULT_CONFIRMATION_VALIDITY,
            subset_size: DEFAULT_SUBSET_SIZE,
            balancer: BalancerConfig::default(),
            concurrency: ConcurrencyConfig::default(),
            budget: BudgetConfig::default(),
            backoff: ENGINE_RETRY_BACKOFF,
        }
    }
}

/// A replica as the machine list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// What to route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The prompt's prefix group.
    pub prefix_group: u64,
    /// Who waits.
    pub priority: Priority,
    /// Replicas that are passed over: they have refused this request.
    pub refused_by: &'a [ReplicaId],
    /// Replicas that are passed over while there is another: they have failed this request.
    pub failed_at: &'a [ReplicaId],
    /// Replicas that report older weights are passed over.
    pub minimum_version: Option<WeightVersion>,
}

/// Why no replica was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// None has confirmed lately; these are to be asked, or have been and not answered yet where it is empty.
    Unconfirmed {
        /// The replicas to probe.
        probe: Vec<ReplicaId>,
    },
    /// None takes work.
    NoneEligible,
    /// Each that takes work has refused this request.
    AllRefused,
    /// Each that takes work is at its limit.
    AtLimit,
}

/// The last question for a replica's role.
#[derive(Clone, Copy, Debug)]
struct Probe {
    asked_at: Timestamp,
    answered: bool,
}

/// The replicas of one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    node: NodeId,
    config: PoolConfig,
    replicas: BTreeMap<ReplicaId, Replica>,
    probes: BTreeMap<ReplicaId, Probe>,
    budget: RetryBudget,
    drain_rate: DrainRate,
}

impl Pool {
    /// A pool without replicas, as `node` uses it.
    pub fn new(node: NodeId, config: PoolConfig, now: Timestamp) -> Self {
        Self {
            node,
            config,
            replicas: BTreeMap::new(),
            probes: BTreeMap::new(),
            budget: RetryBudget::new(config.budget, now),
            drain_rate: DrainRate::new(now),
        }
    }

    /// How the pool is routed.
    pub const fn config(&self) -> &PoolConfig {
        &self.config
    }

    /// The replicas.
    pub const fn replicas(&self) -> &BTreeMap<ReplicaId, Replica> {
        &self.replicas
    }

    /// The retries left.
    pub const fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Takes the machine list as it stands.
    pub fn set_listed_replicas(&mut self, listed: impl IntoIterator<Item = ListedReplica>) {
        for replica in self.replicas.values_mut() {
            replica.listed = false;
        }
        for entry in listed {
            let concurrency = self.config.concurrency;
            let replica =
                self.replicas.entry(entry.replica).or_insert_with(|| Replica::new(entry.zone, concurrency));
            replica.listed = true;
            replica.confirmation.set_listed_leaving(entry.leaving);
        }
        self.replicas.retain(|_, replica| replica.listed || replica.load.in_flight() > 0);
        self.choose_subset();
        self.probes.retain(|id, _| self.replicas.contains_key(id));
    }

    /// Changes how the pool is routed. Limits and budgets keep where they stand.
    pub fn reconfigure(&mut self, config: PoolConfig) {
        if config == self.config {
            return;
        }
        self.config = config;
        self.budget.reconfigure(config.budget);
        for replica in self.replicas.values_mut() {
            replica.concurrency.reconfigure(config.concurrency);
        }
        self.choose_subset();
    }

    /// Chooses a replica and counts the request there until [`Pool::release`].
    ///
    /// # Errors
    /// When no replica may take the request now.
    pub fn reserve<R: Rng>(
        &mut self,
        query: &RouteQuery<'_>,
        random: &mut R,
        now: Timestamp,
    ) -> Result<Choice, RouteRefusal> {
        let eligible = self.eligible(query, now);
        if eligible.is_empty() {
            return Err(self.none_eligible(now));
        }
        let willing: Vec<_> = eligible.into_iter().filter(|(id, _)| !query.refused_by.contains(id)).collect();
        if willing.is_empty() {
            return Err(RouteRefusal::AllRefused);
        }
        let with_room: Vec<_> =
            willing.into_iter().filter(|(_, replica)| replica.has_room(query.priority)).collect();
        let fresh: Vec<_> =
            with_room.iter().filter(|(id, _)| !query.failed_at.contains(id)).copied().collect();
        let candidates = if fresh.is_empty() { &with_room } else { &fresh };
        let choice = balancer::choose(&self.config.balancer, candidates, query.prefix_group, random);
        let choice = choice.ok_or(RouteRefusal::AtLimit)?;
        if let Some(replica) = self.replicas.get_mut(&choice.replica) {
            replica.load.record_sent(now);
            replica.prefixes.insert(query.prefix_group);
        }
        Ok(choice)
    }

    /// Ends what [`Pool::reserve`] began.
    pub fn release(&mut self, id: &ReplicaId, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.load.record_finished(now);
        }
    }

    /// Takes a load report that came in the answer to a question sent at `asked_at`.
    pub fn observe(&mut self, id: &ReplicaId, asked_at: Timestamp, report: LoadReport, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.observe(asked_at, report, now);
        }
        self.probe_answered(id);
    }

    /// Notes the time to the first token of a request.
    pub fn record_first_token(&mut self, id: &ReplicaId, priority: Priority, took: Duration, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            let in_flight = replica.load.in_flight();
            replica.concurrency.record_first_token(priority, took, in_flight, now);
        }
    }

    /// Notes that a request came to its end.
    pub fn record_completion(&mut self, now: Timestamp) {
        self.drain_rate.record_completion(now);
    }

    /// Notes that a replica refused for load.
    pub fn record_overload(&mut self, id: &ReplicaId, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.concurrency.record_overload(now);
        }
    }

    /// Notes that a replica could not be reached or broke off: it has to confirm anew.
    pub fn record_failure(&mut self, id: &ReplicaId, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.concurrency.record_overload(now);
            replica.confirmation.record_failure();
        }
        self.probe_answered(id);
    }

    /// Notes that a replica did not answer a probe.
    pub fn record_probe_failure(&mut self, id: &ReplicaId) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.confirmation.record_failure();
        }
        self.probe_answered(id);
    }

    /// When a refused caller should come back, from the rate at which requests drain.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        let ahead = self.replicas.values().map(|replica| replica.load.in_flight()).sum();
        self.drain_rate.retry_after(now, ahead)
    }

    /// Replicas whose confirmation runs out soon, each at most once in a while.
    pub fn due_probes(&mut self, now: Timestamp, most: usize) -> Vec<ReplicaId> {
        let holds = self.config.confirmation_validity;
        let used = self.replicas.iter().filter(|(_, replica)| replica.in_subset);
        let wanting = used.filter(|(_, replica)| replica.confirmation.needs_probe(now, holds));
        let due = wanting
            .filter(|(id, _)| self.probes.get(*id).is_none_or(|probe| now >= probe.asked_at + PROBE_PAUSE));
        let due: Vec<ReplicaId> = due.map(|(id, _)| id.clone()).take(most).collect();
        for id in &due {
            self.probes.insert(id.clone(), Probe { asked_at: now, answered: false });
        }
        due
    }

    /// Draws the subset anew among the replicas that are listed and not listed as leaving.
    fn choose_subset(&mut self) {
        let staying = self.replicas.iter().filter(|(_, replica)| replica.may_be_used());
        let ids = staying.map(|(id, _)| id);
        let chosen: BTreeSet<ReplicaId> =
            subset::choose(&self.node, ids, self.config.subset_size).into_iter().cloned().collect();
        for (id, replica) in &mut self.replicas {
            replica.in_subset = chosen.contains(id);
        }
    }

    fn eligible(&self, query: &RouteQuery<'_>, now: Timestamp) -> Vec<(&ReplicaId, &Replica)> {
        let holds = self.config.confirmation_validity;
        let eligible = self.replicas.iter().filter(|(_, replica)| {
            replica.in_subset
                && replica.confirmation.eligibility(now, holds) == Eligibility::Eligible
                && !replica.is_older_than(query.minimum_version)
        });
        eligible.collect()
    }

    fn none_eligible(&mut self, now: Timestamp) -> RouteRefusal {
        let probe = self.due_probes(now, PROBES_AT_ONCE);
        let unanswered =
            self.probes.values().any(|probe| !probe.answered && now < probe.asked_at + PROBE_PAUSE);
        if probe.is_empty() && !unanswered {
            return RouteRefusal::NoneEligible;
        }
        RouteRefusal::Unconfirmed { probe }
    }

    fn probe_answered(&mut self, id: &ReplicaId) {
        if let Some(probe) = self.probes.get_mut(id) {
            probe.answered = true;
        }
    }
}
