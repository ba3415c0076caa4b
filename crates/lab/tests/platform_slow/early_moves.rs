//! Plain requests at replicas that report their pace: moves within the target of the route, and refusals by the reported
//! queues.
//!
//! What happened: a request at a silent replica moved after 300 ms at the earliest, later than the target of its route,
//! and a request that no replica could serve in time waited until its deadline.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use lichenpulley_lab::platform_replica::{Replica, ReplicaBehaviour, SeenRequest};
use lichenpulley_platform::{headers, objects};
use serde_json::json;
use tokio::time::Instant;

use super::{all_take, runs, unconnectable};
use crate::platform_system::{Answer, PATIENCE, System, ZONES, configuration, until};

/// The target of the routes here. 0.6 of it is far from the time after which a request moves otherwise.
const TARGET: Duration = Duration::from_secs(3);
/// The callers' time. Without reported paces, a request moves after 35 % of it, 10.5 s.
const LONG_DEADLINE_MS: &str = "30000";
/// The time after which a request moves without reported paces, with a margin for the time until it is sent.
const MOVES_AFTER: Duration = Duration::from_secs(10);
/// Idle, with four slots, as fast as usual.
const IDLE: &str = "0,0,4,100";

/// A system whose gateway has routes with [`TARGET`] and whose replicas report these figures. Each replica has answered
/// the gateway.
async fn system(replicas: usize, figures: &'static str) -> System {
    system_with_target(replicas, figures, TARGET).await
}

async fn system_with_target(replicas: usize, figures: &'static str, target: Duration) -> System {
    let system = System::start(replicas, 3).await;
    let mut changed = configuration(2);
    for route in changed["routes"].as_array_mut().expect("routes") {
        route["target_ms"] = u64::try_from(target.as_millis()).expect("a number").into();
        route["timeout_ms"] = 60_000.into();
    }
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, changed);
    let node = system.gateways[0].as_ref().expect("a gateway").context();
    until(|| node.metadata.routes.load().as_ref().is_some_and(|routes| routes.version == 2)).await;
    for replica in &system.replicas {
        replica.report_load(headers::parse_load(figures));
    }
    // A replica without measurements is expected to answer within 20 ms, so that each of them is tried.
    all_take(&system, Duration::from_millis(50));
    let has_answered_all = |system: &System| system.replicas.iter().all(|replica| !replica.seen().is_empty());
    while !has_answered_all(&system) {
        system.call_until(StatusCode::OK, 0, "/read/warm").await;
    }
    system
}

/// Sends a request to a replica that is silent from then on, while the others work well. Returns the answer and the time
/// that it took.
async fn send_to_silent_replica(
    system: &System,
    path: &'static str,
    deadline_ms: &str,
) -> (Answer, Duration) {
    all_take(system, PATIENCE);
    let fields = [("attempt-id", "r"), ("deadline-ms", deadline_ms)];
    let sent_at = Instant::now();
    let answer = system.call(0, Method::POST, path, &fields, Bytes::from_static(b"x"));
    let others_work = async {
        until(|| runs(system, "r") == 1).await;
        for replica in
            system.replicas.iter().filter(|replica| !replica.seen().iter().any(|seen| seen.id == "r"))
        {
            replica.set_behaviour(ReplicaBehaviour::Well);
        }
    };
    let (answer, ()) = tokio::join!(answer, others_work);
    (answer, sent_at.elapsed())
}

/// Returns the sends of the request, in order.
fn sends(system: &System) -> Vec<SeenRequest> {
    let seen = system.replicas.iter().flat_map(Replica::seen);
    let mut sends: Vec<SeenRequest> = seen.filter(|seen| seen.id == "r").collect();
    sends.sort_by_key(|seen| seen.at);
    sends
}

/// Returns the time between the first two sends of the request.
fn time_at_first_replica(system: &System) -> Duration {
    let sends = sends(system);
    sends[1].at - sends[0].at
}

/// Returns the deadline that a send carried.
fn deadline(sent: &SeenRequest) -> Duration {
    Duration::from_millis(sent.headers["deadline-ms"].parse().expect("milliseconds"))
}

fn metrics(system: &System) -> String {
    let node = system.gateways[0].as_ref().expect("a gateway");
    node.context().metrics.encode().expect("metrics")
}

#[tokio::test]
async fn a_request_at_a_silent_replica_is_answered_by_another_within_the_target() {
    let system = system(3, IDLE).await;
    let (answer, took) = send_to_silent_replica(&system, "/read/x", LONG_DEADLINE_MS).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(runs(&system, "r"), 2);
    assert!(took < MOVES_AFTER, "it moved after {took:?}");
    assert!(time_at_first_replica(&system) >= TARGET / 2, "a shorter send does not count as an attempt");
    let sends = sends(&system);
    assert!(deadline(&sends[1]) + TARGET / 2 <= deadline(&sends[0]), "only the rest of the caller's time");
    let metrics = metrics(&system);
    assert!(metrics.contains("lichenpulley_early_moves_total{result="), "{metrics}");
}

/// Guards against a request that is taken from a replica to which it was not sent yet, and then counts as one that may
/// have run. Connecting is given up after 200 ms, later than 0.6 of this target.
#[tokio::test]
async fn a_request_does_not_move_early_while_its_connection_is_being_opened() {
    let system = system_with_target(1, IDLE, Duration::from_millis(300)).await;
    let (listener, _queued) = unconnectable().await;
    let mut record = system.replicas[0].record("engines", ZONES[0]);
    record["address"] = json!(listener.local_addr().expect("an address").to_string());
    // Without measurements, it is expected to answer sooner than the other one.
    system.platform.put(objects::REPLICAS, "gone", record);
    let node = system.gateways[0].as_ref().expect("a gateway").context();
    until(|| node.metadata.replicas.load().named("gone").is_some()).await;
    let fields = [("attempt-id", "r"), ("deadline-ms", LONG_DEADLINE_MS)];
    let answer = system.call(0, Method::GET, "/read/x", &fields, "").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(runs(&system, "r"), 1);
    let metrics = metrics(&system);
    assert!(
        metrics.contains("action=\"tried_another\",component=\"request\",reason=\"not_sent\""),
        "{metrics}"
    );
    assert!(!metrics.contains("lichenpulley_early_moves_total"), "{metrics}");
}

/// Guards against a move that closes the connection on which an answer is arriving, and runs the request again.
#[tokio::test]
async fn a_request_whose_answer_is_arriving_does_not_move_early() {
    let system = system(3, IDLE).await;
    for replica in &system.replicas {
        replica.set_behaviour(ReplicaBehaviour::DelaysBody(TARGET));
    }
    let fields = [("attempt-id", "r"), ("deadline-ms", LONG_DEADLINE_MS)];
    let answer = system.call(0, Method::POST, "/read/x", &fields, Bytes::from_static(b"x")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(runs(&system, "r"), 1);
    assert!(!metrics(&system).contains("lichenpulley_early_moves_total"), "it moved early");
}

/// Guards against early moves where replicas don't report a pace.
#[tokio::test]
async fn a_request_moves_as_before_if_replicas_report_no_pace() {
    let system = system(3, "0,0,4").await;
    let (answer, _) = send_to_silent_replica(&system, "/read/x", LONG_DEADLINE_MS).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(runs(&system, "r"), 2);
    assert!(time_at_first_replica(&system) >= MOVES_AFTER);
    assert!(!metrics(&system).contains("lichenpulley_early_moves"), "no early move was considered");
}

/// Guards against a second run of a request that may run only once.
#[tokio::test]
async fn a_request_that_must_not_run_twice_does_not_move_early() {
    let system = system(3, IDLE).await;
    let (answer, _) = send_to_silent_replica(&system, "/write/x", "4000").await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(runs(&system, "r"), 1);
}

/// Sends a request whose deadline is 3 s, after one that brought a fresh report.
async fn send_after_report(system: &System, id: &str) -> Answer {
    let fields = [("attempt-id", "report"), ("deadline-ms", "3000")];
    system.call(0, Method::GET, "/read/x", &fields, "").await;
    let fields = [("attempt-id", id), ("deadline-ms", "3000")];
    system.call(0, Method::GET, "/read/x", &fields, "").await
}

/// A system whose only replica takes 50 ms for a request, and then reports these figures.
async fn queued(figures: &'static str) -> System {
    let system = system(1, IDLE).await;
    for _ in 0..20 {
        system.call_until(StatusCode::OK, 0, "/read/warm").await;
    }
    system.replicas[0].report_load(headers::parse_load(figures));
    system
}

#[tokio::test]
async fn a_request_is_refused_as_not_run_while_the_reported_queue_takes_longer_than_its_time() {
    // The queue drains in about 50 s.
    let system = queued("4,4000,4,100").await;
    let mut tries = 0;
    // A slow machine may take longer from one call to the next than a report is used.
    let refused = loop {
        tries += 1;
        let id = format!("r-{tries}");
        let answer = send_after_report(&system, &id).await;
        if answer.status != StatusCode::OK {
            assert_eq!(runs(&system, &id), 0);
            break answer;
        }
        // The replica answers without a queue, so each answer makes its measured speed greater.
        assert!(tries < 6, "no request was refused");
    };
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["kind"], "no_time");
    let retry_after =
        refused.headers["retry-after"].to_str().expect("text").parse::<f64>().expect("a number");
    assert!((0.1..=1.0).contains(&retry_after), "at most a third of 3 s: {retry_after}");
    assert!(metrics(&system).contains("lichenpulley_refusals_total{reason=\"no_time\"}"));
}

/// Guards against a fixed `Retry-After` after which the queue has not drained.
#[tokio::test]
async fn a_rejected_request_is_told_when_the_reported_queue_has_drained() {
    // The queue drains in about 1.2 s, within the time of the request.
    let system = queued("4,100,4,100").await;
    system.replicas[0].set_behaviour(ReplicaBehaviour::Rejects);
    let refused = send_after_report(&system, "rejected").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["kind"], "not_run");
    assert_eq!(runs(&system, "rejected"), 0);
    let retry_after =
        refused.headers["retry-after"].to_str().expect("text").parse::<f64>().expect("a number");
    assert!((0.2..=1.0).contains(&retry_after), "at most a third of 3 s: {retry_after}");
}

/// Guards against refusals by queues where replicas don't report a pace.
#[tokio::test]
async fn no_request_is_refused_by_queues_if_replicas_report_no_pace() {
    let system = system(1, "4,4000,4").await;
    for number in 0..10 {
        let answer = send_after_report(&system, &format!("r-{number}")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    for replica in &system.replicas {
        replica.set_behaviour(ReplicaBehaviour::Rejects);
    }
    let refused = send_after_report(&system, "rejected").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["kind"], "not_run");
    assert_eq!(refused.headers["retry-after"], "0.1");
}
