//! "Not run" comes only from a ledger on which no attempt was admitted or left in doubt.

use lichenpulley_core::identity::AttemptId;
use lichenpulley_core::request::outcome::{
    ClaimGranted, Doubt, EngineRefusal, Evidence, Ledger, RefusalReason, RequestOutcome, refuse_at_once,
};
use proptest::prelude::*;

/// What can happen to one attempt.
#[derive(Clone, Copy, Debug)]
enum Fate {
    NothingWritten,
    Refused,
    RefusalOfAnother,
    InDoubt,
    Unanswered,
}

const FATES: [Fate; 5] =
    [Fate::NothingWritten, Fate::Refused, Fate::RefusalOfAnother, Fate::InDoubt, Fate::Unanswered];

proptest! {
    #[test]
    fn not_run_is_shown_only_where_every_attempt_was_refused_or_never_written(
        fates in prop::collection::vec(prop::sample::select(FATES.to_vec()), 0..6),
        repeatable in any::<bool>(),
        claimed in any::<bool>(),
    ) {
        let mut ledger = Ledger::new(repeatable);
        if claimed {
            ledger.claimed(ClaimGranted::by_majority());
        }
        for (number, fate) in fates.iter().enumerate() {
            let attempt = AttemptId::new(format!("a.{number}"));
            ledger.dispatch(attempt.clone());
            match fate {
                Fate::NothingWritten => ledger.nothing_written(),
                Fate::Refused => ledger.refused(&EngineRefusal { attempt }),
                Fate::RefusalOfAnother => ledger.refused(&EngineRefusal { attempt: AttemptId::new("b.1") }),
                Fate::InDoubt => ledger.in_doubt(),
                Fate::Unanswered => {}
            }
        }
        let harmless = |fate: &Fate| matches!(fate, Fate::NothingWritten | Fate::Refused);
        let expected = fates.iter().all(harmless) && (repeatable || claimed);
        let shown = matches!(ledger.into_evidence(), Evidence::NotRun(_));
        prop_assert_eq!(shown, expected);
    }
}

#[test]
fn a_request_that_may_run_at_most_once_is_not_promised_before_its_claim() {
    let repeatable = refuse_at_once(true, RefusalReason::NodeDraining, None);
    assert!(matches!(repeatable, RequestOutcome::NotRun { .. }));
    let once = refuse_at_once(false, RefusalReason::NodeDraining, None);
    assert!(matches!(once, RequestOutcome::Unknown { doubt: Doubt::EarlierSubmission, .. }));
}
