//! Proofs of brief points 1 to 3 for rollout jobs, over the replication core, on a virtual clock.
//!
//! Each mechanism is shown to be needed: the same schedules break an invariant when it is off.

use lichenpulley_core::rollout::ControllerChecks;
use lichenpulley_lab::simulations::rollout::{Mechanisms, RunReport, Violation, run_seed};

/// Schedules that every proof runs.
const SEEDS: std::ops::Range<u64> = 0..60;

fn reports(mechanisms: Mechanisms) -> impl Iterator<Item = RunReport> {
    SEEDS.map(move |seed| run_seed(seed, mechanisms))
}

fn without(change: impl FnOnce(&mut ControllerChecks)) -> Mechanisms {
    let mut mechanisms = Mechanisms::default();
    change(&mut mechanisms.owner);
    mechanisms
}

/// Whether some schedule breaks an invariant in the expected way.
fn is_broken(mechanisms: Mechanisms, expected: impl Fn(&Violation) -> bool) -> bool {
    reports(mechanisms).any(|report| report.violations.iter().any(&expected))
}

#[test]
fn no_schedule_breaks_an_invariant() {
    let mut totals = RunReport::default();
    for (seed, report) in SEEDS.zip(reports(Mechanisms::default())) {
        assert_eq!(report.violations, [], "seed {seed}");
        totals.add(&report);
    }
    // The schedules must have brought about what the mechanisms are for.
    assert!(totals.superseded > 0, "no owner was superseded");
    assert!(totals.voided > 0, "no batch was voided");
    assert!(totals.reopened > 0, "no slot was reopened");
    assert!(totals.tokens.cancelled > 0, "no attempt was cancelled as too old");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || format!("{:?}", run_seed(7, Mechanisms::default()));
    assert_eq!(run(), run());
}

#[test]
fn spans_are_wrong_when_versions_come_from_the_first_chunk() {
    let mechanisms = Mechanisms { versions_by_chunk: false, ..Mechanisms::default() };
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::WrongVersions(_))));
}

#[test]
fn samples_are_too_old_without_the_test_at_hand_over() {
    let mechanisms = without(|checks| checks.staleness_at_hand_over = false);
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::TooOld(_))));
}

#[test]
fn the_bound_holds_by_the_test_at_hand_over_alone() {
    let mechanisms = without(|checks| checks.staleness_before_hand_over = false);
    for (seed, report) in SEEDS.zip(reports(mechanisms)) {
        assert_eq!(report.violations, [], "seed {seed}");
    }
}

#[test]
fn samples_are_lost_or_doubled_when_answers_go_before_their_records_are_kept() {
    let mechanisms = without(|checks| checks.commit_before_answer = false);
    assert!(is_broken(mechanisms, is_not_exactly_once));
}

#[test]
fn samples_are_doubled_when_a_slot_is_decided_more_than_once() {
    let mechanisms = without(|checks| checks.decide_once = false);
    assert!(is_broken(mechanisms, is_not_exactly_once));
}

#[test]
fn samples_are_lost_when_the_cursor_moves_with_the_answer() {
    let mechanisms = without(|checks| checks.cursor_by_trainer = false);
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::Lost(_))));
}

#[test]
fn samples_are_lost_or_doubled_when_a_superseded_owner_is_not_refused() {
    let mechanisms = Mechanisms { fencing: false, ..Mechanisms::default() };
    assert!(is_broken(mechanisms, is_not_exactly_once));
}

#[test]
fn a_trainer_is_refused_wrongly_by_a_superseded_owner_without_a_barrier() {
    let mechanisms = without(|checks| {
        checks.confirm_refusals = false;
        checks.staleness_before_hand_over = false;
    });
    assert!(is_broken(mechanisms, |violation| matches!(violation, Violation::Refused(_))));
}

fn is_not_exactly_once(violation: &Violation) -> bool {
    matches!(violation, Violation::Doubled(_) | Violation::Lost(_) | Violation::OtherBytes(_))
}
