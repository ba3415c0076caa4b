//! Ends of jobs that a node has read: asked for until they are kept, within bounds.

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

/// Answers all that is due until nothing is held; returns how it ended and how often the owner was asked.
fn pursue(
    pursuit: &mut PendingEnds,
    key: &EndKey,
    answer: impl Fn(Timestamp) -> EndAnswer,
) -> (EndOutcome, u32) {
    loop {
        let now = pursuit.deadline().expect("something is held");
        assert_eq!(pursuit.due(now), std::slice::from_ref(key));
        if let Some(settled) = pursuit.answered(now, key, answer(now)) {
            return (settled.outcome, settled.attempts);
        }
    }
}

#[test]
fn an_end_is_asked_for_until_it_is_kept() {
    let mut pursuit = PendingEnds::default();
    pursuit.hold(at(0), key(1), EndSource::Caller);
    let kept_from = at(20_000);
    let answer = |now| if now >= kept_from { EndAnswer::Committed } else { EndAnswer::Inconclusive };
    let (outcome, attempts) = pursue(&mut pursuit, &key(1), answer);
    assert_eq!(outcome, EndOutcome::Committed);
    // 100, 200, 400 and then 800 ms apart.
    assert!((25..35).contains(&attempts), "{attempts}");
    assert_eq!(pursuit.count(), 0);
}

#[test]
fn an_end_of_an_unknown_job_is_held_while_the_job_may_be_on_its_way() {
    let mut pursuit = PendingEnds::default();
    pursuit.hold(at(0), key(1), EndSource::Caller);
    let taken_at = at(5_000);
    let answer = |now| if now >= taken_at { EndAnswer::Committed } else { EndAnswer::Unknown };
    assert_eq!(pursue(&mut pursuit, &key(1), answer).0, EndOutcome::Committed);
    pursuit.hold(at(0), key(2), EndSource::Caller);
    let (outcome, attempts) = pursue(&mut pursuit, &key(2), |_| EndAnswer::Unknown);
    assert_eq!(outcome, EndOutcome::Unknown);
    assert!(attempts < 20, "{attempts} in {UNKNOWN_JOB_TIMEOUT:?}");
}

#[test]
fn an_end_that_is_never_kept_expires() {
    let mut pursuit = PendingEnds::default();
    pursuit.hold(at(0), key(1), EndSource::Caller);
    let (outcome, attempts) = pursue(&mut pursuit, &key(1), |_| EndAnswer::Inconclusive);
    assert_eq!(outcome, EndOutcome::Expired);
    assert!(u64::from(attempts) < EXPIRES_AFTER.as_secs() * 2, "{attempts}");
}

#[test]
fn a_node_that_was_told_asks_later_and_once_where_the_job_is_unknown() {
    let mut pursuit = PendingEnds::default();
    pursuit.hold(at(0), key(1), EndSource::Peer);
    assert_eq!(pursuit.due(at(0)), []);
    assert_eq!(pursuit.deadline(), Some(at(0) + COPY_DELAY));
    assert_eq!(pursue(&mut pursuit, &key(1), |_| EndAnswer::Unknown), (EndOutcome::Unknown, 1));
}

#[test]
fn an_end_that_a_caller_sends_again_is_asked_for_at_once() {
    let mut pursuit = PendingEnds::default();
    pursuit.hold(at(0), key(1), EndSource::Peer);
    pursuit.hold(at(10), key(1), EndSource::Caller);
    assert_eq!(pursuit.due(at(10)), [key(1)]);
    // While it is asked for, nobody asks a second time.
    pursuit.hold(at(20), key(1), EndSource::Caller);
    assert_eq!(pursuit.due(at(20)), []);
}

#[test]
fn the_oldest_end_gives_way_where_too_many_are_held() {
    let mut pursuit = PendingEnds::default();
    for number in 0..MAX_PENDING {
        assert_eq!(pursuit.hold(at(number as u64), key(number), EndSource::Caller), None);
    }
    let displaced = pursuit.hold(at(10_000), key(MAX_PENDING), EndSource::Caller).expect("one gives way");
    assert_eq!((displaced.key, displaced.outcome), (key(0), EndOutcome::Displaced));
    assert_eq!(pursuit.count(), MAX_PENDING);
    assert_eq!(pursuit.due(at(10_000)).len(), MAX_IN_FLIGHT);
    assert_eq!(pursuit.deadline(), None);
}

proptest! {
    /// Whatever is said, each end that was held is settled once, none is asked for twice at a time, and all expire.
    #[test]
    fn every_end_is_settled(answers in prop::collection::vec((0..4_usize, 0..3_u8, any::<bool>()), 1..200)) {
        let mut pursuit = PendingEnds::default();
        let mut held = 0;
        let mut settled = 0;
        let mut now = at(0);
        for (number, answer, is_caller) in answers {
            let source = if is_caller { EndSource::Caller } else { EndSource::Peer };
            held += usize::from(!pursuit.holds(&key(number)));
            pursuit.hold(now, key(number), source);
            now = now + Duration::from_millis(150);
            for due in pursuit.due(now) {
                let answer = [EndAnswer::Committed, EndAnswer::Unknown, EndAnswer::Inconclusive][usize::from(answer)];
                settled += usize::from(pursuit.answered(now, &due, answer).is_some());
            }
        }
        prop_assert_eq!(pursuit.count() + settled, held);
        while let Some(next) = pursuit.deadline() {
            for due in pursuit.due(next) {
                settled += usize::from(pursuit.answered(next, &due, EndAnswer::Inconclusive).is_some());
            }
        }
        prop_assert_eq!(settled, held);
    }
}
