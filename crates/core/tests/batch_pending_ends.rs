//! Pending ends of jobs: retried until they are committed, within bounds.

use std::time::Duration;

use lichenpulley_core::batch::pending_ends::{
    COPY_DELAY, COPY_RENEWAL_INTERVAL, COPY_RETRY_DELAY, EXPIRES_AFTER, EndAnswer, EndKey, EndOutcome,
    EndSource, MAX_IN_FLIGHT, MAX_PENDING, PendingEnds, RENEWS_COPIES_FOR, UNKNOWN_JOB_TIMEOUT,
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

/// Returns when the next copies of an end are due, if it is never sent to the owner.
fn next_copy(ends: &PendingEnds, key: &EndKey, from: Timestamp) -> Option<Timestamp> {
    let mut ends = ends.clone();
    let step = Duration::from_millis(50);
    (0..200).map(|number| from + step * number).find(|now| ends.copies_due(*now).contains(key))
}

#[test]
fn copies_are_renewed_while_an_end_is_pending() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Caller);
    assert_eq!(ends.copies_due(at(0)), [key(1)]);
    // An end that is being copied is not copied a second time.
    assert_eq!(ends.copies_due(at(5_000)), []);
    ends.copied(at(100), &key(1), false);
    assert_eq!(next_copy(&ends, &key(1), at(100)), Some(at(100) + COPY_RETRY_DELAY));
    assert_eq!(ends.copies_due(at(400)), [key(1)]);
    ends.copied(at(400), &key(1), true);
    assert_eq!(next_copy(&ends, &key(1), at(400)), Some(at(400) + COPY_RENEWAL_INTERVAL));
    ends.answered(at(500), &key(1), EndAnswer::Committed);
    assert_eq!(next_copy(&ends, &key(1), at(500)), None);
}

#[test]
fn a_holder_of_a_copy_copies_an_end_that_stays_pending() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Peer);
    let due = ends.due(at(0) + COPY_DELAY);
    ends.answered(at(1_100), &due[0], EndAnswer::Inconclusive);
    assert_eq!(next_copy(&ends, &key(1), at(0)), Some(at(0) + COPY_DELAY + COPY_RENEWAL_INTERVAL));
}

#[test]
fn an_end_that_waits_for_its_job_is_not_copied() {
    let mut ends = PendingEnds::default();
    ends.hold(at(0), key(1), EndSource::Caller);
    let due = ends.due(at(0));
    assert_eq!(ends.copies_due(at(0)), [key(1)]);
    ends.copied(at(10), &key(1), true);
    ends.answered(at(20), &due[0], EndAnswer::Unknown);
    assert_eq!(next_copy(&ends, &key(1), at(20)), None);
}

#[test]
fn holders_do_not_keep_an_expired_end_alive_by_copying_it_to_each_other() {
    // Each holder copies the end to the other, which takes it if it holds none.
    let mut holders = [PendingEnds::default(), PendingEnds::default()];
    holders[0].hold(at(0), key(1), EndSource::Caller);
    let mut now = at(0);
    while now < at(0) + EXPIRES_AFTER + RENEWS_COPIES_FOR + EXPIRES_AFTER {
        for holder in 0..holders.len() {
            for due in holders[holder].due(now) {
                holders[holder].answered(now, &due, EndAnswer::Inconclusive);
            }
            for copied in holders[holder].copies_due(now) {
                holders[1 - holder].hold(now, copied.clone(), EndSource::Peer);
                holders[holder].copied(now, &copied, true);
            }
        }
        now = now + Duration::from_millis(100);
    }
    assert_eq!(holders.map(|holder| holder.count()), [0, 0]);
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
