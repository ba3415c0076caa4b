//! One node's view of the replicas of a pool, with the pool's retry budget and drain rate.
//!
//! [`Pool`] holds the state of each replica and of its probes. The caller sends the probes and requests, and
//! reports their results.

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

/// Maximum number of replicas probed for one request when none is confirmed; more than one, since some may be
/// down.
const MAX_PROBES_PER_REQUEST: usize = 4;
/// Minimum time between two probes of a replica; equals the timeout of a probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Default number of replicas that one node uses; see docs/decisions/routing.md.
pub const DEFAULT_SUBSET_SIZE: usize = 32;

/// Backoff between retries, with full jitter.
const ENGINE_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(10), Duration::from_secs(1));

/// Configures the routing of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// How long a replica's confirmation that it accepts work is valid.
    pub confirmation_validity: Duration,
    /// Maximum number of replicas that one node uses; see [`crate::routing::subset`].
    pub subset_size: usize,
    /// Configures the choice among replicas.
    pub balancer: BalancerConfig,
    /// Limits the concurrent requests at each replica.
    pub concurrency: ConcurrencyConfig,
    /// Limits the retries of the pool.
    pub budget: BudgetConfig,
    /// Delays between retries.
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
    /// The replica's id.
    pub replica: ReplicaId,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// The properties of a request that determine its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The prompt's prefix group.
    pub prefix_group: u64,
    /// The request's priority.
    pub priority: Priority,
    /// Replicas that have refused this request; they are excluded.
    pub refused_by: &'a [ReplicaId],
    /// Replicas that have failed this request; they are used only if no other one is available.
    pub failed_at: &'a [ReplicaId],
    /// Minimum version of the weights; replicas that report an older one are excluded.
    pub minimum_version: Option<WeightVersion>,
}

/// Why no replica was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No replica has a valid confirmation.
    Unconfirmed {
        /// The replicas to probe now; empty while earlier probes are unanswered.
        probe: Vec<ReplicaId>,
    },
    /// No replica accepts work.
    NoneEligible,
    /// Every eligible replica has refused this request.
    AllRefused,
    /// Every eligible replica is at its concurrency limit.
    AtLimit,
}

/// The last probe of a replica.
#[derive(Clone, Copy, Debug)]
struct Probe {
    asked_at: Timestamp,
    answered: bool,
}

/// One node's view of the replicas of a pool.
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
    /// Creates an empty pool for `node`.
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

    /// Returns the configuration.
    pub const fn config(&self) -> &PoolConfig {
        &self.config
    }

    /// Returns the replicas.
    pub const fn replicas(&self) -> &BTreeMap<ReplicaId, Replica> {
        &self.replicas
    }

    /// Returns the retry budget.
    pub const fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Replaces the replicas by those of the machine list. Replicas that are no longer listed are kept while
    /// they have requests in flight.
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

    /// Replaces the configuration; current limits and balances are kept within the new bounds.
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

    /// Chooses a replica and counts the request as in flight there until [`Pool::release`].
    ///
    /// # Errors
    /// Returns the reason if no replica can take the request now.
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
        let not_refused: Vec<_> =
            eligible.into_iter().filter(|(id, _)| !query.refused_by.contains(id)).collect();
        if not_refused.is_empty() {
            return Err(RouteRefusal::AllRefused);
        }
        let with_room: Vec<_> =
            not_refused.into_iter().filter(|(_, replica)| replica.has_room(query.priority)).collect();
        let not_failed: Vec<_> =
            with_room.iter().filter(|(id, _)| !query.failed_at.contains(id)).copied().collect();
        let candidates = if not_failed.is_empty() { &with_room } else { &not_failed };
        let choice = balancer::choose(&self.config.balancer, candidates, query.prefix_group, random);
        let choice = choice.ok_or(RouteRefusal::AtLimit)?;
        if let Some(replica) = self.replicas.get_mut(&choice.replica) {
            replica.load.record_sent(now);
            replica.prefixes.insert(query.prefix_group);
        }
        Ok(choice)
    }

    /// Releases a place taken by [`Pool::reserve`].
    pub fn release(&mut self, id: &ReplicaId, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.load.record_finished(now);
        }
    }

    /// Records a load report received in the response to a message sent at `asked_at`.
    pub fn observe(&mut self, id: &ReplicaId, asked_at: Timestamp, report: LoadReport, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.observe(asked_at, report, now);
        }
        self.probe_answered(id);
    }

    /// Records a request's time to first token.
    pub fn record_first_token(&mut self, id: &ReplicaId, priority: Priority, took: Duration, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            let in_flight = replica.load.in_flight();
            replica.concurrency.record_first_token(priority, took, in_flight, now);
        }
    }

    /// Records the completion of a request.
    pub fn record_completion(&mut self, now: Timestamp) {
        self.drain_rate.record_completion(now);
    }

    /// Records that a replica refused a request for load.
    pub fn record_overload(&mut self, id: &ReplicaId, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.concurrency.record_overload(now);
        }
    }

    /// Records that a replica was unreachable or broke off a stream; it must confirm again before it is used.
    pub fn record_failure(&mut self, id: &ReplicaId, now: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.concurrency.record_overload(now);
            replica.confirmation.record_failure();
        }
        self.probe_answered(id);
    }

    /// Records that a replica did not answer a probe.
    pub fn record_probe_failure(&mut self, id: &ReplicaId) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.confirmation.record_failure();
        }
        self.probe_answered(id);
    }

    /// Returns the time after which a refused caller should retry, estimated from the drain rate.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        let ahead = self.replicas.values().map(|replica| replica.load.in_flight()).sum();
        self.drain_rate.retry_after(now, ahead)
    }

    /// Returns up to `max` replicas to probe because their confirmation has expired or is about to, and marks
    /// them as probed.
    pub fn due_probes(&mut self, now: Timestamp, max: usize) -> Vec<ReplicaId> {
        let validity = self.config.confirmation_validity;
        let used = self.replicas.iter().filter(|(_, replica)| replica.in_subset);
        let unconfirmed = used.filter(|(_, replica)| replica.confirmation.needs_probe(now, validity));
        let due = unconfirmed.filter(|(id, _)| {
            self.probes.get(*id).is_none_or(|probe| now >= probe.asked_at + MIN_PROBE_INTERVAL)
        });
        let due: Vec<ReplicaId> = due.map(|(id, _)| id.clone()).take(max).collect();
        for id in &due {
            self.probes.insert(id.clone(), Probe { asked_at: now, answered: false });
        }
        due
    }

    /// Recomputes the subset over the replicas that are listed and not marked as leaving.
    fn choose_subset(&mut self) {
        let usable = self.replicas.iter().filter(|(_, replica)| replica.may_be_used());
        let ids = usable.map(|(id, _)| id);
        let chosen: BTreeSet<ReplicaId> =
            subset::choose(&self.node, ids, self.config.subset_size).into_iter().cloned().collect();
        for (id, replica) in &mut self.replicas {
            replica.in_subset = chosen.contains(id);
        }
    }

    /// Returns the replicas that may be sent the request, regardless of their limits.
    fn eligible(&self, query: &RouteQuery<'_>, now: Timestamp) -> Vec<(&ReplicaId, &Replica)> {
        let validity = self.config.confirmation_validity;
        let eligible = self.replicas.iter().filter(|(_, replica)| {
            replica.in_subset
                && replica.confirmation.eligibility(now, validity) == Eligibility::Eligible
                && !replica.is_older_than(query.minimum_version)
        });
        eligible.collect()
    }

    /// Returns the reason why no replica is eligible, with the replicas to probe.
    fn none_eligible(&mut self, now: Timestamp) -> RouteRefusal {
        let probe = self.due_probes(now, MAX_PROBES_PER_REQUEST);
        let unanswered =
            self.probes.values().any(|probe| !probe.answered && now < probe.asked_at + MIN_PROBE_INTERVAL);
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
