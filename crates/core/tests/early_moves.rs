//! Tests of the early moves of plain requests: their time, their limits, and the retry time of requests that no replica
//! can serve in time.

use std::time::Duration;

use lichenpulley_core::retry::attempt_timeout;
use lichenpulley_core::retry::early_moves::{EarlyMoveResult, EarlyMoves};
use lichenpulley_core::retry::retry_after::{QueueDrain, RetryCause};
use lichenpulley_core::time::Timestamp;

const TARGET: Duration = Duration::from_millis(150);
const START: Timestamp = Timestamp::from_millis(10_000);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_request_may_move_early_after_six_tenths_of_the_target() {
    assert_eq!(attempt_timeout::early_move_at(TARGET, START, START), START + ms(90));
    assert_eq!(attempt_timeout::early_move_at(TARGET, START, START + ms(10)), START + ms(90));
    assert!(attempt_timeout::for_request(ms(1_500)) >= ms(300), "the timeout of later moves");
}

/// Guards against sends that are cut off before half of the target, because opening their connection took long.
#[test]
fn a_send_is_given_half_of_the_target_after_its_first_byte() {
    for connect_ms in [20, 60, 120, 200] {
        let written_at = START + ms(connect_ms);
        let moves_at = attempt_timeout::early_move_at(TARGET, START, written_at);
        assert!(moves_at.saturating_since(written_at) >= TARGET / 2, "{connect_ms} ms");
    }
}

/// Returns the early moves that are granted if every request of a steady load asks for one.
fn moves_of_steady_load(requests_per_s: u64, seconds: u64) -> u64 {
    let mut moves = EarlyMoves::default();
    let requests = requests_per_s * seconds;
    let granted = (0..requests).filter(|number| {
        let now = START + ms(number * 1_000 / requests_per_s);
        moves.record_request("a", now);
        moves.withdraw("a", now)
    });
    granted.count() as u64
}

/// Guards against repeats that take slots from first attempts when every replica is slow.
#[test]
fn early_moves_stay_within_a_tenth_of_the_requests_and_one_a_second() {
    for requests_per_s in [1, 12, 100, 400] {
        let seconds = 60;
        let granted = moves_of_steady_load(requests_per_s, seconds);
        let allowed = requests_per_s * seconds / 10 + seconds;
        assert!(granted <= allowed + 20, "{granted} of {allowed} with {requests_per_s} a second");
        let asked = requests_per_s * seconds;
        assert!(granted + 20 >= allowed.min(asked), "{granted} of {allowed} with {requests_per_s} a second");
    }
}

/// Guards against a burst from the many gateways of a deployment that were idle before.
#[test]
fn an_idle_gateway_saves_only_the_early_moves_of_a_second() {
    let mut moves = EarlyMoves::default();
    moves.record_request("a", START);
    let now = START + Duration::from_secs(600);
    moves.record_request("a", now);
    let granted = (0..100).filter(|_| moves.withdraw("a", now)).count();
    assert_eq!(granted, 1);
}

#[test]
fn each_service_has_its_own_budget() {
    let mut moves = EarlyMoves::default();
    while moves.withdraw("a", START) {}
    assert!(moves.withdraw("b", START));
    moves.retain_services(|service| service == "b");
    assert!(moves.withdraw("a", START), "a service that was removed and configured again begins anew");
}

/// One replica of ten with waiting requests is slowed down, which an early move helps with. Waiting requests at a third
/// of the replicas are a shortage.
#[test]
fn waiting_requests_in_a_third_of_the_recent_answers_are_a_shortage() {
    let mut moves = EarlyMoves::default();
    assert!(!moves.is_short("a", &[], START), "nothing is known");
    for number in 0..8 {
        moves.record_answer("a", "one", u32::from(number == 3), START);
    }
    assert!(!moves.is_short("a", &[], START));
    for _ in 0..3 {
        moves.record_answer("a", "one", 2, START);
    }
    assert!(moves.is_short("a", &[], START));
    assert!(!moves.is_short("b", &[], START));
    assert!(!moves.is_short("a", &[], START + Duration::from_secs(10)), "old answers say nothing");
    for _ in 0..8 {
        moves.record_answer("a", "one", 0, START);
    }
    assert!(!moves.is_short("a", &[], START), "the shortage is over");
}

/// Guards against a request that stays at the only slow replica of two, because that replica shows waiting requests.
#[test]
fn waiting_requests_at_the_replica_to_be_left_are_no_shortage() {
    let mut moves = EarlyMoves::default();
    moves.record_answer("a", "slow", 4, START);
    moves.record_answer("a", "other", 0, START);
    assert!(moves.is_short("a", &[], START));
    assert!(!moves.is_short("a", &["slow".to_owned()], START));
    moves.record_answer("a", "other", 1, START);
    assert!(moves.is_short("a", &["slow".to_owned()], START));
}

/// Guards against early moves of each request of a gateway with few requests while all replicas are slow.
#[test]
fn early_moves_pause_after_one_that_was_answered_late() {
    let mut moves = EarlyMoves::default();
    assert!(!moves.is_futile("a", START));
    let mut previous = Duration::ZERO;
    let mut now = START;
    for _ in 0..3 {
        moves.record_result("a", EarlyMoveResult::Late, now);
        let futile = (1..100).find(|seconds| !moves.is_futile("a", now + Duration::from_secs(*seconds)));
        let pause = Duration::from_secs(futile.expect("an end"));
        assert!(pause > previous && pause >= Duration::from_secs(5), "{pause:?}");
        previous = pause;
        now = now + pause;
    }
    moves.record_result("a", EarlyMoveResult::InTarget, now);
    assert!(!moves.is_futile("a", now) && !moves.is_futile("b", now));
}

#[test]
fn the_result_of_an_early_move_is_judged_by_the_target() {
    assert_eq!(EarlyMoveResult::of(Some(TARGET), TARGET), EarlyMoveResult::InTarget);
    assert_eq!(EarlyMoveResult::of(Some(ms(151)), TARGET), EarlyMoveResult::Late);
    assert_eq!(EarlyMoveResult::of(None, TARGET), EarlyMoveResult::Failed);
}

fn retry_after(drain_ms: u64, remaining_ms: u64) -> Duration {
    let queues = QueueDrain { drain_time: ms(drain_ms), remaining: ms(remaining_ms) };
    RetryCause::Queues(queues).retry_after()
}

#[test]
fn the_retry_time_is_the_drain_time_of_the_queue() {
    assert_eq!(retry_after(300, 1_500), ms(300));
    assert_eq!(retry_after(310, 1_500), ms(400), "rounded up, since the queue has not drained before");
}

/// Callers ignore a `Retry-After` of more than a third of the time that they have left.
#[test]
fn the_retry_time_is_at_most_a_third_of_the_remaining_time_and_at_least_a_tenth_of_a_second() {
    assert_eq!(retry_after(5_000, 1_500), ms(500));
    assert_eq!(retry_after(5_000, 1_400), ms(400), "rounded down to stay within 466 ms");
    assert_eq!(retry_after(0, 1_500), ms(100));
    assert_eq!(retry_after(5_000, 0), ms(100));
    let unbounded = QueueDrain { drain_time: Duration::MAX, remaining: Duration::MAX };
    assert!(RetryCause::Queues(unbounded).retry_after() > Duration::from_secs(1), "no overflow");
}

#[test]
fn the_retry_time_without_reported_queues_is_fixed() {
    assert_eq!(RetryCause::NoReplica.retry_after(), ms(100));
}
