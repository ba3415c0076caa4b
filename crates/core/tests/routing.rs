//! Tests of engine routing: eligibility, load estimates, concurrency limits, prefix affinity and subsets.

use std::collections::BTreeSet;
use std::time::Duration;

use lichenpulley_core::identity::{ReplicaId, WeightVersion};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::routing::concurrency::{ConcurrencyConfig, ConcurrencyLimit};
use lichenpulley_core::routing::eligibility::{Confirmation, Eligibility};
use lichenpulley_core::routing::load::{EngineRole, LoadEstimate, LoadReport};
use lichenpulley_core::routing::pool::ListedReplica;
use lichenpulley_core::routing::{Pool, PoolConfig, RouteQuery, RouteRefusal};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const VALIDITY: Duration = Duration::from_secs(3);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn report(running: u32) -> LoadReport {
    LoadReport { running, capacity: 8, weight_version: Some(WeightVersion(1)), ..LoadReport::default() }
}

fn pool(replicas: usize, now: Timestamp) -> Pool {
    let mut pool = Pool::new("node".into(), PoolConfig::default(), now);
    let ids: Vec<ReplicaId> =
        (0..replicas).map(|number| ReplicaId::new(format!("replica-{number}"))).collect();
    pool.set_listed_replicas(ids.iter().map(|replica| ListedReplica {
        replica: replica.clone(),
        zone: "zone".into(),
        leaving: false,
    }));
    for replica in &ids {
        pool.observe(replica, now, report(0), now);
    }
    pool
}

fn query(prefix_group: u64, priority: Priority) -> RouteQuery<'static> {
    RouteQuery { prefix_group, priority, refused_by: &[], failed_at: &[], minimum_version: None }
}

#[test]
fn a_confirmation_is_dated_to_its_probe() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.eligibility(at(0), VALIDITY), Eligibility::Unconfirmed);
    // Probed at 1 s, answered at 9 s with a report that was 200 ms old.
    confirmation.observe(at(1_000), Duration::from_millis(200), EngineRole::Serving, at(9_000));
    assert_eq!(confirmation.eligibility(at(3_799), VALIDITY), Eligibility::Eligible);
    assert_eq!(confirmation.eligibility(at(9_000), VALIDITY), Eligibility::Unconfirmed);
}

#[test]
fn draining_takes_effect_at_once_and_is_not_cleared_by_an_older_response() {
    let mut confirmation = Confirmation::default();
    confirmation.observe(at(1_000), Duration::ZERO, EngineRole::Serving, at(1_001));
    confirmation.observe(at(1_500), Duration::ZERO, EngineRole::Draining, at(1_501));
    assert_eq!(confirmation.eligibility(at(1_502), VALIDITY), Eligibility::Leaving);
    confirmation.observe(at(1_400), Duration::ZERO, EngineRole::Serving, at(1_600));
    assert_eq!(confirmation.eligibility(at(1_601), VALIDITY), Eligibility::Leaving);
    confirmation.observe(at(1_700), Duration::ZERO, EngineRole::Serving, at(1_701));
    assert_eq!(confirmation.eligibility(at(1_702), VALIDITY), Eligibility::Eligible);
}

#[test]
fn the_machine_list_can_only_revoke_eligibility() {
    let mut confirmation = Confirmation::default();
    confirmation.set_listed_leaving(false);
    assert_eq!(confirmation.eligibility(at(0), VALIDITY), Eligibility::Unconfirmed);
    confirmation.observe(at(10), Duration::ZERO, EngineRole::Serving, at(11));
    confirmation.set_listed_leaving(true);
    assert_eq!(confirmation.eligibility(at(12), VALIDITY), Eligibility::Leaving);
}

#[test]
fn a_node_without_confirmations_stops_sending_and_probes() {
    let mut pool = pool(3, at(0));
    let mut random = Pcg64Mcg::seed_from_u64(1);
    assert!(pool.reserve(&query(1, Priority::Live), &mut random, at(2_999)).is_ok());
    let refusal = pool.reserve(&query(1, Priority::Live), &mut random, at(3_000));
    let Err(RouteRefusal::Unconfirmed { probe }) = refusal else { panic!("{refusal:?}") };
    assert_eq!(probe.len(), 3);
    let again = pool.reserve(&query(1, Priority::Live), &mut random, at(3_001));
    assert_eq!(
        again,
        Err(RouteRefusal::Unconfirmed { probe: Vec::new() }),
        "replicas are probed once, not by each request"
    );
}

#[test]
fn own_requests_correct_a_stale_report() {
    let mut load = LoadEstimate::default();
    load.record_sent(at(100));
    load.observe(at(500), report(5));
    assert_eq!(load.streams(), 5, "the report includes requests sent before it");
    load.record_sent(at(600));
    load.record_sent(at(700));
    assert_eq!(load.streams(), 7);
    load.record_finished(at(800));
    assert_eq!(load.streams(), 6);
    load.observe(at(650), report(4));
    assert_eq!(load.streams(), 4, "one sent and one finished since the report");
    load.observe(at(400), report(50));
    assert_eq!(load.streams(), 4, "an older report is ignored");
}

#[test]
fn rollouts_cannot_use_the_share_reserved_for_live_requests() {
    let mut pool = pool(1, at(0));
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut rollouts = 0;
    while pool.reserve(&query(rollouts, Priority::Rollout), &mut random, at(1)).is_ok() {
        rollouts += 1;
    }
    assert_eq!(pool.reserve(&query(0, Priority::Rollout), &mut random, at(1)), Err(RouteRefusal::AtLimit));
    assert!(rollouts < u64::from(ConcurrencyConfig::default().initial));
    assert!(pool.reserve(&query(0, Priority::Live), &mut random, at(1)).is_ok());
}

const LOW_TTFT: Duration = Duration::from_millis(20);
const HIGH_TTFT: Duration = Duration::from_secs(2);

#[test]
fn congestion_sheds_rollouts_before_live_requests_and_the_limits_recover() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyConfig::default());
    let before = limit.limit();
    limit.record_first_token(Priority::Live, LOW_TTFT, before, at(0));
    for millisecond in 0..10 {
        limit.record_first_token(Priority::Live, HIGH_TTFT, before, at(100 + millisecond));
    }
    let decreased = limit.limit_for(Priority::Rollout);
    assert!(
        decreased < before && decreased >= before * 3 / 4 - 1,
        "one decrease per congestion: {before} to {decreased}"
    );
    assert_eq!(limit.limit(), before);
    for second in 1..60 {
        limit.record_first_token(Priority::Live, HIGH_TTFT, before, at(1_000 * second));
    }
    assert_eq!(limit.limit_for(Priority::Rollout), 1);
    let limit_after_shedding = limit.limit();
    assert!(limit_after_shedding < before, "live requests are limited next");
    for millisecond in 0..1_000 {
        limit.record_first_token(Priority::Live, LOW_TTFT, limit_after_shedding, at(100_000 + millisecond));
        limit.record_first_token(
            Priority::Rollout,
            LOW_TTFT,
            limit_after_shedding,
            at(100_000 + millisecond),
        );
    }
    assert!(limit.limit() > limit_after_shedding);
    assert!(limit.limit_for(Priority::Rollout) > 1);
}

/// Rollouts stay shut out after congestion has passed, for as long as live requests run.
#[test]
fn rollouts_are_admitted_again_after_congestion_while_live_requests_run() {
    let replica = ReplicaId::new("replica-0");
    let mut pool = pool(1, at(0));
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for group in 0..4 {
        assert!(pool.reserve(&query(group, Priority::Live), &mut random, at(1)).is_ok());
    }
    pool.record_first_token(&replica, Priority::Live, LOW_TTFT, at(1));
    for second in 1..=13 {
        pool.record_first_token(&replica, Priority::Live, HIGH_TTFT, at(1_000 * second));
    }
    pool.observe(&replica, at(14_000), report(4), at(14_000));
    let rollout = query(9, Priority::Rollout);
    assert_eq!(pool.reserve(&rollout, &mut random, at(14_000)), Err(RouteRefusal::AtLimit));
    for tenth in 140..200 {
        pool.record_first_token(&replica, Priority::Live, LOW_TTFT, at(100 * tenth));
    }
    pool.observe(&replica, at(20_000), report(4), at(20_000));
    assert!(pool.reserve(&rollout, &mut random, at(20_000)).is_ok());
}

/// Live requests alone raise the limit of rollouts beyond what they show the replica to bear.
#[test]
fn live_requests_raise_the_limit_of_rollouts_only_past_their_own_number() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyConfig::default());
    limit.record_first_token(Priority::Live, LOW_TTFT, 4, at(0));
    for second in 1..=13 {
        limit.record_first_token(Priority::Live, HIGH_TTFT, 4, at(1_000 * second));
    }
    assert_eq!(limit.limit_for(Priority::Rollout), 1);
    for millisecond in 0..10_000 {
        limit.record_first_token(Priority::Live, LOW_TTFT, 4, at(20_000 + millisecond));
    }
    assert_eq!(limit.limit_for(Priority::Rollout), 5);
}

#[test]
fn slow_rollouts_do_not_lower_the_limit_of_live_requests() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyConfig::default());
    let before = limit.limit();
    limit.record_first_token(Priority::Rollout, LOW_TTFT, before, at(0));
    for second in 1..60 {
        limit.record_first_token(Priority::Rollout, HIGH_TTFT, before, at(1_000 * second));
    }
    assert_eq!(limit.limit(), before);
}

#[test]
fn prompts_with_a_common_prefix_are_routed_to_few_replicas() {
    let mut pool = pool(40, at(0));
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut used = BTreeSet::new();
    for _ in 0..30 {
        let choice = pool.reserve(&query(77, Priority::Live), &mut random, at(1)).expect("room");
        pool.release(&choice.replica, at(1));
        used.insert(choice.replica);
    }
    assert!(used.len() <= 3, "{used:?}");
}

#[test]
fn replicas_with_outdated_weights_are_excluded() {
    let mut pool = pool(2, at(0));
    let newer = LoadReport { weight_version: Some(WeightVersion(2)), ..report(7) };
    pool.observe(&ReplicaId::new("replica-1"), at(1), newer, at(1));
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let query = RouteQuery { minimum_version: Some(WeightVersion(2)), ..query(1, Priority::Rollout) };
    let choice = pool.reserve(&query, &mut random, at(2)).expect("one replica is new enough");
    assert_eq!(choice.replica.as_str(), "replica-1");
}

#[test]
fn a_subset_changes_little_when_a_replica_leaves() {
    let listed = |count: usize, leaving: usize| {
        (0..count).map(move |number| ListedReplica {
            replica: ReplicaId::new(format!("replica-{number}")),
            zone: "zone".into(),
            leaving: number == leaving,
        })
    };
    let subset = |pool: &Pool| -> BTreeSet<ReplicaId> {
        let used = pool.replicas().iter().filter(|(_, replica)| replica.in_subset);
        used.map(|(id, _)| id.clone()).collect()
    };
    let config = PoolConfig { subset_size: 8, ..PoolConfig::default() };
    let mut pool = Pool::new("node".into(), config, at(0));
    pool.set_listed_replicas(listed(100, usize::MAX));
    let before = subset(&pool);
    assert_eq!(before.len(), 8);
    let removed = before.iter().next().expect("a replica");
    let number = removed.as_str().trim_start_matches("replica-").parse().expect("its number");
    pool.set_listed_replicas(listed(100, number));
    let after = subset(&pool);
    assert_eq!(after.len(), 8);
    assert_eq!(before.intersection(&after).count(), 7, "only the leaving replica is replaced");
    assert!(!after.contains(removed));
    assert!(
        pool.due_probes(at(1), 100).iter().all(|id| after.contains(id)),
        "replicas outside the subset are not probed"
    );
}

proptest! {
    #[test]
    fn the_same_seed_and_events_give_the_same_choices(
        seed in any::<u64>(),
        groups in prop::collection::vec(0_u64..9, 1..60),
    ) {
        let run = || -> Vec<_> {
            let mut pool = pool(12, at(0));
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let reserve = |group: &u64| pool.reserve(&query(*group, Priority::Live), &mut random, at(1));
            groups.iter().map(reserve).collect()
        };
        prop_assert_eq!(run(), run());
    }

    #[test]
    fn requests_in_flight_never_exceed_the_limit(releases in prop::collection::vec(any::<bool>(), 1..200)) {
        let mut pool = pool(3, at(0));
        let mut random = Pcg64Mcg::seed_from_u64(9);
        let mut held = Vec::new();
        for release in releases {
            if release && let Some(replica) = held.pop() {
                pool.release(&replica, at(1));
            } else if let Ok(choice) = pool.reserve(&query(1, Priority::Live), &mut random, at(1)) {
                held.push(choice.replica);
            }
            for replica in pool.replicas().values() {
                prop_assert!(replica.load.in_flight() <= replica.concurrency.limit());
            }
        }
    }
}
