//! How many replicas of a service each zone is to have.
//!
//! Inputs: what the holder of the duty observes of each service ([`ObservedService`]), the operator's bounds and
//! prices, the orders of the holder before, and [`ScalingPolicy`]. Orders name absolute numbers, so that one
//! that comes twice or late does no harm beyond its own number. The greatest demand of a while counts, since
//! a start takes longer than a step; replicas that can't be kept at the newest weights are not ordered, since
//! they would wait for their loads and their steps with them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ingress::routes::ScalingBounds;
use crate::time::Timestamp;

/// What is wanted of the replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScalingPolicy {
    /// Replicas wanted for each hundred that the greatest demand fills.
    pub margin_percent: u32,
    /// How long the greatest demand counts.
    pub hold: Duration,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        Self { margin_percent: 100, hold: Duration::from_secs(60) }
    }
}

/// A holder follows the demand once it has observed it for this long: some steps of each trainer, and how
/// often weights change. Chosen, not measured: shorter orders by the first step's burst, longer leaves a
/// growing service short.
const FOLLOW_AFTER: Duration = Duration::from_secs(12);
/// The pause between two polls of the demand. Chosen, not measured: each goes over all items of all jobs.
const SCALING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a zone must be short or rich before it is ordered: an entry that is being replaced is back within
/// this time. Chosen, not measured: shorter orders for entries that flicker, longer delays every order.
const SHORT_FOR: Duration = Duration::from_millis(800);
/// How much longer than a start takes new replicas may stay away before they are ordered again. Chosen, not
/// measured.
const START_SLACK: Duration = Duration::from_secs(2);
/// The pause after an order that the platform did not take. Chosen, not measured: shorter spends calls on a
/// platform that is away.
const ORDER_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What the holder of the duty observes of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedService {
    /// Replicas that take work, by zone. A zone without one stands there with none.
    pub ready: BTreeMap<String, u32>,
    /// Requests that a replica takes at a time.
    pub slots: u32,
    /// Requests that run and wait.
    pub demand: u32,
    /// Replicas that can be kept at the newest weights, where that is a limit.
    pub renewable: Option<u32>,
}

/// An order of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// How many replicas the zone is to have.
    pub desired: u32,
}

/// What was ordered of a zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneOrders {
    is_under_way: bool,
    /// What the platform took last.
    taken: Option<u32>,
    short_since: Option<Timestamp>,
    not_before: Timestamp,
}

/// The greatest demand of a while.
#[derive(Clone, Debug, Default)]
struct DemandPeak {
    /// Demand in falling order, each with when it was seen last.
    seen: VecDeque<(Timestamp, u32)>,
}

impl DemandPeak {
    fn see(&mut self, demand: u32, hold: Duration, now: Timestamp) -> u32 {
        while self.seen.back().is_some_and(|(_, earlier)| *earlier <= demand) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, demand));
        while self.seen.front().is_some_and(|(at, _)| now.saturating_since(*at) > hold) {
            self.seen.pop_front();
        }
        self.seen.front().map_or(0, |(_, peak)| *peak)
    }
}

/// Decides what is ordered.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    policy: ScalingPolicy,
    peaks: BTreeMap<String, DemandPeak>,
    zones: BTreeMap<(String, String), ZoneOrders>,
    /// What each zone had when it was first seen.
    found: BTreeMap<(String, String), u32>,
    began_at: Option<Timestamp>,
    next_poll: Timestamp,
}

impl ScalePlan {
    /// A plan that has ordered nothing.
    pub const fn new(policy: ScalingPolicy) -> Self {
        Self {
            policy,
            peaks: BTreeMap::new(),
            zones: BTreeMap::new(),
            found: BTreeMap::new(),
            began_at: None,
            next_poll: Timestamp::ORIGIN,
        }
    }

    /// Whether the demand is to be polled again.
    pub(crate) fn is_due(&mut self, now: Timestamp) -> bool {
        if now < self.next_poll {
            return false;
        }
        self.next_poll = now + SCALING_POLL_INTERVAL;
        true
    }

    /// Orders to give now for one service. `earlier` is what was ordered of a zone before, by whoever held
    /// the duty.
    ///
    /// Invariant: each order lies within the bounds, and a zone has one order under way at a time.
    pub fn next(
        &mut self,
        service: &str,
        bounds: &ScalingBounds,
        observed: &ObservedService,
        earlier: impl Fn(&str) -> Option<u32>,
        now: Timestamp,
    ) -> Vec<ScaleOrder> {
        let began_at = *self.began_at.get_or_insert(now);
        let peak = self.peaks.entry(service.to_owned()).or_default();
        let peak = peak.see(observed.demand, self.policy.hold, now);
        let has_seen = now.saturating_since(began_at) >= FOLLOW_AFTER;
        let wanted = if has_seen { self.wanted(peak, observed) } else { 0 };
        let shares = shares(wanted, observed, bounds);
        // What the holder before ordered stands until this one has seen as much as that one.
        let is_new = now.saturating_since(began_at) < self.policy.hold;
        let mut orders = Vec::new();
        for (zone, share) in shares {
            let before = earlier(&zone).filter(|_| is_new).unwrap_or(0);
            let ready = observed.ready.get(&zone).copied().unwrap_or(0);
            let key = (service.to_owned(), zone.clone());
            let found = *self.found.entry(key.clone()).or_insert(ready);
            let desired = share.max(before).max(found).clamp(bounds.min, bounds.max);
            let state = self.zones.entry(key).or_default();
            if state.is_due(desired, ready, is_new, now) {
                state.is_under_way = true;
                orders.push(ScaleOrder { service: service.to_owned(), zone, desired });
            }
        }
        orders
    }

    /// Replicas that the demand asks for, as far as they can be kept at the newest weights.
    fn wanted(&self, peak: u32, observed: &ObservedService) -> u32 {
        let filled = peak.div_ceil(observed.slots.max(1));
        let wanted = u64::from(filled) * u64::from(self.policy.margin_percent) / 100;
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        observed.renewable.map_or(wanted, |renewable| wanted.min(renewable))
    }

    /// An order has ended; whether the platform took it.
    pub fn order_ended(&mut self, order: &ScaleOrder, start_time: Duration, is_taken: bool, now: Timestamp) {
        let key = (order.service.clone(), order.zone.clone());
        let Some(state) = self.zones.get_mut(&key) else { return };
        state.is_under_way = false;
        if is_taken {
            state.taken = Some(order.desired);
            state.not_before = now + start_time + START_SLACK;
        } else {
            state.not_before = now + ORDER_RETRY_PAUSE;
        }
    }
}

impl ZoneOrders {
    fn is_due(&mut self, desired: u32, ready: u32, is_new: bool, now: Timestamp) -> bool {
        let is_short = ready < desired;
        // A holder that began lately has not seen the demand that its zone was ordered for.
        let is_rich = ready > desired && !is_new && self.taken != Some(desired);
        if !is_short && !is_rich {
            self.short_since = None;
            return false;
        }
        let since = *self.short_since.get_or_insert(now);
        let is_raised = self.taken.is_some_and(|taken| taken < desired);
        let may_order = now >= self.not_before || is_raised;
        !self.is_under_way && may_order && now.saturating_since(since) >= SHORT_FOR
    }
}

/// Divides replicas among the zones as evenly as the bounds allow; what is left over goes to the cheapest
/// ones.
fn shares(wanted: u32, observed: &ObservedService, bounds: &ScalingBounds) -> BTreeMap<String, u32> {
    let mut zones: Vec<&String> = observed.ready.keys().collect();
    let price = |zone: &String| bounds.zone_prices.get(zone).copied().unwrap_or(1.0);
    zones.sort_by(|left, right| price(left).total_cmp(&price(right)).then_with(|| left.cmp(right)));
    let count = u32::try_from(zones.len()).unwrap_or(u32::MAX).max(1);
    let (even, left_over) = (wanted / count, wanted % count);
    let zones = (0..).zip(zones);
    zones
        .map(|(position, zone): (u32, &String)| (zone.clone(), even + u32::from(position < left_over)))
        .collect()
}
