//! Replicas ordered for each zone.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::ingress::routes::ScalingBounds;
use lichenpulley_core::scaling::{ObservedService, ScaleOrder, ScalePlan, ScalingPolicy};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

const START: Duration = Duration::from_secs(4);

/// Returns the time after the observation period of a new plan, which is 12 s.
fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(12_000 + milliseconds)
}

fn bounds() -> ScalingBounds {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    ScalingBounds {
        min: 1,
        max: 30,
        start_time: START,
        zone_prices: prices.into_iter().map(|(zone, price)| (zone.to_owned(), price)).collect(),
        preemptible_price: None,
    }
}

fn observed(ready: [u32; 3], demand: u32) -> ObservedService {
    let ready = ["a", "b", "c"].into_iter().map(str::to_owned).zip(ready).collect();
    ObservedService { ready, slots: 8, demand, renewable: None }
}

/// Returns a plan whose zones initially had `initial` replicas each.
fn plan_of(initial: u32) -> ScalePlan {
    let mut plan = ScalePlan::new(ScalingPolicy::default());
    assert!(plan.next("s", &bounds(), &observed([initial; 3], 0), |_| None, Timestamp::ORIGIN).is_empty());
    plan
}

fn plan() -> ScalePlan {
    plan_of(2)
}

/// Polls twice, far enough apart for a lasting shortage to be ordered.
fn poll_twice(plan: &mut ScalePlan, observed: &ObservedService, from_ms: u64) -> Vec<ScaleOrder> {
    let first = plan.next("s", &bounds(), observed, |_| None, at(from_ms));
    let second = plan.next("s", &bounds(), observed, |_| None, at(from_ms + 900));
    first.into_iter().chain(second).collect()
}

fn desired(orders: &[ScaleOrder]) -> BTreeMap<&str, u32> {
    orders.iter().map(|order| (order.zone.as_str(), order.desired)).collect()
}

#[test]
fn demand_is_spread_evenly_and_the_remainder_goes_to_the_cheapest_zone() {
    let orders = poll_twice(&mut plan(), &observed([3, 3, 3], 80), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("b", 4)]), "ten replicas are needed and nine are ready");
    let orders = poll_twice(&mut plan(), &observed([3, 3, 3], 81), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("a", 4), ("b", 4)]));
}

#[test]
fn nothing_is_ordered_when_ready_replicas_cover_the_demand() {
    assert!(poll_twice(&mut plan(), &observed([3, 3, 3], 72), 0).is_empty());
    assert!(
        poll_twice(&mut plan(), &observed([3, 3, 3], 0), 0).is_empty(),
        "a new holder removes no replicas"
    );
}

#[test]
fn orders_are_clamped_to_the_bounds() {
    let orders = poll_twice(&mut plan(), &observed([3, 3, 3], 100_000), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("a", 30), ("b", 30), ("c", 30)]));
}

#[test]
fn a_zone_that_lost_replicas_is_ordered_again() {
    let mut plan = plan();
    assert!(poll_twice(&mut plan, &observed([5, 5, 5], 120), 0).is_empty());
    let orders = poll_twice(&mut plan, &observed([5, 2, 5], 120), 2_000);
    assert_eq!(desired(&orders), BTreeMap::from([("b", 5)]));
    assert!(poll_twice(&mut plan, &observed([5, 2, 5], 120), 3_000).is_empty(), "an order is in flight");
    plan.order_ended(&orders[0], START, true, at(3_500));
    assert!(
        poll_twice(&mut plan, &observed([5, 2, 5], 120), 4_000).is_empty(),
        "new replicas are still starting"
    );
    assert_eq!(
        poll_twice(&mut plan, &observed([5, 2, 5], 120), 9_600).len(),
        1,
        "replicas that did not start are ordered again"
    );
}

#[test]
fn a_rejected_order_is_retried_after_a_pause() {
    let mut plan = plan();
    let orders = poll_twice(&mut plan, &observed([2, 5, 5], 120), 0);
    assert_eq!(orders.len(), 1);
    plan.order_ended(&orders[0], START, false, at(1_000));
    assert!(plan.next("s", &bounds(), &observed([2, 5, 5], 120), |_| None, at(1_900)).is_empty());
    assert_eq!(plan.next("s", &bounds(), &observed([2, 5, 5], 120), |_| None, at(2_100)).len(), 1);
}

#[test]
fn a_new_holder_keeps_the_orders_of_the_previous_one() {
    let mut plan = plan();
    let earlier = |zone: &str| (zone == "c").then_some(9);
    plan.next("s", &bounds(), &observed([5, 5, 5], 0), earlier, at(0));
    let orders = plan.next("s", &bounds(), &observed([5, 5, 5], 0), earlier, at(900));
    assert_eq!(desired(&orders), BTreeMap::from([("c", 9)]));
}

#[test]
fn replicas_above_the_initial_number_are_released_after_the_peak_expires() {
    let mut plan = plan();
    let all = |count| BTreeMap::from([("a", count), ("b", count), ("c", count)]);
    assert_eq!(desired(&poll_twice(&mut plan, &observed([2, 2, 2], 120), 0)), all(5));
    for zone in ["a", "b", "c"] {
        let order = ScaleOrder { service: "s".to_owned(), zone: zone.to_owned(), desired: 5 };
        plan.order_ended(&order, START, true, at(1_000));
    }
    assert!(poll_twice(&mut plan, &observed([5, 5, 5], 24), 50_000).is_empty(), "the peak still counts");
    let orders = poll_twice(&mut plan, &observed([5, 5, 5], 24), 70_000);
    assert_eq!(desired(&orders), all(2));
    for order in &orders {
        plan.order_ended(order, START, true, at(72_000));
    }
    assert!(
        poll_twice(&mut plan, &observed([5, 5, 5], 24), 80_000).is_empty(),
        "the accepted order is not repeated"
    );
}

#[test]
fn orders_are_limited_to_replicas_that_can_get_the_newest_weights() {
    let limited = |renewable| ObservedService { renewable: Some(renewable), ..observed([3, 3, 3], 400) };
    assert!(poll_twice(&mut plan(), &limited(8), 0).is_empty(), "ready replicas are kept");
    let orders = poll_twice(&mut plan(), &limited(12), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("a", 4), ("b", 4), ("c", 4)]));
}

proptest! {
    #[test]
    fn orders_are_within_the_bounds_and_one_per_zone_at_a_time(
        polls in prop::collection::vec((prop::array::uniform3(0_u32..40), 0_u32..2_000, any::<bool>()), 1..60),
    ) {
        let mut plan = plan();
        let mut in_flight: BTreeMap<String, ScaleOrder> = BTreeMap::new();
        for (number, (ready, demand, ends)) in (0_u64..).zip(polls) {
            let now = at(number * 700);
            for order in plan.next("s", &bounds(), &observed(ready, demand), |_| None, now) {
                prop_assert!((1..=30).contains(&order.desired));
                prop_assert!(in_flight.insert(order.zone.clone(), order).is_none());
            }
            if ends && let Some((_, order)) = in_flight.pop_first() {
                plan.order_ended(&order, START, demand % 2 == 0, now);
            }
        }
    }
}
