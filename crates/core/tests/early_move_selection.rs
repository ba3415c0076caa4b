//! Tests of the selection for early moves, and of refusals because the reported queues take longer than a request has
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::attempts::{Attempts, NextStep, SendOutcome};
use lichenpulley_core::ingress::chooser::ReplicaFeedback;
use lichenpulley_core::ingress::places::{AllowedRegions, ZoneMap};
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::selection::{NoCandidate, ReplicaSelector, SelectedReplica, SelectionQuery};
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::WarmupTracker;
use lichenpulley_core::retry::early_moves::{EarlyMoveDenial, EarlyMoveResult};
use lichenpulley_core::retry::retry_after::{QueueDrain, RetryCause};
use lichenpulley_core::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(10_000);
const SLOTS: u32 = 4;
/// Response time of each replica at its usual pace and without load.
const BASE: Duration = Duration::from_millis(20);
const REMAINING: Duration = Duration::from_secs(1);
/// What is left of a target of 150 ms when a request may move early.
const TARGET_LEFT: Duration = Duration::from_millis(60);
/// Time after which a reported queue is no longer used.
const REPORT_IS_OLD: Duration = Duration::from_millis(500);

fn replica(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "a".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: id.to_owned(),
        slots: SLOTS,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}

fn idle(pace_percent: Option<u32>) -> ReplicaLoad {
    ReplicaLoad { running: 0, waiting: 0, slots: SLOTS, pace_percent }
}

fn queue(waiting: u32, pace_percent: Option<u32>) -> ReplicaLoad {
    ReplicaLoad { running: SLOTS, waiting, slots: SLOTS, pace_percent }
}

/// A gateway and the replicas `one`, `two` and `three`, each in a zone of its name.
struct Gateway {
    selector: ReplicaSelector,
    table: ReplicaTable,
    evacuated: Arc<EvacuatedZones>,
}

impl Gateway {
    /// A gateway that each replica has answered once, with this pace.
    fn new(pace_percent: Option<u32>) -> Self {
        let order = GatewayOrder::new(NodeId::new("gateway"), Timestamp::ORIGIN);
        let mut selector = ReplicaSelector::new(WarmupTracker::for_gateway(order, Timestamp::ORIGIN));
        for id in ["one", "two", "three"] {
            selector.record_reported_load(id, idle(pace_percent), NOW);
            selector.record_end(id, ReplicaFeedback::Answered(BASE), NOW);
        }
        let table = ReplicaTable::new(["one", "two", "three"].map(replica));
        Self { selector, table, evacuated: Arc::default() }
    }

    fn with_query<Selected>(
        &mut self,
        tried: &[&str],
        select: impl FnOnce(&mut ReplicaSelector, &SelectionQuery<'_>, &ReplicaTable) -> Selected,
    ) -> Selected {
        let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
        let (zones, regions) = (ZoneMap::default(), AllowedRegions::all());
        let query = SelectionQuery {
            service: "a",
            regions: &regions,
            zones: &zones,
            tried: &tried,
            is_quarantined: false,
        };
        select(&mut self.selector, &query, &self.table)
    }

    /// Selects another replica for a request that waits at `one`.
    fn select_early(&mut self, now: Timestamp) -> Result<SelectedReplica, EarlyMoveDenial> {
        let evacuated = Some(Arc::clone(&self.evacuated));
        self.with_query(&["one"], |selector, query, table| {
            selector.select_early(query, TARGET_LEFT, Some(table), evacuated, now, 0)
        })
    }

    fn select_in_time(&mut self, tried: &[&str], now: Timestamp) -> Result<SelectedReplica, NoCandidate> {
        let evacuated = Some(Arc::clone(&self.evacuated));
        self.with_query(tried, |selector, query, table| {
            selector.check_queues(query, REMAINING, Some(table), evacuated.clone(), now)?;
            selector.select(query, Some(table), evacuated, now, 0)
        })
    }

    fn shortest_queue(&mut self, now: Timestamp) -> Option<QueueDrain> {
        self.with_query(&[], |selector, query, table| {
            selector.shortest_queue(query, REMAINING, Some(table), now)
        })
    }

    fn report(&mut self, ids: &[&str], load: ReplicaLoad, now: Timestamp) {
        for id in ids {
            self.selector.record_reported_load(id, load, now);
        }
    }
}

#[test]
fn an_overdue_request_moves_to_a_replica_that_is_expected_to_answer_in_time_and_counts_there() {
    let mut gateway = Gateway::new(Some(100));
    let first = gateway.select_early(NOW).expect("a replica");
    assert_ne!(first.record.id, "one");
    // The other one is idle and so expected to answer sooner.
    let second = gateway.select_in_time(&["one"], NOW).expect("a replica");
    assert_ne!(second.record.id, first.record.id);
}

/// Guards against a second search for candidates for each request where replicas report no pace. That search would find
/// that the evacuated zones are unknown.
#[test]
fn queues_cost_no_search_for_candidates_if_no_replica_has_reported_a_pace() {
    for (pace_percent, expected) in [(None, Ok(())), (Some(100), Err(NoCandidate::EvacuationsUnknown))] {
        let mut gateway = Gateway::new(pace_percent);
        let checked = gateway.with_query(&[], |selector, query, table| {
            selector.check_queues(query, REMAINING, Some(table), None, NOW)
        });
        assert_eq!(checked, expected, "{pace_percent:?}");
    }
}

/// Guards against early moves in deployments whose replicas report no pace.
#[test]
fn no_request_moves_early_if_no_replica_has_reported_a_pace() {
    let mut gateway = Gateway::new(None);
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::NoPace));
}

#[test]
fn no_request_moves_early_to_a_replica_that_is_not_expected_to_answer_in_time() {
    for load in [idle(Some(400)), queue(1, Some(100)), queue(0, Some(200))] {
        let mut gateway = Gateway::new(Some(100));
        gateway.report(&["two", "three"], load, NOW);
        assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::NoneInTime), "{load:?}");
    }
    let mut gateway = Gateway::new(Some(100));
    for id in ["two", "three"] {
        gateway.selector.record_end(id, ReplicaFeedback::NoAnswer, NOW);
    }
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::NoneInTime), "suspected replicas");
}

/// Guards against an early move to a replica of an unknown speed.
#[test]
fn no_request_moves_early_to_a_replica_without_measurements() {
    let mut gateway = Gateway::new(Some(100));
    gateway.table = ReplicaTable::new(["one", "new"].map(replica));
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::NoneInTime));
}

#[test]
fn no_request_moves_early_to_an_evacuated_zone() {
    let mut gateway = Gateway::new(Some(100));
    let zones = BTreeSet::from(["two".to_owned(), "three".to_owned()]);
    gateway.evacuated = Arc::new(EvacuatedZones { zones });
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::NoCandidate));
}

#[test]
fn early_moves_are_limited_by_shortage_earlier_results_and_budget() {
    let mut gateway = Gateway::new(Some(100));
    gateway.selector.early_moves_mut().record_answer("a", "one", 3, NOW);
    assert!(gateway.select_early(NOW).is_ok(), "the replica that the request leaves");
    gateway.selector.early_moves_mut().record_answer("a", "two", 3, NOW);
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::Shortage));

    let mut gateway = Gateway::new(Some(100));
    gateway.selector.early_moves_mut().record_result("a", EarlyMoveResult::Late, NOW);
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::Futile));

    let mut gateway = Gateway::new(Some(100));
    while gateway.selector.early_moves_mut().withdraw("a", NOW) {}
    assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::BudgetExhausted));
}

/// Guards against a budget that is spent by requests that have nowhere to move.
#[test]
fn a_denied_early_move_costs_no_budget() {
    let mut gateway = Gateway::new(Some(100));
    gateway.report(&["two", "three"], idle(Some(400)), NOW);
    for _ in 0..100 {
        assert_eq!(gateway.select_early(NOW), Err(EarlyMoveDenial::NoneInTime));
    }
    gateway.report(&["two", "three"], idle(Some(100)), NOW);
    assert!(gateway.select_early(NOW).is_ok());
}

#[test]
fn a_request_moves_early_at_most_once_and_only_if_it_may_run_twice() {
    let mut attempts = Attempts::new(true, 5);
    assert!(attempts.may_move_early(REMAINING));
    attempts.record_early_move();
    assert!(!attempts.may_move_early(REMAINING));
    assert!(attempts.may_move(REMAINING), "as before");
    assert!(!Attempts::new(false, 5).may_move_early(REMAINING));
    assert!(!Attempts::new(true, 1).may_move_early(REMAINING));
}

/// 300 waiting requests of 20 ms on 4 slots take 1.5 s, more than the second that the request has left.
#[test]
fn a_request_is_refused_if_every_reported_queue_takes_longer_than_its_time() {
    let mut gateway = Gateway::new(Some(100));
    gateway.report(&["one", "two"], queue(300, Some(100)), NOW);
    gateway.report(&["three"], queue(260, Some(100)), NOW);
    let queues = QueueDrain { drain_time: Duration::from_millis(1_300), remaining: REMAINING };
    assert_eq!(gateway.select_in_time(&[], NOW), Err(NoCandidate::NoTime(queues)));
    assert_eq!(gateway.select_in_time(&["one"], NOW), Err(NoCandidate::NoTime(queues)));
    assert_eq!(RetryCause::Queues(queues).retry_after(), Duration::from_millis(300), "a third of the time");
}

#[test]
fn a_request_is_sent_if_one_queue_is_short_enough_or_unknown() {
    let mut gateway = Gateway::new(Some(100));
    gateway.report(&["one", "two"], queue(300, Some(100)), NOW);
    gateway.report(&["three"], queue(200, Some(100)), NOW);
    assert!(gateway.select_in_time(&[], NOW).is_ok(), "exactly in time");
    assert!(gateway.select_in_time(&["three"], NOW).is_err());

    gateway.report(&["three"], queue(300, Some(100)), NOW);
    gateway.table = ReplicaTable::new(["one", "two", "three", "new"].map(replica));
    assert!(gateway.select_in_time(&[], NOW).is_ok(), "nothing is known of a new replica");
}

/// Guards against a gateway that refuses all requests for good, since it gets no further reports.
#[test]
fn requests_are_sent_again_once_the_reports_are_old() {
    let mut gateway = Gateway::new(Some(100));
    gateway.report(&["one", "two", "three"], queue(300, Some(100)), NOW);
    assert!(gateway.select_in_time(&[], NOW).is_err());
    assert!(gateway.select_in_time(&[], NOW + REPORT_IS_OLD).is_ok());
}

/// Guards against new refusals in deployments whose replicas report no pace.
#[test]
fn no_request_is_refused_by_queues_if_no_replica_has_reported_a_pace() {
    let mut gateway = Gateway::new(None);
    gateway.report(&["one", "two", "three"], queue(100_000, None), NOW);
    assert!(gateway.select_in_time(&[], NOW).is_ok());
    assert_eq!(gateway.shortest_queue(NOW), None, "so that Retry-After is fixed");
}

#[test]
fn the_shortest_queue_is_that_of_a_replica_that_may_be_sent_requests() {
    let mut gateway = Gateway::new(Some(100));
    gateway.report(&["one"], queue(20, Some(100)), NOW);
    gateway.report(&["two", "three"], queue(100, Some(100)), NOW);
    let queues = |milliseconds| {
        Some(QueueDrain { drain_time: Duration::from_millis(milliseconds), remaining: REMAINING })
    };
    assert_eq!(gateway.shortest_queue(NOW), queues(100));
    gateway.evacuated = Arc::new(EvacuatedZones { zones: BTreeSet::from(["one".to_owned()]) });
    assert!(gateway.select_in_time(&[], NOW).is_ok(), "tells the gate of the evacuated zone");
    assert_eq!(gateway.shortest_queue(NOW), queues(500));
    assert_eq!(gateway.shortest_queue(NOW + REPORT_IS_OLD), None);
}

/// What became of requests at replicas that reject requests while their queues are full.
#[derive(Debug, Default)]
struct Rejections {
    rejected_sends: u32,
    /// Refusals without a send.
    refused_at_once: u32,
    answered: u32,
    longest_retry_after: Duration,
}

/// Replays 100 requests a second with two attempts each, while all queues are full with 400 requests (2 s) for one
/// second and then drain.
fn replay_full_queues(pace_percent: Option<u32>) -> Rejections {
    let mut gateway = Gateway::new(pace_percent);
    let mut result = Rejections::default();
    for number in 0..300_u32 {
        let now = NOW + Duration::from_millis(10) * number;
        let waiting = 400 - 2 * number.saturating_sub(100).min(200);
        let mut attempts = Attempts::new(true, 2);
        let mut tried: Vec<String> = Vec::new();
        loop {
            let tried_ids: Vec<&str> = tried.iter().map(String::as_str).collect();
            let id = match gateway.select_in_time(&tried_ids, now) {
                Ok(selected) => selected.record.id,
                Err(NoCandidate::NoTime(queues)) => {
                    assert_eq!(attempts.give_up(), NextStep::GiveUpNotRun);
                    let retry_after = RetryCause::Queues(queues).retry_after();
                    result.longest_retry_after = result.longest_retry_after.max(retry_after);
                    result.refused_at_once += u32::from(tried.is_empty());
                    break;
                }
                Err(reason) => panic!("{reason:?}"),
            };
            tried.push(id.clone());
            gateway.report(&[&id], queue(waiting, pace_percent), now);
            if waiting == 0 {
                gateway.selector.record_end(&id, ReplicaFeedback::Answered(BASE), now);
                result.answered += 1;
                break;
            }
            gateway.selector.record_end(&id, ReplicaFeedback::Full, now);
            result.rejected_sends += 1;
            if attempts.next_step(SendOutcome::Rejected, REMAINING) != NextStep::TryAnother {
                assert!(attempts.is_only_rejected());
                break;
            }
        }
    }
    result
}

/// Guards against a gateway that offers each request to two full replicas and tells its caller to come back at once.
#[test]
fn requests_are_refused_without_a_send_while_all_replicas_report_full_queues() {
    let before = replay_full_queues(None);
    assert_eq!(before.refused_at_once, 0);
    let with_pace = replay_full_queues(Some(100));
    assert!(with_pace.refused_at_once > 0);
    assert!(with_pace.rejected_sends < before.rejected_sends * 3 / 4, "{with_pace:?} {before:?}");
    assert_eq!(with_pace.longest_retry_after, Duration::from_millis(300));
    assert_eq!(with_pace.answered, before.answered, "no request that can be answered is refused");
}
