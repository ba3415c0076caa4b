//! Tracks which replicas are cold, and when this sender may next send to each of them.
//!
//! Invariant: while a replica is cold, two requests of one sender are admitted to it at least the interval of its
//! share apart. The remaining cold time in a replica's record is counted from when the record was read. Since the
//! record is older than that, a replica counts as cold for too long by the record's age, but never too briefly.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::replicas::ReplicaRecord;
use super::routes::RouteTable;
use super::warming_share::{GatewayOrder, SEND_WINDOW, SenderRole, SenderShare, WarmingBudget};
use crate::decision::{Component, Decision};
use crate::time::Timestamp;

/// Time after the cold period within which each sender opens a replica at a different moment, so that neither all
/// senders turn to it at once, nor one sender to all replicas of a readmitted zone.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Maximum age of a record when it is read: a heartbeat, a read and their slack. A record read at least this long
/// after a zone was readmitted was written after the readmission.
const MAX_RECORD_AGE: Duration = Duration::from_millis(1_500);
/// Time for which an unlisted replica is tracked, since its entry may lapse and come back.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Why a replica counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record states it.
    Recorded,
    /// Its record does not state a cold time, and it was not listed before.
    Unknown,
    /// Its zone was evacuated and readmitted, and no newer record has been read since.
    ZoneReturned,
}

impl ColdCause {
    /// Returns the name used in logs, metrics and the operators' interface.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Unknown => "unknown",
            Self::ZoneReturned => "zone_returned",
        }
    }
}

/// A replica that turned cold, or whose cold period changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The replica's id.
    pub replica: String,
    /// The service it serves.
    pub service: String,
    /// The zone it runs in.
    pub zone: String,
    /// Why it counts as cold.
    pub cause: ColdCause,
    /// Remaining cold time.
    pub left: Duration,
    /// Minimum time between two requests of this sender; `None` if it may send none.
    pub interval: Option<Duration>,
}

impl ColdChange {
    /// Returns the decision record of the limit that the sender in this role applies.
    pub fn decision(&self, role: &str) -> Decision {
        let interval =
            self.interval.map_or_else(|| "none".to_owned(), |interval| interval.as_millis().to_string());
        Decision::new(Component::Routing, "replica_cold", self.cause.as_str(), &self.replica)
            .with("service", &self.service)
            .with("zone", &self.zone)
            .with("left_ms", self.left.as_millis())
            .with("sender", role)
            .with("interval_ms", interval)
    }
}

/// The cold period of a replica, as tracked by this sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// Why the replica counts as cold.
    pub cause: ColdCause,
    /// Start of the period.
    pub since: Timestamp,
    /// End of the period.
    pub until: Timestamp,
    /// Minimum time between two requests of this sender; `None` if it may send none.
    pub interval: Option<Duration>,
    /// Requests that this sender has sent during the period.
    pub sent: u64,
    /// When this sender may send its next request.
    next_at: Timestamp,
}

/// The number of cold replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdCount {
    /// All cold replicas.
    pub cold: usize,
    /// Cold replicas that this sender may send to.
    pub sendable: usize,
}

/// The state of one replica of a service with cold bounds.
#[derive(Clone, Debug)]
struct TrackedReplica {
    record: ReplicaRecord,
    listed_at: Timestamp,
    period: Option<ColdPeriod>,
    /// When its zone was readmitted; `None` once a record written after that has been read.
    readmitted_at: Option<Timestamp>,
}

/// Tracks the cold replicas for one sender.
#[derive(Clone, Debug)]
pub struct WarmupTracker {
    role: SenderRole,
    /// The order of the gateways; `None` for the owner, which shares its part with nobody.
    order: Option<GatewayOrder>,
    budgets: BTreeMap<String, WarmingBudget>,
    tracked: BTreeMap<String, TrackedReplica>,
    /// Whether any replica may be cold. Saves look-ups, since the owner checks each replica for each waiting item.
    may_have_cold: bool,
    /// Nothing is sent to a cold replica before this time, since an earlier sender may have used up the budget.
    blocked_before: Timestamp,
}

impl WarmupTracker {
    /// Creates the tracker of a new owner of batch jobs. It waits for [`SEND_WINDOW`], since the previous owner may
    /// have used up the budget.
    pub fn for_owner(now: Timestamp) -> Self {
        Self::new(SenderRole::Owner, None, now + SEND_WINDOW)
    }

    /// Creates the tracker of a gateway.
    pub const fn for_gateway(order: GatewayOrder, now: Timestamp) -> Self {
        Self::new(SenderRole::Gateway, Some(order), now)
    }

    const fn new(role: SenderRole, order: Option<GatewayOrder>, blocked_before: Timestamp) -> Self {
        Self {
            role,
            order,
            budgets: BTreeMap::new(),
            tracked: BTreeMap::new(),
            may_have_cold: false,
            blocked_before,
        }
    }

    /// Returns the order of the gateways; `None` for the owner.
    pub const fn order_mut(&mut self) -> Option<&mut GatewayOrder> {
        self.order.as_mut()
    }

    /// Whether any service has cold bounds.
    pub fn is_needed(&self) -> bool {
        !self.budgets.is_empty()
    }

    /// Whether any replica may be cold.
    pub const fn has_cold(&self) -> bool {
        self.may_have_cold
    }

    /// Applies the services' bounds of a configuration.
    pub fn set_routes(&mut self, routes: &RouteTable) {
        let budget = |service: &String| Some((service.clone(), WarmingBudget::of(routes, service)?));
        self.budgets = routes.services.keys().filter_map(budget).collect();
        let budgets = &self.budgets;
        self.tracked.retain(|_, tracked| budgets.contains_key(&tracked.record.service));
    }

    /// Applies the listed replicas and recomputes the shares. Returns the replicas that turned cold.
    pub fn set_replicas<'a>(
        &mut self,
        replicas: impl Iterator<Item = &'a ReplicaRecord>,
        now: Timestamp,
    ) -> Vec<ColdChange> {
        let mut changed = Vec::new();
        for record in replicas {
            let Some(budget) = self.budgets.get(&record.service).copied() else { continue };
            if self.apply_record(record, &budget, now) {
                changed.push(record.id.clone());
            }
        }
        self.tracked.retain(|_, tracked| now.saturating_since(tracked.listed_at) < UNLISTED_RETENTION);
        self.refresh_shares(now);
        changed.iter().filter_map(|id| self.change(id, now)).collect()
    }

    /// Marks the replicas of readmitted zones as cold until newer records state otherwise.
    pub(crate) fn zones_readmitted(&mut self, zones: &BTreeSet<&String>, now: Timestamp) {
        for tracked in self.tracked.values_mut().filter(|tracked| zones.contains(&tracked.record.zone)) {
            let Some(budget) = self.budgets.get(&tracked.record.service) else { continue };
            tracked.readmitted_at = Some(now);
            let reported = tracked.period.map_or(Duration::ZERO, |period| period.until.saturating_since(now));
            begin_cold_period(tracked, ColdCause::ZoneReturned, budget.bounds.duration.max(reported), now);
        }
        self.refresh_shares(now);
    }

    /// Adds a replica by its first record; returns whether it is cold.
    fn add_replica(&mut self, record: &ReplicaRecord, budget: &WarmingBudget, now: Timestamp) -> bool {
        let mut tracked =
            TrackedReplica { record: record.clone(), listed_at: now, period: None, readmitted_at: None };
        let is_cold = !record.cold_left.is_zero();
        if is_cold {
            let (cause, left) = cold_time(record, budget);
            begin_cold_period(&mut tracked, cause, left, now);
        }
        self.tracked.insert(record.id.clone(), tracked);
        is_cold
    }

    /// Applies a replica's record; returns whether a cold period begins by it.
    fn apply_record(&mut self, record: &ReplicaRecord, budget: &WarmingBudget, now: Timestamp) -> bool {
        let Some(tracked) = self.tracked.get_mut(&record.id) else {
            return self.add_replica(record, budget, now);
        };
        tracked.listed_at = now;
        if tracked.record == *record {
            return false;
        }
        let before = std::mem::replace(&mut tracked.record, record.clone()).cold_left;
        let is_after_readmission = |at: Timestamp| now.saturating_since(at) >= MAX_RECORD_AGE;
        let is_trusted = tracked.readmitted_at.is_none_or(is_after_readmission);
        if is_trusted {
            tracked.readmitted_at = None;
        }
        let (cause, left) = cold_time(record, budget);
        // A record of the same cold period postpones its end by at most the age of the record.
        let is_new_period =
            |period: &ColdPeriod| record.cold_left > before || now + left > period.until + MAX_RECORD_AGE;
        match &mut tracked.period {
            Some(period) if !is_new_period(period) => {
                if is_trusted {
                    period.until = period.until.min(now + left);
                }
                false
            }
            None if left.is_zero() => false,
            _ => {
                begin_cold_period(tracked, cause, left, now);
                true
            }
        }
    }

    /// Drops ended periods and recomputes this sender's shares.
    fn refresh_shares(&mut self, now: Timestamp) {
        for (id, tracked) in &mut self.tracked {
            let Some(period) = &mut tracked.period else { continue };
            if period.until + RAMP_TIME <= now {
                tracked.period = None;
                continue;
            }
            let share = self.budgets.get(&tracked.record.service).and_then(|budget| budget.share(self.role));
            let is_own = |share: &SenderShare| {
                self.order.as_ref().is_none_or(|order| order.is_sender(id, share.senders))
            };
            period.interval = share.filter(is_own).map(|share| share.interval);
        }
        self.may_have_cold = self.tracked.values().any(|tracked| tracked.period.is_some());
    }

    fn change(&self, id: &str, now: Timestamp) -> Option<ColdChange> {
        let tracked = self.tracked.get(id)?;
        let period = tracked.period?;
        let (service, zone) = (tracked.record.service.clone(), tracked.record.zone.clone());
        let left = period.until.saturating_since(now);
        let (cause, interval) = (period.cause, period.interval);
        Some(ColdChange { replica: id.to_owned(), service, zone, cause, left, interval })
    }

    /// Returns the number of cold replicas, and of those that this sender may send to.
    pub fn count(&self, now: Timestamp) -> ColdCount {
        let mut count = ColdCount::default();
        for period in self.tracked.keys().filter_map(|id| self.cold_period(id, now)) {
            count.cold += 1;
            count.sendable += usize::from(period.interval.is_some());
        }
        count
    }

    /// Returns the cold period of a replica; `None` if it is warm.
    pub fn cold_period(&self, replica: &str, now: Timestamp) -> Option<&ColdPeriod> {
        if !self.may_have_cold {
            return None;
        }
        self.tracked.get(replica)?.period.as_ref().filter(|period| now < self.opens_at(replica, period.until))
    }

    /// Returns the earliest time at which a replica may be sent a request; `None` if it may be sent one now.
    pub(crate) fn blocked_until(&self, record: &ReplicaRecord, now: Timestamp) -> Option<Timestamp> {
        if !self.may_have_cold && record.cold_left.is_zero() {
            return None;
        }
        let budget = self.budgets.get(&record.service)?;
        if self.is_new_record(record) {
            // The record has not been applied yet; its cold period starts with the next update.
            let (_, left) = cold_time(record, budget);
            return Some(now + left);
        }
        let period = self.cold_period(&record.id, now)?;
        let opens_at = self.opens_at(&record.id, period.until);
        let next_at =
            if period.interval.is_some() { period.next_at.max(self.blocked_before) } else { opens_at };
        (next_at > now).then_some(next_at.min(opens_at))
    }

    /// Whether a record that has not been applied yet states that its replica turned cold.
    fn is_new_record(&self, record: &ReplicaRecord) -> bool {
        let tracked = self.tracked.get(&record.id);
        let taken = tracked.map_or(Duration::ZERO, |tracked| tracked.record.cold_left);
        let has_period = tracked.is_some_and(|tracked| tracked.period.is_some());
        record.cold_left > taken || (record.cold_left != taken && !record.cold_left.is_zero() && !has_period)
    }

    /// Records that a request is being sent to a replica.
    pub fn record_sent(&mut self, replica: &str, now: Timestamp) {
        let Some(period) = self.tracked.get_mut(replica).and_then(|tracked| tracked.period.as_mut()) else {
            return;
        };
        period.sent += 1;
        // Without an interval this sender has no share, and `blocked_until` does not read `next_at`.
        period.next_at = now + period.interval.unwrap_or_default();
    }

    /// Returns the moment within the ramp at which a replica opens to this sender.
    fn opens_at(&self, replica: &str, until: Timestamp) -> Timestamp {
        let seed = self.order.as_ref().map_or(0, GatewayOrder::seed);
        let part = xxh3_64_with_seed(replica.as_bytes(), seed) % RAMP_STEPS;
        until + RAMP_TIME.mul_f64(part as f64 / RAMP_STEPS as f64)
    }
}

/// Number of distinct moments in the ramp.
const RAMP_STEPS: u64 = 50;

/// Returns the cold time stated by a record, or assumed if it states none, and its cause.
fn cold_time(record: &ReplicaRecord, budget: &WarmingBudget) -> (ColdCause, Duration) {
    if record.cold_left == ReplicaRecord::COLD_UNKNOWN {
        return (ColdCause::Unknown, budget.bounds.duration);
    }
    (ColdCause::Recorded, record.cold_left)
}

/// Starts a cold period. The time of the next request carries over from a previous period.
fn begin_cold_period(tracked: &mut TrackedReplica, cause: ColdCause, left: Duration, now: Timestamp) {
    let next_at = tracked.period.map_or(now, |period| period.next_at);
    let (until, since) = (now + left, now);
    tracked.period = Some(ColdPeriod { cause, since, until, interval: None, sent: 0, next_at });
}
