//! Handover of batch jobs to another owner, and when an offer of progress is rejected.

mod batch_support;

use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::controller::{Controller, ControllerConfig, RunEnd};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::identity::{BatchId, Epoch};

/// Returns an owner with one run that has received this many events, none of them committed.
fn owner_with_events(events: u64) -> OwnerHarness {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    harness.submit(at(1), job("j", 1, 0));
    let run = harness.started[0].run;
    for number in 0..events {
        harness.event(at(2 + number), run, number, 1);
    }
    harness
}

fn successor(ledger: Ledger, offer: ProgressOffer, latest: Epoch) -> (Controller, usize) {
    let lease = batch_support::lease_of("node-2");
    let mut controller = Controller::new(ControllerConfig::default(), ledger, at(0), lease);
    let adopted = controller.adopt(offer, latest);
    (controller, adopted)
}

#[test]
fn a_planned_handover_commits_all_progress() {
    let mut first = owner_with_events(5);
    first.controller.flush_progress(at(20));
    first.drain_actions();
    assert!(!first.controller.is_settled());
    first.commit_appends(at(25));
    assert!(first.controller.is_settled());
    let next = OwnerHarness::new(first.ledger_of_records(), false, &[replica("a", 1)]);
    assert_eq!(next.started[0].last_event, Some(4));
}

#[test]
fn a_cut_off_owner_offers_its_uncommitted_events() {
    let first = owner_with_events(5);
    let offer = first.controller.progress_offer(Epoch(7));
    let (_, adopted) = successor(first.ledger_of_records(), offer.clone(), Epoch(7));
    assert_eq!(adopted, 5);
    let (_, adopted) = successor(first.ledger_of_records(), offer, Epoch(8));
    assert_eq!(adopted, 0, "an offer of an owner before the last one is rejected");
}

#[test]
fn an_offer_includes_pending_appends() {
    let mut first = owner_with_events(5);
    first.controller.flush_progress(at(20));
    first.drain_actions();
    let run = first.started[0].run;
    first.event(at(21), run, 5, 1);
    first.end(at(22), run, RunEnd::Complete);
    let offer = first.controller.progress_offer(Epoch(7));
    let numbers: Vec<u64> = offer.items[0].events.iter().map(|event| event.number).collect();
    assert_eq!((offer.items[0].after, numbers), (None, vec![0, 1, 2, 3, 4, 5]));
    // If the flush was committed after all, its events are not adopted twice.
    let mut kept = owner_with_events(5);
    kept.controller.flush_progress(at(20));
    kept.commit_appends(at(21));
    let (controller, adopted) = successor(kept.ledger_of_records(), offer, Epoch(7));
    assert_eq!(adopted, 1);
    let again = controller.progress_offer(Epoch(9));
    assert_eq!(again.items[0].events.len(), 1);
}

#[test]
fn an_offer_with_a_gap_is_rejected() {
    let mut first = owner_with_events(3);
    first.controller.flush_progress(at(20));
    first.commit_appends(at(21));
    let run = first.started[0].run;
    first.event(at(22), run, 3, 1);
    let offer = first.controller.progress_offer(Epoch(7));
    assert_eq!(offer.items[0].after, Some(2));
    let bare = owner_with_events(0);
    let (_, adopted) = successor(bare.ledger_of_records(), offer, Epoch(7));
    assert_eq!(adopted, 0);
}

#[test]
fn no_events_are_adopted_for_an_ended_job() {
    let mut first = owner_with_events(3);
    let offer = first.controller.progress_offer(Epoch(7));
    first.controller.end(at(20), &BatchId::new("j"));
    first.commit_appends(at(21));
    let (_, adopted) = successor(first.ledger_of_records(), offer, Epoch(7));
    assert_eq!(adopted, 0);
}

/// Guards against a committed end without a recorded decision, because its owner failed before recording one.
#[test]
fn a_new_owner_records_that_an_end_in_the_log_is_committed() {
    let mut first = owner_with_events(3);
    first.controller.end(at(20), &BatchId::new("j"));
    first.commit_appends(at(21));
    let mut next = OwnerHarness::new(first.ledger_of_records(), false, &[replica("a", 1)]);
    assert_eq!(next.controller.end(at(30), &BatchId::new("j")), Some(true));
    next.drain_actions();
    let kept: Vec<&str> = next
        .decisions
        .iter()
        .filter(|decision| decision.action == "end_kept" && decision.subject == "j")
        .map(|decision| decision.reason.as_str())
        .collect();
    assert_eq!(kept, ["in_log"]);
}
