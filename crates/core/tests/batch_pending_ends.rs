//! Pending ends of jobs: retried until they are committed, within bounds.

use std::time::Duration;

use lichenpulley_core::batch::pending_ends::{
    COPY_DELAY, EXPIRES_AFTER, EndAnswer, EndKey, EndOutcome, EndSource, MAX_IN_FLIGHT, MAX_PENDING,
    PendingEnds, UNKNOWN_JOB_TIMEOUT,
};
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

fn key(number: usize) -> EndKey {
    EndKey { batch: BatchId::new(format!("job-{number}")), caller: None }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

/// Answers the end whenever it is due, until it is settled. Returns the outcome and the number of attempts.
fn run_until_settled(
    ends: &mut PendingEnds,
    key: &EndKey,
    answer: impl Fn(Timestamp) -> EndAnswer,
) -> (EndOutcome, u32) {
    loop {
        let now = ends.deadline().expect("a pending end");
        assert_eq!(ends.due(now), std::slice::from_ref(key));
        if let Some(settled) = ends.answered(now, key, answer(now)) {
            return (settled.outcome, settled.attempts);
        }
    }
}

#[test]
fn an_end_is_retried_until_it_is_committed() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Caller);
    let committed_from = at(20_000);
    let answer = |now| if now >= committed_from { EndAnswer::Committed } else { EndAnswer::Inconclusive };
    let (outcome, attempts) = run_until_settled(&mut ends, &key(1), answer);
    assert_eq!(outcome, EndOutcome::Committed);
    // The backoff is 100, 200, 400 and then 800 ms.
    assert!((25..35).contains(&attempts), "{attempts}");
    assert_eq!(ends.count(), 0);
}

#[test]
fn an_end_of_an_unknown_job_waits_for_the_job() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Caller);
    let accepted_at = at(5_000);
    let answer = |now| if now >= accepted_at { EndAnswer::Committed } else { EndAnswer::Unknown };
    assert_eq!(run_until_settled(&mut ends, &key(1), answer).0, EndOutcome::Committed);
    ends.hold(at(0), key(2), EndSource::Caller);
    let (outcome, attempts) = run_until_settled(&mut ends, &key(2), |_| EndAnswer::Unknown);
    assert_eq!(outcome, EndOutcome::Unknown);
    assert!(attempts < 20, "{attempts} in {UNKNOWN_JOB_TIMEOUT:?}");
}

#[test]
fn an_uncommitted_end_expires() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Caller);
    let (outcome, attempts) = run_until_settled(&mut ends, &key(1), |_| EndAnswer::Inconclusive);
    assert_eq!(outcome, EndOutcome::Expired);
    assert!(u64::from(attempts) < EXPIRES_AFTER.as_secs() * 2, "{attempts}");
}

#[test]
fn a_replicated_end_is_sent_later_and_once_for_an_unknown_job() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Peer);
    assert_eq!(ends.due(at(0)), []);
    assert_eq!(ends.deadline(), Some(at(0) + COPY_DELAY));
    assert_eq!(run_until_settled(&mut ends, &key(1), |_| EndAnswer::Unknown), (EndOutcome::Unknown, 1));
}

#[test]
fn an_end_that_a_caller_repeats_is_due_at_once() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Peer);
    ends.hold(at(10), key(1), EndSource::Caller);
    assert_eq!(ends.due(at(10)), [key(1)]);
    // An end in flight is not sent a second time.
    ends.hold(at(20), key(1), EndSource::Caller);
    assert_eq!(ends.due(at(20)), []);
}

#[test]
fn the_oldest_end_is_evicted_at_the_limit() {
    let mut ends = PendingEnds::default();
    for number in 0..MAX_PENDING {
        assert_eq!(ends.hold(at(number as u64), key(number), EndSource::Caller), None);
    }
    let displaced = ends.hold(at(10_000), key(MAX_PENDING), EndSource::Caller).expect("an evicted end");
    assert_eq!((displaced.key, displaced.outcome), (key(0), EndOutcome::Displaced));
    assert_eq!(ends.count(), MAX_PENDING);
    assert_eq!(ends.due(at(10_000)).len(), MAX_IN_FLIGHT);
    assert_eq!(ends.deadline(), None);
}

proptest! {
    /// For any answers, each end is settled once, none is in flight twice, and all expire.
    #[test]
    fn every_end_is_settled(answers in prop::collection::vec((0..4_usize, 0..3_u8, any::<bool>()), 1..200)) {
        let mut ends = PendingEnds::default();
        let mut held = 0;
        let mut settled = 0;
        let mut now = at(0);
        for (number, answer, is_caller) in answers {
            let source = if is_caller { EndSource::Caller } else { EndSource::Peer };
            held += usize::from(!ends.holds(&key(number)));
            ends.hold(now, key(number), source);
            now = now + Duration::from_millis(150);
            for due in ends.due(now) {
                let answer = [EndAnswer::Committed, EndAnswer::Unknown, EndAnswer::Inconclusive][usize::from(answer)];
                settled += usize::from(ends.answered(now, &due, answer).is_some());
            }
        }
        prop_assert_eq!(ends.count() + settled, held);
        while let Some(next) = ends.deadline() {
            for due in ends.due(next) {
                settled += usize::from(ends.answered(next, &due, EndAnswer::Inconclusive).is_some());
            }
        }
        prop_assert_eq!(settled, held);
    }
}
