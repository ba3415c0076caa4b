//! When a candidate takes the batch jobs over.

use std::time::Duration;

use lichenpulley_core::batch::election::{ObservedLeader, TakeoverDecision, decide_takeover, should_poll};
use lichenpulley_core::identity::{Epoch, NodeId};

const TAKEOVER_AFTER: Duration = Duration::from_millis(1_000);

fn leader(epoch: u64, owner: &str, idle_ms: u64) -> Option<ObservedLeader> {
    Some(ObservedLeader { epoch: Epoch(epoch), owner: owner.into(), idle: Duration::from_millis(idle_ms) })
}

fn decide(rank: usize, answers: &[Option<ObservedLeader>]) -> TakeoverDecision {
    decide_takeover(&NodeId::new("me"), rank, answers, 2, TAKEOVER_AFTER)
}

#[test]
fn an_owner_that_appends_at_any_store_is_not_replaced() {
    let answers = [leader(3, "other", 5_000), leader(3, "other", 100)];
    assert_eq!(decide(0, &answers), TakeoverDecision::Wait(Some("other".into())));
}

#[test]
fn the_first_candidate_takes_over_from_a_silent_owner() {
    let answers = [leader(3, "other", 1_200), leader(3, "other", 1_100)];
    assert_eq!(decide(0, &answers), TakeoverDecision::TakeOver(Some(Duration::from_millis(1_100))));
    assert_eq!(decide(1, &answers), TakeoverDecision::Wait(Some("other".into())));
}

#[test]
fn a_minority_of_answers_is_not_enough() {
    assert_eq!(decide(0, &[leader(3, "other", 9_000)]), TakeoverDecision::Wait(Some("other".into())));
    assert_eq!(decide(0, &[None]), TakeoverDecision::Wait(None));
}

#[test]
fn the_highest_epoch_determines_the_owner() {
    let answers = [leader(3, "old", 0), leader(4, "new", 200), leader(3, "old", 0)];
    assert_eq!(decide(0, &answers), TakeoverDecision::Wait(Some("new".into())));
}

#[test]
fn only_the_first_candidate_starts_a_shard_without_an_owner() {
    assert_eq!(decide(0, &[None, None]), TakeoverDecision::TakeOver(None));
    assert_eq!(decide(1, &[None, None]), TakeoverDecision::Wait(None));
}

#[test]
fn a_restarted_owner_takes_over_without_rank_delay() {
    let answers = [leader(3, "me", 400), leader(3, "me", 400)];
    assert_eq!(decide(2, &answers), TakeoverDecision::TakeOver(Some(Duration::from_millis(400))));
}

#[test]
fn every_node_polls_and_the_total_grows_slower_than_the_nodes() {
    let polls = |nodes: usize| -> usize {
        let of_rank = |rank| (0..1_000).filter(|round| should_poll(rank, *round)).count();
        (0..nodes).map(of_rank).sum()
    };
    assert!((0..410).all(|rank| (0..1_000).any(|round| should_poll(rank, round))));
    let (few, many) = (polls(7), polls(410));
    assert!(many < few * 4, "{few} polls by 7 nodes, {many} by 410");
}
