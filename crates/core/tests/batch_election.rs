//! When a candidate takes the batch jobs over.

use std::time::Duration;

use lichenpulley_core::batch::election::{ObservedLeader, TakeoverDecision, decide_takeover, should_poll};
use lichenpulley_core::identity::{Epoch, NodeId};

const AFTER: Duration = Duration::from_millis(1_000);

fn seen(epoch: u64, owner: &str, idle_ms: u64) -> Option<ObservedLeader> {
    Some(ObservedLeader { epoch: Epoch(epoch), owner: owner.into(), idle: Duration::from_millis(idle_ms) })
}

fn verdict(rank: usize, answers: &[Option<ObservedLeader>]) -> TakeoverDecision {
    decide_takeover(&NodeId::new("me"), rank, answers, 2, AFTER)
}

#[test]
fn an_owner_that_appends_anywhere_is_left_alone() {
    let answers = [seen(3, "other", 5_000), seen(3, "other", 100)];
    assert_eq!(verdict(0, &answers), TakeoverDecision::Wait(Some("other".into())));
}

#[test]
fn a_silent_owner_is_taken_over_from_by_the_first_candidate_first() {
    let answers = [seen(3, "other", 1_200), seen(3, "other", 1_100)];
    assert_eq!(verdict(0, &answers), TakeoverDecision::TakeOver(Some(Duration::from_millis(1_100))));
    assert_eq!(verdict(1, &answers), TakeoverDecision::Wait(Some("other".into())));
}

#[test]
fn a_minority_of_stores_is_not_believed() {
    assert_eq!(verdict(0, &[seen(3, "other", 9_000)]), TakeoverDecision::Wait(Some("other".into())));
    assert_eq!(verdict(0, &[None]), TakeoverDecision::Wait(None));
}

#[test]
fn the_highest_epoch_names_the_owner() {
    let answers = [seen(3, "old", 0), seen(4, "new", 200), seen(3, "old", 0)];
    assert_eq!(verdict(0, &answers), TakeoverDecision::Wait(Some("new".into())));
}

#[test]
fn only_the_first_candidate_begins_a_shard_that_nobody_has_owned() {
    assert_eq!(verdict(0, &[None, None]), TakeoverDecision::TakeOver(None));
    assert_eq!(verdict(1, &[None, None]), TakeoverDecision::Wait(None));
}

#[test]
fn an_owner_that_restarted_does_not_wait_for_itself() {
    let answers = [seen(3, "me", 400), seen(3, "me", 400)];
    assert_eq!(verdict(2, &answers), TakeoverDecision::TakeOver(Some(Duration::from_millis(400))));
}

#[test]
fn every_node_polls_now_and_then_and_all_together_look_seldom() {
    let looks = |nodes: usize| -> usize {
        let of_rank = |rank| (0..1_000).filter(|turn| should_poll(rank, *turn)).count();
        (0..nodes).map(of_rank).sum()
    };
    assert!((0..410).all(|rank| (0..1_000).any(|turn| should_poll(rank, turn))));
    let (few, many) = (looks(7), looks(410));
    assert!(many < few * 4, "{few} looks by 7 nodes, {many} by 410");
}
