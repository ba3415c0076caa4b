//! Leaving batch jobs to another owner: what it goes on from, and when an offer is not taken.

mod batch_support;

use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::controller::{Controller, ControllerConfig, RunEnd};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::progress_offer::ProgressOffer;
use lichenpulley_core::identity::{BatchId, Epoch};

/// An owner with one run that has given so many events, none of them kept.
fn running(events: u64) -> OwnerHarness {
    let mut bench = OwnerHarness::new(Ledger::default(), false, &[replica("a", 1)]);
    bench.submit(at(1), job("j", 1, 0));
    let run = bench.started[0].run;
    for number in 0..events {
        bench.event(at(2 + number), run, number, 1);
    }
    bench
}

fn successor(ledger: Ledger, offer: ProgressOffer, latest: Epoch) -> (Controller, usize) {
    let lease = batch_support::lease_of("node-2");
    let mut controller = Controller::new(ControllerConfig::default(), ledger, at(0), lease);
    let adopted = controller.adopt(offer, latest);
    (controller, adopted)
}

#[test]
fn a_planned_leave_keeps_all_progress() {
    let mut first = running(5);
    first.controller.flush_progress(at(20));
    first.drain_actions();
    assert!(!first.controller.is_settled());
    first.commit_appends(at(25));
    assert!(first.controller.is_settled());
    let next = OwnerHarness::new(first.ledger_of_records(), false, &[replica("a", 1)]);
    assert_eq!(next.started[0].last_event, Some(4));
}

#[test]
fn an_owner_that_is_cut_off_hands_over_what_its_stores_do_not_keep() {
    let first = running(5);
    let offer = first.controller.progress_offer(Epoch(7));
    let (_, adopted) = successor(first.ledger_of_records(), offer.clone(), Epoch(7));
    assert_eq!(adopted, 5);
    let (_, adopted) = successor(first.ledger_of_records(), offer, Epoch(8));
    assert_eq!(adopted, 0, "another owner has been between: its runs went on from what is kept");
}

#[test]
fn an_offer_counts_what_is_on_its_way_to_the_stores() {
    let mut first = running(5);
    first.controller.flush_progress(at(20));
    first.drain_actions();
    let run = first.started[0].run;
    first.event(at(21), run, 5, 1);
    first.end(at(22), run, RunEnd::Complete);
    let offer = first.controller.progress_offer(Epoch(7));
    let numbers: Vec<u64> = offer.items[0].events.iter().map(|event| event.number).collect();
    assert_eq!((offer.items[0].after, numbers), (None, vec![0, 1, 2, 3, 4, 5]));
    // The stores had kept the flush after all: what is known is not taken twice.
    let mut kept = running(5);
    kept.controller.flush_progress(at(20));
    kept.commit_appends(at(21));
    let (controller, adopted) = successor(kept.ledger_of_records(), offer, Epoch(7));
    assert_eq!(adopted, 1);
    let again = controller.progress_offer(Epoch(9));
    assert_eq!(again.items[0].events.len(), 1);
}

#[test]
fn an_offer_with_a_gap_before_it_is_not_taken() {
    let mut first = running(3);
    first.controller.flush_progress(at(20));
    first.commit_appends(at(21));
    let run = first.started[0].run;
    first.event(at(22), run, 3, 1);
    let offer = first.controller.progress_offer(Epoch(7));
    assert_eq!(offer.items[0].after, Some(2));
    let bare = running(0);
    let (_, adopted) = successor(bare.ledger_of_records(), offer, Epoch(7));
    assert_eq!(adopted, 0);
}

#[test]
fn nothing_is_taken_for_a_job_that_was_ended() {
    let mut first = running(3);
    let offer = first.controller.progress_offer(Epoch(7));
    first.controller.end(at(20), &BatchId::new("j"));
    first.commit_appends(at(21));
    let (_, adopted) = successor(first.ledger_of_records(), offer, Epoch(7));
    assert_eq!(adopted, 0);
}

/// The owner that kept the end was lost before its line: nobody who searched the decisions for the job's end found that it is kept.
#[test]
fn an_end_that_a_takeover_reads_from_the_log_is_said_to_be_kept_where_it_is_asked_for() {
    let mut first = running(3);
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
