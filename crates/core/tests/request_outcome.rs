//! A request is reported as not run only if no attempt was admitted or left in doubt.

use lichenpulley_core::identity::AttemptId;
use lichenpulley_core::request::outcome::{
    ClaimGranted, Doubt, EngineRefusal, Evidence, Ledger, RefusalReason, RequestOutcome, refuse_at_once,
};
use proptest::prelude::*;

/// Result of one attempt.
#[derive(Clone, Copy, Debug)]
enum AttemptResult {
    NothingWritten,
    Refused,
    RefusalOfAnother,
    InDoubt,
    Unanswered,
}

const ATTEMPT_RESULTS: [AttemptResult; 5] = [
    AttemptResult::NothingWritten,
    AttemptResult::Refused,
    AttemptResult::RefusalOfAnother,
    AttemptResult::InDoubt,
    AttemptResult::Unanswered,
];

proptest! {
    #[test]
    fn not_run_is_proved_only_if_every_attempt_was_refused_or_never_written(
        results in prop::collection::vec(prop::sample::select(ATTEMPT_RESULTS.to_vec()), 0..6),
        repeatable in any::<bool>(),
        claimed in any::<bool>(),
    ) {
        let mut ledger = Ledger::new(repeatable);
        if claimed {
            ledger.claimed(ClaimGranted::by_majority());
        }
        for (number, result) in results.iter().enumerate() {
            let attempt = AttemptId::new(format!("a.{number}"));
            ledger.dispatch(attempt.clone());
            match result {
                AttemptResult::NothingWritten => ledger.nothing_written(),
                AttemptResult::Refused => ledger.refused(&EngineRefusal { attempt }),
                AttemptResult::RefusalOfAnother => ledger.refused(&EngineRefusal { attempt: AttemptId::new("b.1") }),
                AttemptResult::InDoubt => ledger.in_doubt(),
                AttemptResult::Unanswered => {}
            }
        }
        let is_not_run = |result: &AttemptResult| matches!(result, AttemptResult::NothingWritten | AttemptResult::Refused);
        let expected = results.iter().all(is_not_run) && (repeatable || claimed);
        let is_proved = matches!(ledger.into_evidence(), Evidence::NotRun(_));
        prop_assert_eq!(is_proved, expected);
    }
}

#[test]
fn an_unclaimed_at_most_once_request_is_not_reported_as_not_run() {
    let repeatable = refuse_at_once(true, RefusalReason::NodeDraining, None);
    assert!(matches!(repeatable, RequestOutcome::NotRun { .. }));
    let once = refuse_at_once(false, RefusalReason::NodeDraining, None);
    assert!(matches!(once, RequestOutcome::Unknown { doubt: Doubt::EarlierSubmission, .. }));
}
