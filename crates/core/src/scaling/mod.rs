//! Autoscaling: decides how many replicas of a service each zone should have.
//!
//! A [`ScalePlan`] computes orders from the observed demand and replicas ([`ObservedService`]), the
//! operator's bounds and prices, the orders of the previous duty holder, and the [`ScalingPolicy`]. Orders
//! contain absolute numbers, so that duplicated or late ones are harmless. The peak demand of a period
//! counts, since starting a replica takes longer than a step. Replicas that can't be kept at the newest
//! weights are not ordered, since steps would wait for their loads.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ingress::routes::ScalingBounds;
use crate::time::Timestamp;

/// Target for the number of replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScalingPolicy {
    /// Replicas to run, in percent of those that the peak demand fills.
    pub margin_percent: u32,
    /// How long a demand peak counts.
    pub hold: Duration,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        Self { margin_percent: 100, hold: Duration::from_secs(60) }
    }
}

/// How long a new holder observes the demand before it orders replicas for it. Covers several trainer steps.
const OBSERVATION_TIME: Duration = Duration::from_secs(12);
/// Each poll iterates over all items of all jobs.
const SCALING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a zone must have too few or too many replicas before an order. Ignores an entry that is being
/// replaced.
const ORDER_AFTER: Duration = Duration::from_millis(800);
/// Time beyond the start time after which replicas that have not appeared are ordered again.
const START_MARGIN: Duration = Duration::from_secs(2);
/// Pause after an order that the platform did not accept.
const ORDER_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Demand and replicas of a service as observed by the duty holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedService {
    /// Number of replicas that take work, by zone. Zones without one are included with 0.
    pub ready: BTreeMap<String, u32>,
    /// Concurrent requests of one replica.
    pub slots: u32,
    /// Running and waiting requests.
    pub demand: u32,
    /// Number of replicas that can be kept at the newest weights, if limited.
    pub renewable: Option<u32>,
}

/// An order to the platform for a number of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Number of replicas that the zone should have.
    pub desired: u32,
}

/// State of the orders for a zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneOrders {
    is_in_flight: bool,
    /// Number in the last order that the platform accepted.
    accepted: Option<u32>,
    mismatch_since: Option<Timestamp>,
    not_before: Timestamp,
}

/// Maximum of the demand over a sliding window.
#[derive(Clone, Debug, Default)]
struct DemandPeak {
    /// Monotonic queue: demand in descending order, each with the time when it was last observed.
    samples: VecDeque<(Timestamp, u32)>,
}

impl DemandPeak {
    fn observe(&mut self, demand: u32, hold: Duration, now: Timestamp) -> u32 {
        while self.samples.back().is_some_and(|(_, earlier)| *earlier <= demand) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, demand));
        while self.samples.front().is_some_and(|(at, _)| now.saturating_since(*at) > hold) {
            self.samples.pop_front();
        }
        self.samples.front().map_or(0, |(_, peak)| *peak)
    }
}

/// Decides which replicas are ordered.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    policy: ScalingPolicy,
    peaks: BTreeMap<String, DemandPeak>,
    zones: BTreeMap<(String, String), ZoneOrders>,
    /// Number of replicas in each zone when it was first observed.
    initial: BTreeMap<(String, String), u32>,
    started_at: Option<Timestamp>,
    next_poll: Timestamp,
}

impl ScalePlan {
    /// Creates a plan without orders.
    pub const fn new(policy: ScalingPolicy) -> Self {
        Self {
            policy,
            peaks: BTreeMap::new(),
            zones: BTreeMap::new(),
            initial: BTreeMap::new(),
            started_at: None,
            next_poll: Timestamp::ORIGIN,
        }
    }

    /// Returns whether a poll of the demand is due, and schedules the next one if so.
    pub(crate) fn is_due(&mut self, now: Timestamp) -> bool {
        if now < self.next_poll {
            return false;
        }
        self.next_poll = now + SCALING_POLL_INTERVAL;
        true
    }

    /// Returns the orders to send now for one service. `earlier` returns the number last ordered for a zone
    /// by any duty holder.
    ///
    /// Invariant: each order is within the bounds, and a zone has at most one order in flight.
    pub fn next(
        &mut self,
        service: &str,
        bounds: &ScalingBounds,
        observed: &ObservedService,
        earlier: impl Fn(&str) -> Option<u32>,
        now: Timestamp,
    ) -> Vec<ScaleOrder> {
        let started_at = *self.started_at.get_or_insert(now);
        let peak = self.peaks.entry(service.to_owned()).or_default();
        let peak = peak.observe(observed.demand, self.policy.hold, now);
        let has_observed = now.saturating_since(started_at) >= OBSERVATION_TIME;
        let required = if has_observed { self.required(peak, observed) } else { 0 };
        let shares = shares(required, observed, bounds);
        // The previous holder's orders apply until this one has observed the demand for a full `hold`.
        let is_new = now.saturating_since(started_at) < self.policy.hold;
        let mut orders = Vec::new();
        for (zone, share) in shares {
            let before = earlier(&zone).filter(|_| is_new).unwrap_or(0);
            let ready = observed.ready.get(&zone).copied().unwrap_or(0);
            let key = (service.to_owned(), zone.clone());
            let initial = *self.initial.entry(key.clone()).or_insert(ready);
            let desired = share.max(before).max(initial).clamp(bounds.min, bounds.max);
            let state = self.zones.entry(key).or_default();
            if state.is_due(desired, ready, is_new, now) {
                state.is_in_flight = true;
                orders.push(ScaleOrder { service: service.to_owned(), zone, desired });
            }
        }
        orders
    }

    /// Returns the number of replicas for a peak demand, limited to those that can be kept at the newest
    /// weights.
    fn required(&self, peak: u32, observed: &ObservedService) -> u32 {
        let busy_replicas = peak.div_ceil(observed.slots.max(1));
        let required = u64::from(busy_replicas) * u64::from(self.policy.margin_percent) / 100;
        let required = u32::try_from(required).unwrap_or(u32::MAX);
        observed.renewable.map_or(required, |renewable| required.min(renewable))
    }

    /// Records whether the platform accepted an order. `start_time` is how long a replica takes to start.
    pub fn order_ended(
        &mut self,
        order: &ScaleOrder,
        start_time: Duration,
        is_accepted: bool,
        now: Timestamp,
    ) {
        let key = (order.service.clone(), order.zone.clone());
        let Some(state) = self.zones.get_mut(&key) else { return };
        state.is_in_flight = false;
        if is_accepted {
            state.accepted = Some(order.desired);
            state.not_before = now + start_time + START_MARGIN;
        } else {
            state.not_before = now + ORDER_RETRY_PAUSE;
        }
    }
}

impl ZoneOrders {
    fn is_due(&mut self, desired: u32, ready: u32, is_new: bool, now: Timestamp) -> bool {
        let is_below = ready < desired;
        // A new holder has not observed the demand for which the replicas of the zone were ordered.
        let is_above = ready > desired && !is_new && self.accepted != Some(desired);
        if !is_below && !is_above {
            self.mismatch_since = None;
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        let is_increase = self.accepted.is_some_and(|accepted| accepted < desired);
        let is_allowed = now >= self.not_before || is_increase;
        !self.is_in_flight && is_allowed && now.saturating_since(since) >= ORDER_AFTER
    }
}

/// Divides replicas evenly among the zones. The remainder goes to the cheapest zones.
fn shares(required: u32, observed: &ObservedService, bounds: &ScalingBounds) -> BTreeMap<String, u32> {
    let mut zones: Vec<&String> = observed.ready.keys().collect();
    let price = |zone: &String| bounds.zone_prices.get(zone).copied().unwrap_or(1.0);
    zones.sort_by(|left, right| price(left).total_cmp(&price(right)).then_with(|| left.cmp(right)));
    let count = u32::try_from(zones.len()).unwrap_or(u32::MAX).max(1);
    let (even, remainder) = (required / count, required % count);
    let zones = (0..).zip(zones);
    zones
        .map(|(position, zone): (u32, &String)| (zone.clone(), even + u32::from(position < remainder)))
        .collect()
}
