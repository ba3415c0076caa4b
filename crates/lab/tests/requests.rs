//! Requests under faults on a virtual clock: with every mechanism on no schedule breaks a promise; with one switched
//! off the same schedules do.

use lichenpulley_lab::simulations::requests::{Mechanisms, OutcomeTally, RequestSchedule, Violation};

/// Seeds of the schedules that run in every test run. A longer run: `lichenpulley-lab simulate requests`.
const SEEDS: std::ops::Range<u64> = 1..31;

fn violations(mechanisms: Mechanisms) -> (Vec<Violation>, OutcomeTally) {
    let mut all = Vec::new();
    let mut tally = OutcomeTally::default();
    for seed in SEEDS {
        let report = RequestSchedule::draw(seed).run(mechanisms);
        tally.add(&report.tally);
        all.extend(report.violations);
    }
    (all, tally)
}

#[test]
fn no_schedule_breaks_a_promise() {
    let (violations, tally) = violations(Mechanisms::ON);
    assert_eq!(violations, []);
    // The schedules reach what the promises are about.
    assert!(tally.completed > 0 && tally.completed_in_many_attempts > 0);
    assert!(tally.not_run > 0 && tally.unknown > 0);
}

#[test]
fn without_a_proof_not_run_is_told_of_requests_that_ran() {
    let (violations, _) = violations(Mechanisms { proof_of_not_run: false, ..Mechanisms::ON });
    assert!(violations.iter().any(|found| matches!(found, Violation::RanThoughNotRun { .. })));
}

#[test]
fn without_claims_a_repeated_id_runs_twice() {
    let (violations, _) = violations(Mechanisms { claims: false, ..Mechanisms::ON });
    assert!(violations.iter().any(|found| matches!(found, Violation::RanTwice { .. })));
}

#[test]
fn without_numbers_answers_are_not_whole() {
    let (violations, _) = violations(Mechanisms { numbering: false, ..Mechanisms::ON });
    assert!(violations.iter().any(|found| matches!(found, Violation::NotTheWholeAnswer { .. })));
}

#[test]
fn without_expiry_new_work_goes_to_replicas_long_gone() {
    let (violations, _) = violations(Mechanisms { expiring_confirmations: false, ..Mechanisms::ON });
    assert!(violations.iter().any(|found| matches!(found, Violation::SentToGoneReplica { .. })));
}

#[test]
fn draining_engines_finish_every_stream_that_they_admitted() {
    for seed in SEEDS {
        let report = RequestSchedule::draw_drains(seed).run(Mechanisms::ON);
        assert_eq!(report.violations, []);
        assert!(report.tally.admissions > 0);
        assert_eq!(report.tally.admissions, report.tally.completed, "no stream was cut off or begun anew");
    }
}
