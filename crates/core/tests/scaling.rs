//! Replicas ordered by zone.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::ingress::routes::ScalingBounds;
use lichenpulley_core::scaling::{ObservedService, ScaleOrder, ScalePlan, ScalingPolicy};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

const START: Duration = Duration::from_secs(4);

/// So long after a plan began to follow the demand.
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

/// A plan that has looked for as long as it takes to follow the demand, at zones that had so many replicas.
fn plan_of(found: u32) -> ScalePlan {
    let mut plan = ScalePlan::new(ScalingPolicy::default());
    assert!(plan.next("s", &bounds(), &observed([found; 3], 0), |_| None, Timestamp::ORIGIN).is_empty());
    plan
}

fn plan() -> ScalePlan {
    plan_of(2)
}

/// Looks twice, so long apart that a shortage counts.
fn look(plan: &mut ScalePlan, observed: &ObservedService, from_ms: u64) -> Vec<ScaleOrder> {
    let first = plan.next("s", &bounds(), observed, |_| None, at(from_ms));
    let second = plan.next("s", &bounds(), observed, |_| None, at(from_ms + 900));
    first.into_iter().chain(second).collect()
}

fn desired(orders: &[ScaleOrder]) -> BTreeMap<&str, u32> {
    orders.iter().map(|order| (order.zone.as_str(), order.desired)).collect()
}

#[test]
fn demand_is_spread_evenly_and_what_is_left_over_goes_to_the_cheapest_zone() {
    let orders = look(&mut plan(), &observed([3, 3, 3], 80), 0);
    assert_eq!(
        desired(&orders),
        BTreeMap::from([("b", 4)]),
        "ten replicas, of which three zones have three each"
    );
    let orders = look(&mut plan(), &observed([3, 3, 3], 81), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("a", 4), ("b", 4)]));
}

#[test]
fn what_is_there_is_enough_for_less_demand() {
    assert!(look(&mut plan(), &observed([3, 3, 3], 72), 0).is_empty());
    assert!(
        look(&mut plan(), &observed([3, 3, 3], 0), 0).is_empty(),
        "nothing is taken away from a new holder's zones"
    );
}

#[test]
fn no_order_goes_beyond_the_bounds() {
    let orders = look(&mut plan(), &observed([3, 3, 3], 100_000), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("a", 30), ("b", 30), ("c", 30)]));
}

#[test]
fn a_zone_that_lost_replicas_is_ordered_again() {
    let mut plan = plan();
    assert!(look(&mut plan, &observed([5, 5, 5], 120), 0).is_empty());
    let orders = look(&mut plan, &observed([5, 2, 5], 120), 2_000);
    assert_eq!(desired(&orders), BTreeMap::from([("b", 5)]));
    assert!(look(&mut plan, &observed([5, 2, 5], 120), 3_000).is_empty(), "an order is under way");
    plan.order_ended(&orders[0], START, true, at(3_500));
    assert!(look(&mut plan, &observed([5, 2, 5], 120), 4_000).is_empty(), "new ones take a while to start");
    assert_eq!(
        look(&mut plan, &observed([5, 2, 5], 120), 9_600).len(),
        1,
        "and are ordered again if they don't"
    );
}

#[test]
fn an_order_that_was_not_taken_is_given_again_after_a_pause() {
    let mut plan = plan();
    let orders = look(&mut plan, &observed([2, 5, 5], 120), 0);
    assert_eq!(orders.len(), 1);
    plan.order_ended(&orders[0], START, false, at(1_000));
    assert!(plan.next("s", &bounds(), &observed([2, 5, 5], 120), |_| None, at(1_900)).is_empty());
    assert_eq!(plan.next("s", &bounds(), &observed([2, 5, 5], 120), |_| None, at(2_100)).len(), 1);
}

#[test]
fn a_new_holder_keeps_to_what_was_ordered_before_it() {
    let mut plan = plan();
    let earlier = |zone: &str| (zone == "c").then_some(9);
    plan.next("s", &bounds(), &observed([5, 5, 5], 0), earlier, at(0));
    let orders = plan.next("s", &bounds(), &observed([5, 5, 5], 0), earlier, at(900));
    assert_eq!(desired(&orders), BTreeMap::from([("c", 9)]));
}

#[test]
fn replicas_are_given_back_once_the_demand_has_been_low_for_long_but_none_that_were_found() {
    let mut plan = plan();
    let all = |count| BTreeMap::from([("a", count), ("b", count), ("c", count)]);
    assert_eq!(desired(&look(&mut plan, &observed([2, 2, 2], 120), 0)), all(5));
    for zone in ["a", "b", "c"] {
        let order = ScaleOrder { service: "s".to_owned(), zone: zone.to_owned(), desired: 5 };
        plan.order_ended(&order, START, true, at(1_000));
    }
    assert!(look(&mut plan, &observed([5, 5, 5], 24), 50_000).is_empty(), "the peak still counts");
    let orders = look(&mut plan, &observed([5, 5, 5], 24), 70_000);
    assert_eq!(desired(&orders), all(2));
    for order in &orders {
        plan.order_ended(order, START, true, at(72_000));
    }
    assert!(look(&mut plan, &observed([5, 5, 5], 24), 80_000).is_empty(), "they leave when they can");
}

#[test]
fn no_more_are_ordered_than_can_be_kept_at_the_newest_weights() {
    let limited = |renewable| ObservedService { renewable: Some(renewable), ..observed([3, 3, 3], 400) };
    assert!(look(&mut plan(), &limited(8), 0).is_empty(), "what is there stays");
    let orders = look(&mut plan(), &limited(12), 0);
    assert_eq!(desired(&orders), BTreeMap::from([("a", 4), ("b", 4), ("c", 4)]));
}

proptest! {
    #[test]
    fn orders_lie_within_the_bounds_and_never_two_of_a_zone_at_a_time(
        looks in prop::collection::vec((prop::array::uniform3(0_u32..40), 0_u32..2_000, any::<bool>()), 1..60),
    ) {
        let mut plan = plan();
        let mut under_way: BTreeMap<String, ScaleOrder> = BTreeMap::new();
        for (number, (ready, demand, ends)) in (0_u64..).zip(looks) {
            let now = at(number * 700);
            for order in plan.next("s", &bounds(), &observed(ready, demand), |_| None, now) {
                prop_assert!((1..=30).contains(&order.desired));
                prop_assert!(under_way.insert(order.zone.clone(), order).is_none());
            }
            if ends && let Some((_, order)) = under_way.pop_first() {
                plan.order_ended(&order, START, demand % 2 == 0, now);
            }
        }
    }
}
