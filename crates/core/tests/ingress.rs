//! Tests of routes, attempts and the choice of a replica for plain requests.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::ingress::attempts::{Attempts, NextStep, SendOutcome};
use lichenpulley_core::ingress::chooser::{ReplicaChooser, ReplicaFeedback};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{Limits, Route, RouteKind, RouteTable, WeightedService};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;

const LONG: Duration = Duration::from_secs(1);

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: None,
        target: Duration::from_millis(100),
        services: vec![
            WeightedService { service: "a".to_owned(), weight: 90 },
            WeightedService { service: "b".to_owned(), weight: 10 },
        ],
        max_attempts: 2,
        is_resumable: false,
        max_queue: LONG,
        due: LONG,
        needs_single_version: false,
        priority: 1,
        is_public: false,
        regions: AllowedRegions::all(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let limits = Limits { header_bytes: 1, body_bytes: 1, header_timeout: LONG, idle_timeout: LONG };
    let routes =
        vec![route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/b/c/")];
    let table = RouteTable { version: 1, routes, services: BTreeMap::new(), limits, tenants: None };
    let found = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("h", "/a/b/c/d"), Some("long"));
    assert_eq!(found("h", "/a/x"), Some("short"));
    assert_eq!(found("h", "/a"), None);
    assert_eq!(found("j", "/a/b/"), None);
}

#[test]
fn services_are_selected_by_weight() {
    let route = route("r", "h", "/");
    let to_b = (0..1_000).filter(|number| route.service_at(*number) == Some("b")).count();
    assert_eq!(to_b, 100);
}

fn outcome() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        Just(SendOutcome::NotSent),
        Just(SendOutcome::Withheld),
        Just(SendOutcome::Rejected),
        Just(SendOutcome::Failed),
        Just(SendOutcome::Broken),
        Just(SendOutcome::TimedOut),
    ]
}

proptest! {
    /// A request that is not repeatable may run at most once, and is reported as not run only if no send may have run
    /// it.
    #[test]
    fn attempts_keep_their_invariant(
        outcomes in prop::collection::vec(outcome(), 1..12),
        is_repeatable: bool,
        max_sends in 1_u32..5,
    ) {
        let mut attempts = Attempts::new(is_repeatable, max_sends);
        let (mut sends, mut may_have_run) = (0, 0);
        for outcome in outcomes {
            sends += u32::from(!matches!(outcome, SendOutcome::NotSent | SendOutcome::Withheld));
            may_have_run += u32::from(matches!(
                outcome,
                SendOutcome::Failed | SendOutcome::Broken | SendOutcome::TimedOut
            ));
            prop_assert!(sends <= max_sends);
            prop_assert!(is_repeatable || may_have_run <= 1);
            match attempts.next_step(outcome, LONG) {
                NextStep::TryAnother => continue,
                NextStep::GiveUpNotRun => prop_assert_eq!(may_have_run, 0),
                NextStep::GiveUpUnknown => prop_assert!(may_have_run > 0),
                NextStep::Answer => prop_assert_eq!(outcome, SendOutcome::Failed),
            }
            break;
        }
    }
}

#[test]
fn a_request_moves_only_if_it_is_repeatable_and_has_sends_and_time_left() {
    assert!(Attempts::new(true, 2).may_move(LONG));
    assert!(!Attempts::new(false, 2).may_move(LONG));
    assert!(!Attempts::new(true, 1).may_move(LONG));
    assert!(!Attempts::new(true, 2).may_move(Duration::from_millis(1)));
    let mut attempts = Attempts::new(true, 2);
    attempts.next_step(SendOutcome::TimedOut, LONG);
    assert!(!attempts.may_move(LONG));
}

#[test]
fn a_request_without_remaining_time_is_not_retried() {
    let mut attempts = Attempts::new(true, 3);
    assert_eq!(attempts.next_step(SendOutcome::Rejected, Duration::from_millis(1)), NextStep::GiveUpNotRun);
}

fn replica(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "a".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: 4,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}

fn replicas(records: Vec<ReplicaRecord>) -> ReplicaTable {
    ReplicaTable::new(records)
}

/// Chooses among the ready replicas of service `a` that are not in `tried`.
fn choose<'a>(
    chooser: &ReplicaChooser,
    table: &'a ReplicaTable,
    tried: &[String],
    now: Timestamp,
    random: u64,
) -> Option<&'a ReplicaRecord> {
    let untried = table.ready("a").filter(|record| !tried.contains(&record.id));
    chooser.best_of(untried.collect(), now, random)
}

#[test]
fn draining_unresponsive_and_slow_replicas_are_avoided_while_another_is_available() {
    let mut draining = replica("draining");
    draining.is_draining = true;
    let table = replicas(vec![replica("silent"), replica("slow"), replica("good"), draining]);
    let now = Timestamp::from_millis(1_000);
    let mut chooser = ReplicaChooser::default();
    for (id, feedback) in [
        ("silent", ReplicaFeedback::NoAnswer),
        ("slow", ReplicaFeedback::Answered(Duration::from_millis(200))),
        ("good", ReplicaFeedback::Answered(Duration::from_millis(20))),
    ] {
        chooser.record_sent(id);
        chooser.record_end(id, feedback, now);
    }
    for random in 0..16 {
        let chosen = choose(&chooser, &table, &[], now, random).expect("a replica");
        assert_eq!(chosen.id, "good");
    }
    let tried = ["good".to_owned(), "slow".to_owned()];
    let last = choose(&chooser, &table, &tried, now, 0).expect("a replica");
    assert_eq!(last.id, "silent", "used when no other is available");
    let later = now + Duration::from_secs(10);
    let chosen = choose(&chooser, &table, &tried, later, 0);
    assert_eq!(chosen.map(|chosen| chosen.id.as_str()), Some("silent"));
}

#[test]
fn a_replica_that_reports_a_queue_is_avoided() {
    let table = replicas(vec![replica("full"), replica("free")]);
    let now = Timestamp::from_millis(1_000);
    let mut chooser = ReplicaChooser::default();
    let load = ReplicaLoad { running: 4, waiting: 8, slots: 4, pace_percent: None };
    chooser.record_reported_load("full", load, now);
    for random in 0..8 {
        assert_eq!(choose(&chooser, &table, &[], now, random).expect("a replica").id, "free");
    }
}

#[test]
fn an_answer_of_a_cold_replica_ends_its_suspicion_but_its_latency_is_ignored() {
    let table = replicas(vec![replica("cold"), replica("other")]);
    let now = Timestamp::from_millis(1_000);
    let mut chooser = ReplicaChooser::default();
    chooser.record_end("other", ReplicaFeedback::Answered(Duration::from_millis(30)), now);
    chooser.record_end("cold", ReplicaFeedback::NoAnswer, now);
    let chosen =
        |chooser: &ReplicaChooser| choose(chooser, &table, &[], now, 0).map(|record| record.id.clone());
    assert_eq!(chosen(&chooser).as_deref(), Some("other"));
    chooser.record_end("cold", ReplicaFeedback::AnsweredCold, now);
    assert_eq!(chosen(&chooser).as_deref(), Some("cold"), "like a replica without samples");
}

/// Guards against a base latency that contains the load or a slowdown at the time of the answer.
#[test]
fn the_expected_response_follows_the_reported_pace_and_load() {
    let record = replica("a");
    let mut chooser = ReplicaChooser::default();
    let load = |running, pace| ReplicaLoad { running, waiting: 0, slots: 4, pace_percent: Some(pace) };
    let now = Timestamp::from_millis(1_000);
    assert!(!chooser.reports_pace(["a"]));
    chooser.record_reported_load("a", load(2, 250), now);
    assert!(chooser.reports_pace(["b", "a"]));
    assert_eq!(chooser.expected_response(&record, now), None, "no answer yet");
    // 20 ms, times 2.5 for the slowdown, times 1.5 for two requests on four slots.
    chooser.record_end("a", ReplicaFeedback::Answered(Duration::from_millis(75)), now);
    assert_eq!(chooser.base_latency(&record), Some(Duration::from_millis(20)));
    assert_eq!(chooser.expected_response(&record, now), Some(Duration::from_millis(75)));
    // The pace is as usual again once it is older than it may be used, and so is the load.
    let later = now + Duration::from_millis(500);
    assert_eq!(chooser.expected_response(&record, later), Some(Duration::from_millis(20)));
    let halfway = now + Duration::from_millis(250);
    let expected = chooser.expected_response(&record, halfway).expect("a time").as_secs_f64();
    assert!((expected - 0.020 * 1.75 * 1.5).abs() < 1e-6, "the pace approaches 100 %: {expected}");
}

/// Guards against a queue that is assumed long after it was reported.
#[test]
fn the_reported_queue_is_known_only_while_it_is_recent() {
    let mut chooser = ReplicaChooser::default();
    let now = Timestamp::from_millis(1_000);
    assert_eq!(chooser.reported_waiting("a", now), None);
    let load = ReplicaLoad { running: 4, waiting: 3, slots: 4, pace_percent: None };
    chooser.record_reported_load("a", load, now);
    assert_eq!(chooser.reported_waiting("a", now), Some(3));
    assert_eq!(chooser.reported_waiting("a", now + Duration::from_secs(1)), None);
    assert!(!chooser.reports_pace(["a"]), "three figures contain no pace");
}
