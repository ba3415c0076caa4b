//! Which connection is closed when callers keep too many open.

use lichenpulley_core::intake::connections::{ConnectionLimit, WaitingConnection, to_close};
use lichenpulley_core::time::Timestamp;

const LIMIT: ConnectionLimit = ConnectionLimit { served: 4, closing: 1 };

fn waiting(number: u64, since_s: u64) -> WaitingConnection {
    WaitingConnection { number, waiting_since: Timestamp::from_millis(since_s * 1_000) }
}

#[test]
fn nothing_is_closed_up_to_the_limit() {
    assert_eq!(to_close(LIMIT, 4, [waiting(1, 0)]), None);
}

#[test]
fn the_connection_that_waits_for_the_longest_time_is_closed() {
    assert_eq!(to_close(LIMIT, 5, [waiting(1, 7), waiting(2, 3), waiting(3, 9)]), Some(2));
}

#[test]
fn a_new_connection_is_closed_itself_if_all_others_have_requests_in_progress() {
    assert_eq!(to_close(LIMIT, 5, [waiting(5, 60)]), Some(5));
}

#[test]
fn connections_take_a_part_of_the_descriptors_and_of_the_memory() {
    let limit = ConnectionLimit::for_callers(1 << 30, 400);
    assert_eq!(limit.served, 150);
    assert!(ConnectionLimit::for_operators(1 << 30, 400).served < 50);
    assert_eq!(ConnectionLimit::for_callers(64 << 20, u64::MAX).served, 512);
}

#[test]
fn a_process_with_few_descriptors_still_serves_some_connections() {
    assert_eq!(ConnectionLimit::for_operators(16_000_000, 64).served, 8);
}
