//! Which replicas are cold, and when this sender may send to each of them next.
//!
//! Invariant: while a replica is cold, two requests of one sender to it are counted at least its share's
//! interval apart. A replica's record is as old as a heartbeat and its way here, so the time that it was
//! still cold then is taken from when the record was read: a replica is held cold too long by the record's
//! age, never too short.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::replicas::ReplicaRecord;
use super::routes::RouteTable;
use super::warming_share::{GatewayOrder, SEND_WINDOW, SenderRole, SenderShare, WarmingBudget};
use crate::decision::{Component, Decision};
use crate::time::Timestamp;

/// After its cold time a replica is opened to each sender at another moment within this time, so that neither
/// all senders turn to it at once, nor one sender to all replicas of a zone that came back together. Chosen,
/// not measured: a shorter ramp sends them in a burst, a longer one leaves warm replicas unused.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// A record that comes this long after a zone was readmitted was written after it: a heartbeat, a read and
/// their slack. Longer than needed holds replicas cold for longer; shorter trusts a record from before the
/// evacuation. Chosen, not measured.
const MAX_RECORD_AGE: Duration = Duration::from_millis(1_500);
/// A replica that is not listed any more is remembered for this time: its entry may lapse and come back.
/// Chosen, not measured: shorter takes one that comes back for new, longer costs memory.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Why a replica is taken to be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record says so.
    Recorded,
    /// Its record does not state how long, and it was not listed before.
    Unknown,
    /// Its zone was evacuated and readmitted, and its record was not written anew since.
    ZoneReturned,
}

impl ColdCause {
    /// The name used in logs, metrics and the operators' interface.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Unknown => "unknown",
            Self::ZoneReturned => "zone_returned",
        }
    }
}

/// A replica that turned cold, or whose cold time was found to be another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The replica.
    pub replica: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Why.
    pub cause: ColdCause,
    /// For how long from now.
    pub left: Duration,
    /// The time between two requests of this sender; `None` where it sends none.
    pub interval: Option<Duration>,
}

impl ColdChange {
    /// The decision to hold back requests, by the sender in this role.
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

/// A replica that is cold for this sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// Why.
    pub cause: ColdCause,
    /// Since when.
    pub since: Timestamp,
    /// When it is warm.
    pub until: Timestamp,
    /// The time between two requests of this sender; `None` where it sends none.
    pub interval: Option<Duration>,
    /// Requests that this sender has sent since.
    pub sent: u64,
    /// When this sender may send the next.
    next_at: Timestamp,
}

/// How many replicas are cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdCount {
    /// All of them.
    pub cold: usize,
    /// Those that this sender may send to.
    pub sendable: usize,
}

/// What is known of one replica of a service with cold bounds.
#[derive(Clone, Debug)]
struct Known {
    record: ReplicaRecord,
    listed_at: Timestamp,
    spell: Option<ColdPeriod>,
    /// When its zone was readmitted, until a later record states how cold it is.
    returned_at: Option<Timestamp>,
}

/// The cold replicas as one sender knows them.
#[derive(Clone, Debug)]
pub struct WarmupTracker {
    role: SenderRole,
    /// The other gateways; none for the owner, whose share is its own.
    order: Option<GatewayOrder>,
    budgets: BTreeMap<String, WarmingBudget>,
    known: BTreeMap<String, Known>,
    /// Whether any replica may be cold; the owner asks of each replica for each waiting item.
    has_spells: bool,
    /// Nothing goes to a cold replica before: an earlier sender may have spent the budget of the last second.
    held_until: Timestamp,
}

impl WarmupTracker {
    /// Those of a new owner of the batch jobs: the budget of the last second is taken as spent by the one
    /// before.
    pub fn of_owner(now: Timestamp) -> Self {
        Self::new(SenderRole::Owner, None, now + SEND_WINDOW)
    }

    /// Those of a gateway.
    pub const fn of_gateway(order: GatewayOrder, now: Timestamp) -> Self {
        Self::new(SenderRole::Gateway, Some(order), now)
    }

    const fn new(role: SenderRole, order: Option<GatewayOrder>, held_until: Timestamp) -> Self {
        Self { role, order, budgets: BTreeMap::new(), known: BTreeMap::new(), has_spells: false, held_until }
    }

    /// The order of the gateways, where this is one.
    pub const fn order_mut(&mut self) -> Option<&mut GatewayOrder> {
        self.order.as_mut()
    }

    /// Whether any service has cold bounds.
    pub fn is_needed(&self) -> bool {
        !self.budgets.is_empty()
    }

    /// Whether any replica may be cold.
    pub const fn has_cold(&self) -> bool {
        self.has_spells
    }

    /// Takes the services' bounds from a configuration.
    pub fn set_routes(&mut self, routes: &RouteTable) {
        let budget = |service: &String| Some((service.clone(), WarmingBudget::of(routes, service)?));
        self.budgets = routes.services.keys().filter_map(budget).collect();
        let budgets = &self.budgets;
        self.known.retain(|_, known| budgets.contains_key(&known.record.service));
    }

    /// Takes the replicas as they are listed, and the shares anew. Returns those that turned cold.
    pub fn set_replicas<'a>(
        &mut self,
        replicas: impl Iterator<Item = &'a ReplicaRecord>,
        now: Timestamp,
    ) -> Vec<ColdChange> {
        let mut changed = Vec::new();
        for record in replicas {
            let Some(budget) = self.budgets.get(&record.service).copied() else { continue };
            if self.take_record(record, &budget, now) {
                changed.push(record.id.clone());
            }
        }
        self.known.retain(|_, known| now.saturating_since(known.listed_at) < UNLISTED_RETENTION);
        self.refresh_shares(now);
        changed.iter().filter_map(|id| self.change(id, now)).collect()
    }

    /// Zones were readmitted: their replicas are taken as cold until a later record says otherwise.
    pub(crate) fn zones_readmitted(&mut self, zones: &BTreeSet<&String>, now: Timestamp) {
        for known in self.known.values_mut().filter(|known| zones.contains(&known.record.zone)) {
            let Some(budget) = self.budgets.get(&known.record.service) else { continue };
            known.returned_at = Some(now);
            let reported = known.spell.map_or(Duration::ZERO, |spell| spell.until.saturating_since(now));
            begin(known, ColdCause::ZoneReturned, budget.bounds.duration.max(reported), now);
        }
        self.refresh_shares(now);
    }

    /// Takes the record of a replica that was not known; returns whether it is cold.
    fn take_new(&mut self, record: &ReplicaRecord, budget: &WarmingBudget, now: Timestamp) -> bool {
        let mut known = Known { record: record.clone(), listed_at: now, spell: None, returned_at: None };
        let is_cold = !record.cold_left.is_zero();
        if is_cold {
            let (cause, left) = cold_time(record, budget);
            begin(&mut known, cause, left, now);
        }
        self.known.insert(record.id.clone(), known);
        is_cold
    }

    /// Takes a replica's record; returns whether it turned cold by it.
    fn take_record(&mut self, record: &ReplicaRecord, budget: &WarmingBudget, now: Timestamp) -> bool {
        let Some(known) = self.known.get_mut(&record.id) else { return self.take_new(record, budget, now) };
        known.listed_at = now;
        if known.record == *record {
            return false;
        }
        let before = std::mem::replace(&mut known.record, record.clone()).cold_left;
        let is_after_return = |at: Timestamp| now.saturating_since(at) >= MAX_RECORD_AGE;
        let is_trusted = known.returned_at.is_none_or(is_after_return);
        if is_trusted {
            known.returned_at = None;
        }
        let (cause, left) = cold_time(record, budget);
        // A record of the same cold time ends it later by its own age at most.
        let is_anew =
            |spell: &ColdPeriod| record.cold_left > before || now + left > spell.until + MAX_RECORD_AGE;
        match &mut known.spell {
            Some(spell) if !is_anew(spell) => {
                if is_trusted {
                    spell.until = spell.until.min(now + left);
                }
                false
            }
            None if left.is_zero() => false,
            _ => {
                begin(known, cause, left, now);
                true
            }
        }
    }

    fn refresh_shares(&mut self, now: Timestamp) {
        for (id, known) in &mut self.known {
            let Some(spell) = &mut known.spell else { continue };
            if spell.until + RAMP_TIME <= now {
                known.spell = None;
                continue;
            }
            let share = self.budgets.get(&known.record.service).and_then(|budget| budget.share(self.role));
            let is_own = |share: &SenderShare| {
                self.order.as_ref().is_none_or(|order| order.is_sender(id, share.senders))
            };
            spell.interval = share.filter(is_own).map(|share| share.interval);
        }
        self.has_spells = self.known.values().any(|known| known.spell.is_some());
    }

    fn change(&self, id: &str, now: Timestamp) -> Option<ColdChange> {
        let known = self.known.get(id)?;
        let spell = known.spell?;
        let (service, zone) = (known.record.service.clone(), known.record.zone.clone());
        let left = spell.until.saturating_since(now);
        let (cause, interval) = (spell.cause, spell.interval);
        Some(ColdChange { replica: id.to_owned(), service, zone, cause, left, interval })
    }

    /// How many replicas are cold for this sender, and to how many of them it may send.
    pub fn count(&self, now: Timestamp) -> ColdCount {
        let mut count = ColdCount::default();
        for spell in self.known.keys().filter_map(|id| self.cold_period(id, now)) {
            count.cold += 1;
            count.sendable += usize::from(spell.interval.is_some());
        }
        count
    }

    /// The cold spell of a replica; `None` where it is warm.
    pub fn cold_period(&self, replica: &str, now: Timestamp) -> Option<&ColdPeriod> {
        if !self.has_spells {
            return None;
        }
        self.known.get(replica)?.spell.as_ref().filter(|spell| now < self.opens_at(replica, spell.until))
    }

    /// When a replica may be sent a request at the earliest; `None` where nothing holds it back.
    pub(crate) fn blocked_until(&self, record: &ReplicaRecord, now: Timestamp) -> Option<Timestamp> {
        if !self.has_spells && record.cold_left.is_zero() {
            return None;
        }
        let budget = self.budgets.get(&record.service)?;
        if self.is_new_record(record) {
            // The record came between two polls: its cold time begins with the next.
            let (_, left) = cold_time(record, budget);
            return Some(now + left);
        }
        let spell = self.cold_period(&record.id, now)?;
        let opens_at = self.opens_at(&record.id, spell.until);
        let next_at = if spell.interval.is_some() { spell.next_at.max(self.held_until) } else { opens_at };
        (next_at > now).then_some(next_at.min(opens_at))
    }

    /// Whether a record says that its replica turned cold, and was not taken yet.
    fn is_new_record(&self, record: &ReplicaRecord) -> bool {
        let known = self.known.get(&record.id);
        let taken = known.map_or(Duration::ZERO, |known| known.record.cold_left);
        let is_held = known.is_some_and(|known| known.spell.is_some());
        record.cold_left > taken || (record.cold_left != taken && !record.cold_left.is_zero() && !is_held)
    }

    /// A request is being sent to a replica.
    pub fn record_sent(&mut self, replica: &str, now: Timestamp) {
        let Some(spell) = self.known.get_mut(replica).and_then(|known| known.spell.as_mut()) else { return };
        spell.sent += 1;
        // Without an interval this sender has no share, and `blocked_until` does not ask for `next_at`.
        spell.next_at = now + spell.interval.unwrap_or_default();
    }

    /// The moment of the ramp at which a replica is open to this sender.
    fn opens_at(&self, replica: &str, until: Timestamp) -> Timestamp {
        let seed = self.order.as_ref().map_or(0, GatewayOrder::seed);
        let part = xxh3_64_with_seed(replica.as_bytes(), seed) % RAMP_STEPS;
        until + RAMP_TIME.mul_f64(part as f64 / RAMP_STEPS as f64)
    }
}

/// Moments of the ramp: 10 ms apart. Chosen, not measured.
const RAMP_STEPS: u64 = 50;

/// How long a replica is cold by its record, and why it is taken to be.
fn cold_time(record: &ReplicaRecord, budget: &WarmingBudget) -> (ColdCause, Duration) {
    if record.cold_left == ReplicaRecord::COLD_UNKNOWN {
        return (ColdCause::Unknown, budget.bounds.duration);
    }
    (ColdCause::Recorded, record.cold_left)
}

/// A replica is cold from now on. One that was cold already has spent what it was sent.
fn begin(known: &mut Known, cause: ColdCause, left: Duration, now: Timestamp) {
    let next_at = known.spell.map_or(now, |spell| spell.next_at);
    let (until, since) = (now + left, now);
    known.spell = Some(ColdPeriod { cause, since, until, interval: None, sent: 0, next_at });
}
