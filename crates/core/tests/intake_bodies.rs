//! The division of the memory for request bodies among bodies that arrive, stall, wait and end.

use std::time::Duration;

use lichenpulley_core::intake::bodies::{BodyBudget, BodyLimit, BodyNumber, Growth, SHORT_BODY_BYTES};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

const MB: u64 = 1_000_000;
const LIMIT: BodyLimit = BodyLimit { short: 2 * MB, long: 20 * MB, single_long: 30 * MB };

fn at(seconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_secs(seconds)
}

/// A budget with bodies of this size that arrived a second apart, all but their last byte.
fn with_stalled(sizes: &[u64]) -> (BodyBudget, Vec<BodyNumber>) {
    let mut budget = BodyBudget::new(LIMIT);
    let bodies = sizes
        .iter()
        .zip(0..)
        .map(|(size, second)| {
            let body = budget.begin(at(second));
            assert_eq!(budget.grow(body, *size, *size, at(second)), Growth::Granted);
            body
        })
        .collect();
    (budget, bodies)
}

/// Raises the memory of a body that has arrived at this moment.
fn grow(budget: &mut BodyBudget, body: BodyNumber, bytes: u64, second: u64) -> Growth {
    budget.grow(body, bytes, bytes, at(second))
}

#[test]
fn bodies_are_granted_memory_up_to_the_limit() {
    let (mut budget, _) = with_stalled(&[15 * MB]);
    let body = budget.begin(at(100));
    assert_eq!(grow(&mut budget, body, 5 * MB, 100), Growth::Granted);
    assert_eq!(budget.held_bytes(), LIMIT.long);
}

#[test]
fn a_body_that_is_sent_takes_the_memory_of_the_one_that_stalled_first() {
    let (mut budget, stalled) = with_stalled(&[8 * MB, 8 * MB]);
    let body = budget.begin(at(100));
    assert_eq!(grow(&mut budget, body, 4 * MB, 100), Growth::Granted);
    assert_eq!(grow(&mut budget, body, 5 * MB, 100), Growth::AfterEviction(vec![stalled[0]]));
    // Granted only once the evicted body has returned its memory.
    assert_eq!(grow(&mut budget, body, 5 * MB, 100), Growth::AfterEviction(Vec::new()));
    budget.release(stalled[0]);
    assert_eq!(grow(&mut budget, body, 5 * MB, 100), Growth::Granted);
}

/// Guards against a crowd that keeps others out for as long as its bodies would have taken at the moderate rate.
#[test]
fn a_body_that_was_sent_at_once_is_behind_as_soon_as_it_stalls() {
    let (mut budget, stalled) = with_stalled(&[20 * MB]);
    let body = budget.begin(at(1));
    assert_eq!(grow(&mut budget, body, MB, 1), Growth::AfterEviction(stalled));
}

#[test]
fn bodies_that_are_being_sent_do_not_take_memory_from_each_other() {
    let mut budget = BodyBudget::new(LIMIT);
    let (first, second) = (budget.begin(at(0)), budget.begin(at(0)));
    assert_eq!(grow(&mut budget, first, 12 * MB, 12), Growth::Granted);
    assert_eq!(grow(&mut budget, second, 8 * MB, 8), Growth::Granted);
    assert_eq!(budget.grow(second, 9 * MB, 12 * MB, at(12)), Growth::Refused);
}

#[test]
fn an_evicted_body_gets_no_more_memory_and_does_not_become_whole() {
    let (mut budget, stalled) = with_stalled(&[20 * MB]);
    let body = budget.begin(at(100));
    assert_eq!(grow(&mut budget, body, MB, 100), Growth::AfterEviction(stalled.clone()));
    assert_eq!(grow(&mut budget, stalled[0], 20 * MB + 1, 100), Growth::Refused);
    assert!(!budget.complete(stalled[0]));
}

#[test]
fn a_body_that_sends_now_and_then_is_behind_one_that_keeps_sending() {
    let mut budget = BodyBudget::new(LIMIT);
    let slow = budget.begin(at(0));
    assert_eq!(grow(&mut budget, slow, 10 * MB, 60), Growth::Granted);
    let steady = budget.begin(at(60));
    assert_eq!(grow(&mut budget, steady, 10 * MB, 70), Growth::Granted);
    assert_eq!(grow(&mut budget, slow, 10 * MB + 1, 70), Growth::Refused);
    assert_eq!(grow(&mut budget, steady, 11 * MB, 71), Growth::AfterEviction(vec![slow]));
}

#[test]
fn a_long_upload_at_a_moderate_rate_is_not_behind() {
    let mut budget = BodyBudget::new(LIMIT);
    let upload = budget.begin(at(0));
    for second in 1..=14 {
        assert_eq!(grow(&mut budget, upload, second * MB, second), Growth::Granted);
    }
    let stalled = budget.begin(at(1));
    assert_eq!(budget.grow(stalled, 6 * MB, MB, at(2)), Growth::Granted);
    let other = budget.begin(at(14));
    assert_eq!(grow(&mut budget, other, MB, 14), Growth::AfterEviction(vec![stalled]));
    assert_eq!(grow(&mut budget, other, 7 * MB, 14), Growth::Refused);
}

#[test]
fn whole_bodies_are_never_evicted() {
    let (mut budget, bodies) = with_stalled(&[10 * MB, 10 * MB]);
    assert!(bodies.iter().all(|body| budget.complete(*body)));
    let body = budget.begin(at(100));
    assert_eq!(grow(&mut budget, body, MB, 100), Growth::Refused);
}

#[test]
fn nothing_is_evicted_where_that_does_not_make_enough_room() {
    let (mut budget, bodies) = with_stalled(&[15 * MB, 5 * MB]);
    assert!(budget.complete(bodies[0]));
    let body = budget.begin(at(100));
    assert_eq!(grow(&mut budget, body, 6 * MB, 100), Growth::Refused);
    assert_eq!(grow(&mut budget, body, 5 * MB, 100), Growth::AfterEviction(vec![bodies[1]]));
}

#[test]
fn long_bodies_leave_memory_to_short_ones() {
    let (mut budget, bodies) = with_stalled(&[20 * MB]);
    assert!(budget.complete(bodies[0]));
    let short = budget.begin(at(100));
    assert_eq!(grow(&mut budget, short, SHORT_BODY_BYTES, 100), Growth::Granted);
    assert_eq!(grow(&mut budget, short, SHORT_BODY_BYTES + 1, 100), Growth::Refused);
}

#[test]
fn a_long_body_has_more_memory_while_there_is_no_other() {
    let (mut budget, bodies) = with_stalled(&[30 * MB]);
    let other = budget.begin(at(100));
    assert_eq!(grow(&mut budget, other, MB, 100), Growth::AfterEviction(bodies));
    let mut budget = BodyBudget::new(LIMIT);
    let body = budget.begin(at(0));
    assert_eq!(grow(&mut budget, body, 30 * MB + 1, 0), Growth::Refused);
}

#[test]
fn accepted_jobs_leave_less_memory_to_a_single_long_body() {
    let mut budget = BodyBudget::new(LIMIT);
    budget.replace_job_bytes(0, 4 * MB);
    let body = budget.begin(at(0));
    assert_eq!(grow(&mut budget, body, 26 * MB + 1, 0), Growth::Refused);
    assert_eq!(grow(&mut budget, body, 26 * MB, 0), Growth::Granted);
    budget.release(body);
    budget.replace_job_bytes(4 * MB, 25 * MB);
    let body = budget.begin(at(0));
    assert_eq!(grow(&mut budget, body, LIMIT.long, 0), Growth::Granted);
}

#[test]
fn a_machine_of_88_mb_has_room_for_a_body_of_32_mib() {
    let limit = BodyLimit::for_memory(88 * MB);
    assert!(limit.long > 32 << 20);
    assert!(limit.short + limit.single_long < 88 * MB / 4 * 3);
}

/// Guards against refusing each job at a machine that is given less memory than the settings allow, as in a test.
#[test]
fn a_machine_below_the_smallest_has_the_memory_of_the_smallest_for_a_single_long_body() {
    assert_eq!(BodyLimit::for_memory(6 * MB).single_long, BodyLimit::for_memory(16 * MB).single_long);
}

proptest! {
    /// Memory returned twice or counted in the wrong pool would exhaust the budget, or exceed it.
    #[test]
    fn the_sum_stays_within_the_limit_and_returns_to_zero(
        steps in prop::collection::vec((0..12_usize, 0..4_u8, 0..12 * MB), 1..200),
    ) {
        let mut budget = BodyBudget::new(LIMIT);
        let mut bodies: Vec<Option<BodyNumber>> = vec![None; 12];
        for (second, (slot, action, bytes)) in (0..).zip(steps) {
            let body = *bodies[slot].get_or_insert_with(|| budget.begin(at(second)));
            match action {
                0 => {
                    budget.complete(body);
                }
                1 => {
                    budget.release(body);
                    bodies[slot] = None;
                }
                _ => {
                    if let Growth::AfterEviction(evicted) = budget.grow(body, bytes, bytes, at(second)) {
                        prop_assert!(!evicted.contains(&body));
                    }
                }
            }
            prop_assert!(budget.held_bytes() <= LIMIT.short + LIMIT.single_long);
        }
        bodies.into_iter().flatten().for_each(|body| budget.release(body));
        prop_assert_eq!(budget.held_bytes(), 0);
    }
}
