//! The pure parts of the order under a shortage: estimates, detection, shares, turns and the order of groups.

use std::collections::BTreeSet;
use std::time::Duration;

use lichenpulley_core::batch::dispatch_order::{
    GroupState, IncompleteGroup, Lane, Pick, WaitingItem, group_states, sort_groups,
};
use lichenpulley_core::batch::fair_share::{Contender, FairQueue, Trainer, VirtualTimes, level_shares};
use lichenpulley_core::batch::shortage::Backlog;
use lichenpulley_core::batch::work_estimate::{DecayingSum, WorkEstimates, remaining_s};
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::time::Timestamp;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

fn group(finish_s: f64) -> IncompleteGroup {
    let waiting = vec![WaitingItem { item: 0, work_s: finish_s, class: Some(0) }];
    IncompleteGroup { is_group: true, finish_s, waiting, ..IncompleteGroup::default() }
}

#[test]
fn an_estimate_is_unknown_until_an_item_completes_and_follows_recent_items() {
    let mut estimates = WorkEstimates::default();
    assert_eq!(estimates.seconds_per_token(["a"]), None);
    estimates.observe("a", 100, Duration::from_secs(1), at(0));
    assert_eq!(estimates.seconds_per_token(["b"]), None, "another service");
    assert!(close(estimates.seconds_per_token(["a"]).expect("an estimate"), 0.01));
    estimates.observe("a", 100, Duration::from_secs(3), at(100));
    let recent = estimates.seconds_per_token(["a"]).expect("an estimate");
    assert!((0.0299..0.03).contains(&recent), "ten half-lives later the first item hardly counts: {recent}");
    let mut sum = DecayingSum::default();
    sum.add(8.0, at(10));
    assert!(close(sum.value(at(20)), 4.0));
}

/// An item that exceeds its estimate must not look nearly done, or its group would always seem to be in time and keep
/// the trainer waiting while other groups could be complete.
#[test]
fn an_item_that_exceeds_its_estimate_is_expected_to_run_on() {
    assert!(close(remaining_s(2.0, Duration::from_secs(1)), 1.0));
    assert!(close(remaining_s(2.0, Duration::from_millis(1_800)), 0.9), "half of the time that it has run");
    assert!(close(remaining_s(2.0, Duration::from_secs(9)), 4.5));
    assert!(close(remaining_s(2.0, Duration::ZERO), 2.0));
}

#[test]
fn the_scoring_delay_is_assumed_until_it_is_measured() {
    let mut estimates = WorkEstimates::default();
    assert!(close(estimates.scoring_delay_s(), 0.3));
    estimates.observe_scoring(Duration::from_millis(100));
    assert!(close(estimates.scoring_delay_s(), 0.1));
}

#[test]
fn a_shortage_begins_when_the_work_drains_later_than_after_a_third_of_the_time() {
    let backlog = |work_s| Backlog { work_s, slots: 10, due_s: 9.0 };
    assert!(!backlog(30.0).is_short(), "a burst that drains in 3 s");
    assert!(backlog(31.0).is_short());
    assert!(!backlog(0.0).is_short());
    assert!(!Backlog { work_s: 31.0, slots: 0, due_s: 9.0 }.is_short(), "there is nothing to share");
    assert!(close(backlog(0.0).capacity_s(), 45.0));
}

#[test]
fn half_of_the_slots_go_by_need_and_half_to_the_highest_level() {
    assert_eq!(level_shares(&[0.25, 0.25, 0.5]), [0.625, 0.125, 0.25]);
    assert_eq!(level_shares(&[0.0, 1.0]), [0.5, 0.5], "a level with little work left is not put off");
    assert_eq!(level_shares(&[1.0]), [1.0]);
}

/// With shares that shrink with the remaining work, the last items of a job of the highest level waited until nearly
/// everything else was started.
#[test]
fn the_last_items_of_the_highest_level_are_not_put_off() {
    let contender = |priority, work_s| {
        let trainer = trainer(None, &format!("route-{priority}"));
        Contender { priority, trainer, work_s }
    };
    let mut queue = FairQueue::default();
    let (mut left, mut starts) = (100, 0);
    while left > 0 {
        queue.begin(vec![contender(0, f64::from(left)), contender(1, 900.0)], 1_000.0);
        let next = queue.next_contender().expect("a contender");
        queue.charge(next, 1.0);
        left -= i32::from(next == 0);
        starts += 1;
    }
    assert!(starts <= 200, "its 100 items were started among the first {starts}");
}

/// A party that had no work must not take all slots to catch up, nor wait for others to catch up.
#[test]
fn a_party_that_becomes_active_begins_at_the_minimum_virtual_time() {
    let mut times = VirtualTimes::default();
    times.set_active(BTreeSet::from([1, 2]), 0.0);
    times.charge(&1, 10.0, 1.0);
    times.charge(&2, 10.0, 2.0);
    assert!(close(times.time(&2), 5.0), "twice the weight");
    times.set_active(BTreeSet::from([1, 2, 3]), 0.0);
    assert!(close(times.time(&3), 5.0));
    assert_eq!(times.least([1, 2, 3].iter()), Some(&2));
    times.set_active(BTreeSet::new(), 0.0);
    times.set_active(BTreeSet::from([1, 4]), 0.0);
    assert!(close(times.time(&1), times.time(&4)), "after all were idle, none is owed anything");
}

fn trainer(tenant: Option<&str>, route: &str) -> Trainer {
    Trainer { tenant: tenant.map(TenantName::new), route: route.to_owned(), model: None }
}

/// Serves items of one slot-second each, and returns how many of them each contender was given.
fn serve(queue: &mut FairQueue, contenders: &[Contender], quantum_s: f64, items: usize) -> Vec<usize> {
    let mut given = vec![0; contenders.len()];
    for _ in 0..items {
        queue.begin(contenders.to_vec(), quantum_s);
        let next = queue.next_contender().expect("a contender");
        queue.charge(next, 1.0);
        given[next] += 1;
    }
    given
}

#[test]
fn levels_are_interleaved_by_their_shares() {
    let contender = |priority, work_s| {
        let trainer = trainer(None, &format!("route-{priority}"));
        Contender { priority, trainer, work_s }
    };
    let contenders = [contender(0, 100.0), contender(1, 100.0)];
    let given = serve(&mut FairQueue::default(), &contenders, 50.0, 100);
    // Half of the slots are split evenly, and the other half goes to the highest level.
    assert!((74..=76).contains(&given[0]) && (24..=26).contains(&given[1]), "{given:?}");
}

/// An even split between the trainers of a level would complete the jobs of all of them late.
#[test]
fn trainers_of_a_level_are_served_in_turns() {
    let contender = |route| Contender { priority: 0, trainer: trainer(None, route), work_s: 100.0 };
    let contenders = [contender("a"), contender("b")];
    let mut queue = FairQueue::default();
    assert_eq!(serve(&mut queue, &contenders, 10.0, 10), [10, 0], "the first turn");
    assert_eq!(serve(&mut queue, &contenders, 10.0, 10), [0, 10], "the second turn");
    assert_eq!(serve(&mut queue, &contenders, 10.0, 4), [4, 0]);
    // The first trainer has no work left, and the second one takes the turn over.
    assert_eq!(serve(&mut queue, &contenders[1..], 10.0, 3), [3]);
}

/// Jobs that are submitted at the same time are also due at the same time. If the first turn always went to the same
/// trainer, the groups of the other one would be late before its turn, each time.
#[test]
fn a_trainer_whose_turn_did_not_come_has_the_first_turn_next_time() {
    let contender = |route| Contender { priority: 0, trainer: trainer(None, route), work_s: 100.0 };
    let contenders = [contender("a"), contender("b")];
    let mut queue = FairQueue::default();
    assert_eq!(serve(&mut queue, &contenders, 10.0, 10), [10, 0]);
    queue.begin(Vec::new(), 10.0);
    assert_eq!(serve(&mut queue, &contenders, 10.0, 10), [0, 10]);
}

/// A tenant with many trainers must not get more than one with a single trainer.
#[test]
fn turns_are_fair_between_tenants() {
    let contender =
        |tenant, route| Contender { priority: 0, trainer: trainer(Some(tenant), route), work_s: 100.0 };
    let contenders = [contender("x", "a"), contender("x", "b"), contender("x", "c"), contender("y", "d")];
    let given = serve(&mut FairQueue::default(), &contenders, 5.0, 60);
    assert_eq!((given[0] + given[1] + given[2], given[3]), (30, 30));
    assert_eq!(given[..3], [10, 10, 10]);
}

#[test]
fn an_exhausted_contender_is_not_served_again_in_the_same_pass() {
    let contenders = vec![Contender { priority: 0, trainer: trainer(None, "a"), work_s: 1.0 }];
    let mut queue = FairQueue::default();
    queue.begin(contenders, 10.0);
    assert_eq!(queue.next_contender(), Some(0));
    queue.exhaust(0);
    assert_eq!(queue.next_contender(), None);
}

#[test]
fn required_and_started_groups_are_needed_beyond_the_number_that_is_missing() {
    use GroupState::{InTime, Late, Surplus};
    let mut groups = vec![group(1.0), group(9.0), group(2.0), group(3.0), group(1.0)];
    assert_eq!(group_states(&groups, Some(2), 5.0), [InTime, Surplus, InTime, Surplus, Surplus]);
    assert_eq!(group_states(&groups, None, 5.0), [InTime, Late, InTime, InTime, InTime]);
    assert_eq!(group_states(&groups, Some(0), 5.0), [Surplus; 5]);
    groups[3].is_started = true;
    groups[4].is_required = true;
    assert_eq!(group_states(&groups, Some(3), 5.0), [InTime, Surplus, Surplus, InTime, InTime]);
    assert_eq!(group_states(&groups, Some(1), -1.0), [Surplus, Surplus, Surplus, Late, Late]);
    groups[1].is_group = false;
    assert_eq!(group_states(&groups, Some(0), 5.0)[1], Late, "an item without a group is always needed");
}

/// A single long item would otherwise keep a trainer waiting until it gives the step up, although another group could
/// take the place of its group.
#[test]
fn a_started_group_that_is_late_does_not_count_towards_those_that_are_missing() {
    use GroupState::{InTime, Late, Surplus};
    let mut groups = vec![group(9.0), group(1.0), group(1.0), group(1.0)];
    groups[0].is_started = true;
    groups[1].is_started = true;
    assert_eq!(group_states(&groups, Some(2), 5.0), [Late, InTime, InTime, Surplus]);
    groups[0].is_required = true;
    assert_eq!(
        group_states(&groups, Some(2), 5.0),
        [Late, InTime, Surplus, Surplus],
        "the trainer waits for it"
    );
}

#[test]
fn groups_are_ordered_by_requirement_start_slack_and_position() {
    let mut groups = vec![group(1.0), group(3.0), group(3.0), group(1.0), group(2.0)];
    groups[3].is_started = true;
    groups[4].is_required = true;
    for (group, item) in groups.iter_mut().zip(0..) {
        group.waiting[0].item = item;
    }
    sort_groups(&mut groups);
    let positions: Vec<u32> = groups.iter().map(|group| group.waiting[0].item).collect();
    assert_eq!(positions, [4, 3, 1, 2, 0]);
}

/// A long item on a slow replica determines when its group is complete.
#[test]
fn a_slow_replica_is_given_the_shortest_item_of_the_group_that_is_next() {
    let waiting = |item, work_s| WaitingItem { item, work_s, class: Some(0) };
    let items = vec![waiting(0, 1.0), waiting(1, 3.0), waiting(2, 2.0)];
    let mut lane = Lane::default();
    lane.add(0, 0, vec![IncompleteGroup { waiting: items, ..group(3.0) }]);
    let mut next = |pick| lane.next_item(pick).map(|(_, waiting)| waiting.item);
    assert_eq!(next(Pick::Shortest), Some(0));
    assert_eq!(next(Pick::Longest), Some(1));
    assert_eq!(next(Pick::Shortest), Some(2));
    assert_eq!(next(Pick::Shortest), None);
}

#[test]
fn a_lane_yields_the_items_of_one_group_after_the_other_longest_first_and_older_jobs_first() {
    let waiting = |item, work_s| WaitingItem { item, work_s, class: Some(0) };
    let with = |finish_s, waiting| IncompleteGroup { waiting, ..group(finish_s) };
    let mut lane = Lane::default();
    lane.add(20, 1, vec![with(9.0, vec![waiting(0, 9.0)])]);
    let groups = vec![
        with(2.0, vec![waiting(0, 1.0), waiting(1, 2.0), waiting(2, 1.0)]),
        with(3.0, vec![waiting(3, 3.0)]),
    ];
    lane.add(10, 0, groups);
    assert!(close(lane.work_s(), 16.0));
    let order: Vec<(usize, u32)> = std::iter::from_fn(|| lane.next_item(Pick::Longest))
        .map(|(job, waiting)| (job, waiting.item))
        .collect();
    assert_eq!(order, [(0, 3), (0, 1), (0, 0), (0, 2), (1, 0)]);
}
