//! Chooses a replica for each score request and schedules retries.
//!
//! Inputs: the route of the scorer, its replicas with their slots, the requests that this owner sent, and the
//! load that replicas reported. `ingress::chooser::ReplicaChooser` chooses among the replicas with capacity.
//! This module sets the number of requests per replica, avoids replicas that were tried before, and limits
//! retries. `batch::score_hold` decides when a quarantined request is tried again.
//!
//! Scorers are ordinary services that also serve live requests, so score requests never use all slots of a
//! replica. Each service has a retry budget, which keeps a failing service from being overloaded by retries.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::job::ScoreRequest;
use super::score_hold::ScoreHold;
use crate::identity::{BatchId, TenantName};
use crate::ingress::admission::AdmissionGate;
use crate::ingress::chooser::{ReplicaChooser, ReplicaFeedback};
use crate::ingress::places::AllowedRegions;
use crate::ingress::replica_load::ReplicaLoad;
use crate::ingress::replicas::ReplicaRecord;
use crate::ingress::routes::RouteTable;
use crate::quarantine::Quarantine;
use crate::retry::attempt_timeout;
use crate::retry::backoff::Backoff;
use crate::retry::budget::{BudgetConfig, RetryBudget};
use crate::time::Timestamp;

/// Share of a replica's slots reserved for live requests. A smaller share makes live requests wait behind scores, a
/// larger one makes complete texts wait for theirs.
const RESERVED_SHARE: f64 = 0.25;
/// Backoff before retries; the first retry goes to another replica without delay. The upper limit bounds how
/// late a recovered scorer is noticed.
const SCORE_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(40), Duration::from_secs(1));
/// Retry budget of one service: each first request adds a fifth of a retry, four retries a second are always
/// allowed, and at most 100 are saved within a window of 10 s.
const RETRY_BUDGET: BudgetConfig = BudgetConfig {
    deposit_ratio: 0.2,
    minimum_per_second: 4.0,
    window: Duration::from_secs(10),
    max_saved: 100.0,
};

/// Identifies one attempt of a score request during one ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScoreId(pub u64);

/// An attempt of a score request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScoreStart {
    /// Id of the attempt.
    pub id: ScoreId,
    /// The request.
    pub request: ScoreRequest,
    /// The replica to send it to.
    pub replica: ReplicaRecord,
    /// Time limit for the answer.
    pub timeout: Duration,
    /// The tenant that owns the job; `None` where callers need no key.
    pub tenant: Option<TenantName>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreEnd {
    /// A complete, signed answer reports success; holds its signature.
    Scored(String),
    /// A complete, signed answer reports that the scorer failed.
    Failed,
    /// The replica reported that it did not run the request.
    Rejected,
    /// No complete answer arrived.
    Broken,
}

impl ScoreEnd {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
            Self::Broken => "broken",
        }
    }
}

/// Identifies an item by its job and its position there.
pub(super) type ItemKey = (BatchId, u32);

/// A score request that waits to be sent.
#[derive(Clone, Debug)]
struct WaitingScore {
    key: ItemKey,
    request: ScoreRequest,
    tenant: Option<TenantName>,
    /// Replicas that gave no score, in the order of the attempts.
    tried: Vec<String>,
    /// Number of attempts without a complete answer, by replica.
    broken_attempts: BTreeMap<String, u32>,
    attempts: u32,
    not_before: Timestamp,
}

/// A score request in progress on a replica.
#[derive(Clone, Debug)]
struct ActiveScore {
    waiting: WaitingScore,
    replica: String,
    /// Whether the replica was cold when the request was sent.
    is_cold: bool,
    began: Timestamp,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EndedScore {
    pub(super) key: ItemKey,
    pub(super) request: String,
    pub(super) replica: String,
    pub(super) route_attempts: Option<u32>,
}

/// All score requests that are waiting or in progress.
#[derive(Debug, Default)]
pub(super) struct ScorePlan {
    chooser: ReplicaChooser,
    waiting: VecDeque<WaitingScore>,
    active: BTreeMap<ScoreId, ActiveScore>,
    hold: ScoreHold,
    budgets: BTreeMap<String, RetryBudget>,
    last: u64,
}

impl ScorePlan {
    /// Adds the score request of an item whose complete text is committed.
    pub(super) fn add(
        &mut self,
        key: ItemKey,
        request: ScoreRequest,
        tenant: Option<TenantName>,
        now: Timestamp,
    ) {
        let (tried, broken_attempts) = (Vec::new(), BTreeMap::new());
        let waiting =
            WaitingScore { key, request, tenant, tried, broken_attempts, attempts: 0, not_before: now };
        self.waiting.push_back(waiting);
    }

    /// Drops the requests of the matching items and returns the attempts in progress.
    pub(super) fn remove(&mut self, is_gone: impl Fn(&ItemKey) -> bool, now: Timestamp) -> Vec<ScoreId> {
        self.waiting.retain(|waiting| !is_gone(&waiting.key));
        let gone = self.active.iter().filter(|(_, active)| is_gone(&active.waiting.key));
        let gone: Vec<ScoreId> = gone.map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(active) = self.active.remove(id) {
                self.chooser.record_end(&active.replica, ReplicaFeedback::Abandoned, now);
            }
        }
        gone
    }

    /// Returns the requests to send now. `replicas` returns the replicas of a service in the given regions.
    pub(super) fn next<'a>(
        &mut self,
        routes: &RouteTable,
        replicas: impl Fn(&str, &AllowedRegions) -> Vec<&'a ReplicaRecord>,
        gate: &mut AdmissionGate,
        quarantine: &Quarantine,
        now: Timestamp,
    ) -> Vec<ScoreStart> {
        let mut starts = Vec::new();
        self.hold.retain(quarantine);
        for waiting in std::mem::take(&mut self.waiting) {
            let compute_fingerprint = || waiting.request.fingerprint(waiting.tenant.as_ref());
            let fingerprint = (!quarantine.is_empty()).then(compute_fingerprint);
            let quarantined = fingerprint.filter(|fingerprint| quarantine.contains(fingerprint));
            let is_active = |id: &ScoreId| self.active.contains_key(id);
            let is_held = quarantined.is_some_and(|request| !self.hold.is_trial_due(request, is_active, now));
            if is_held {
                self.waiting.push_back(waiting);
                continue;
            }
            match self.start(&waiting, routes, &replicas, gate, now) {
                Some(start) => {
                    if let Some(fingerprint) = quarantined {
                        self.hold.begin_trial(&fingerprint, start.id);
                    }
                    let replica = start.replica.id.clone();
                    let is_cold = gate.is_cold(&replica, now);
                    self.active.insert(start.id, ActiveScore { waiting, replica, is_cold, began: now });
                    starts.push(start);
                }
                None => self.waiting.push_back(waiting),
            }
        }
        starts
    }

    fn start<'a>(
        &mut self,
        waiting: &WaitingScore,
        routes: &RouteTable,
        replicas: &impl Fn(&str, &AllowedRegions) -> Vec<&'a ReplicaRecord>,
        gate: &mut AdmissionGate,
        now: Timestamp,
    ) -> Option<ScoreStart> {
        if waiting.not_before > now {
            return None;
        }
        let route = routes.find(&waiting.request.host, &waiting.request.path)?;
        let service = route.service_at(self.selection_seed())?.to_owned();
        let regions = routes.allowed_regions(route, waiting.tenant.as_ref());
        let mut ready = replicas(&service, &regions);
        ready.retain(|record| gate.admission(record, now).is_open());
        let chosen = self.choose(&ready, &waiting.tried, now)?;
        let budget = self.budgets.entry(service).or_insert_with(|| RetryBudget::new(RETRY_BUDGET, now));
        if waiting.attempts == 0 {
            budget.deposit(now);
        } else if !budget.withdraw(now) {
            return None;
        }
        self.last += 1;
        self.chooser.record_sent(&chosen.id);
        gate.record_sent(&chosen, now);
        let earlier_breaks = waiting.broken_attempts.get(&chosen.id).copied().unwrap_or(0);
        let timeout = attempt_timeout::for_score_request(route.target, route.timeout, earlier_breaks);
        Some(ScoreStart {
            id: ScoreId(self.last),
            request: waiting.request.clone(),
            replica: chosen,
            timeout,
            tenant: waiting.tenant.clone(),
        })
    }

    /// Returns the replica with capacity that should answer first, preferring replicas that are not in
    /// `tried`.
    fn choose(&self, ready: &[&ReplicaRecord], tried: &[String], now: Timestamp) -> Option<ReplicaRecord> {
        let has_place =
            |record: &&&ReplicaRecord| self.chooser.busy(&record.id, now) < max_in_flight(record.slots);
        let free: Vec<&ReplicaRecord> = ready.iter().filter(has_place).copied().collect();
        let untried = free.iter().filter(|record| !tried.contains(&record.id)).copied().collect();
        let best = self.chooser.best_of(untried, now, self.selection_seed());
        let best = best.or_else(|| self.chooser.best_of(free, now, self.selection_seed()));
        best.cloned()
    }

    /// Returns a number that differs for each request, used in place of a random number.
    const fn selection_seed(&self) -> u64 {
        (self.last + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16
    }

    /// Records the load that a replica reported with the answer to an attempt.
    pub(super) fn reported(&mut self, id: ScoreId, load: ReplicaLoad, now: Timestamp) {
        if let Some(active) = self.active.get(&id) {
            // The attempt itself is still counted until its end is handled.
            self.chooser.record_reported_load(&active.replica, load.without_one(), now);
        }
    }

    /// Returns the base latency of a replica, given by its id, if it was measured well enough for other nodes.
    pub(super) fn base_latency(&self, replica: &str) -> Option<Duration> {
        self.chooser.base_latency_to_share(replica)
    }

    /// Handles the end of an attempt. A request without a score is queued again. Returns `None` if the
    /// request was dropped meanwhile.
    pub(super) fn ended(
        &mut self,
        id: ScoreId,
        end: &ScoreEnd,
        routes: Option<&RouteTable>,
        now: Timestamp,
    ) -> Option<EndedScore> {
        let active = self.active.remove(&id)?;
        let ActiveScore { mut waiting, replica, is_cold, began } = active;
        let feedback = match end {
            ScoreEnd::Scored(_) if is_cold => ReplicaFeedback::AnsweredCold,
            ScoreEnd::Scored(_) => ReplicaFeedback::Answered(now.saturating_since(began)),
            ScoreEnd::Failed => ReplicaFeedback::Failed,
            ScoreEnd::Rejected => ReplicaFeedback::Full,
            ScoreEnd::Broken => ReplicaFeedback::NoAnswer,
        };
        self.chooser.record_end(&replica, feedback, now);
        let route = routes.and_then(|routes| routes.find(&waiting.request.host, &waiting.request.path));
        let ended = EndedScore {
            key: waiting.key.clone(),
            request: waiting.request.id.clone(),
            replica: replica.clone(),
            route_attempts: route.map(|route| route.max_attempts),
        };
        if !matches!(end, ScoreEnd::Scored(_)) {
            waiting.attempts += 1;
            if *end == ScoreEnd::Broken {
                *waiting.broken_attempts.entry(replica.clone()).or_default() += 1;
                let (request, tenant) = (&waiting.request, waiting.tenant.as_ref());
                self.hold.record_broken(|| request.fingerprint(tenant), now);
            }
            waiting.tried.push(replica);
            // The first retry is sent to another replica without delay.
            waiting.not_before = now + SCORE_RETRY_BACKOFF.pause(waiting.attempts - 1);
            self.waiting.push_back(waiting);
        }
        Some(ended)
    }
}

/// Returns how many requests a replica with this many slots may have in hand, including live requests.
fn max_in_flight(slots: u32) -> u32 {
    let reserved = (f64::from(slots) * RESERVED_SHARE).ceil() as u32;
    slots.saturating_sub(reserved).max(1)
}
