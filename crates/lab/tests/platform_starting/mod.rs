//! Gateways that have just started and have not read all of the platform's metadata yet.
//!
//! A gateway reads the configuration, the replicas and the evacuated zones independently. Once it knew the
//! configuration, it refused requests with 503 that a replica could have run, until it had read the others.

use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_daemon::ingress::readiness;
use lichenpulley_daemon::node::Node;
use lichenpulley_platform::objects;
use serde_json::json;
use tokio::time::Instant;

use crate::platform_regions;
use crate::platform_system::{Answer, System, until};

/// The gateway that starts after the others, unless a test has more of them.
const STARTED: usize = 2;
/// A deadline of callers.
const DEADLINE: Duration = Duration::from_millis(1_000);

fn started(system: &System) -> &Node {
    system.gateways[STARTED].as_ref().expect("the started gateway")
}

/// Starts a gateway for which the platform's store does not answer requests for `kind`, and waits until it knows
/// its configuration.
async fn start_without(system: &mut System, kind: &str) {
    system.platform.set_unresponsive_kind(Some(kind));
    system.start_gateway(STARTED).await;
    until(|| started(system).context().metadata.routes.load().is_some()).await;
}

/// Starts a gateway to which neither the store nor a peer provides `kind`.
async fn start_alone_without(kind: &str) -> System {
    let mut system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    for gateway in &mut system.gateways {
        let stopped = gateway.take().expect("a gateway");
        stopped.kill();
        stopped.stopped().await;
    }
    start_without(&mut system, kind).await;
    system
}

async fn post(system: &System, path: &str) -> Answer {
    system.call(STARTED, Method::POST, path, &[("attempt-id", "first")], "x").await
}

/// Guards against refusing the first requests of a gateway that still reads its metadata.
#[tokio::test]
async fn the_first_request_of_a_gateway_waits_for_the_metadata_of_a_peer() {
    for kind in [objects::REPLICAS, objects::EVACUATIONS] {
        for path in ["/read/x", "/write/x", "/stream/x"] {
            let mut system = System::start(1, 3).await;
            system.call_until(StatusCode::OK, 0, "/read/warm").await;
            start_without(&mut system, kind).await;
            assert_eq!(post(&system, path).await.status, StatusCode::OK, "{path} without {kind}");
            let seen = system.replicas[0].seen();
            assert_eq!(seen.iter().filter(|request| request.id == "first").count(), 1);
        }
    }
}

/// Guards against a gateway that tells the sender of a job that no region has a replica before it has read the
/// list of replicas.
#[tokio::test]
async fn a_job_that_is_bound_to_regions_waits_for_the_replicas() {
    let mut system = platform_regions::start(3).await;
    let started = system.gateways.len();
    system.platform.set_unresponsive_kind(Some(objects::REPLICAS));
    system.start_gateway(started).await;
    let node = system.gateways[started].as_ref().expect("the started gateway").context();
    until(|| node.metadata.routes.load().is_some() && node.cluster.load().members.len() == 9).await;
    let item = json!({"id": "i", "path": "/stream/x", "headers": {"Model": "pricing"}, "body": "Ym9keQ==",
        "tokens": 10});
    let job = json!({"step": 0, "min_version": 1, "items": [item]}).to_string();
    let answer = system.call(started, Method::POST, "/rollouts/x", &[("attempt-id", "job")], job).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED, "{:?}", answer.body);
}

/// Guards against holding requests until their deadline if a gateway learns nothing.
#[tokio::test]
async fn a_request_that_waits_in_vain_is_refused_in_time_for_another_gateway() {
    for (kind, refusal) in
        [(objects::REPLICAS, "replicas_unknown"), (objects::EVACUATIONS, "evacuations_unknown")]
    {
        let system = start_alone_without(kind).await;
        let seen_before = system.replicas[0].seen().len();
        let deadline = DEADLINE.as_millis().to_string();
        for path in ["/read/x", "/write/x", "/stream/x"] {
            let fields = [("attempt-id", "vain"), ("deadline-ms", deadline.as_str())];
            let began = Instant::now();
            let refused = system.call(STARTED, Method::POST, path, &fields, "x").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{path} without {kind}");
            assert!(began.elapsed() < DEADLINE, "{path} without {kind}: {:?}", began.elapsed());
            assert_eq!(refused.json()["kind"], refusal);
            assert!(refused.headers.contains_key("retry-after"));
        }
        assert_eq!(system.replicas[0].seen().len(), seen_before);
        system.platform.set_unresponsive_kind(None);
        system.call_until(StatusCode::OK, STARTED, "/read/x").await;
    }
}

/// Guards against load balancers that send callers to a gateway that can't serve them yet.
#[tokio::test]
async fn a_gateway_is_ready_once_it_knows_its_metadata() {
    for kind in [objects::REPLICAS, objects::EVACUATIONS] {
        let system = start_alone_without(kind).await;
        let status = || readiness::answer(started(&system).context()).status();
        assert_eq!(status(), StatusCode::SERVICE_UNAVAILABLE, "without {kind}");
        system.platform.set_unresponsive_kind(None);
        until(|| status() == StatusCode::OK).await;
    }
}

/// Guards against a planned stop that keeps callers waiting for metadata which another gateway has.
#[tokio::test]
async fn a_waiting_request_is_refused_when_its_gateway_drains() {
    let system = start_alone_without(objects::REPLICAS).await;
    let drain = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        started(&system).begin_drain();
    };
    let began = Instant::now();
    let (refused, ()) = tokio::join!(post(&system, "/write/x"), drain);
    assert_eq!(refused.json()["kind"], "replicas_unknown");
    // Without the drain it would wait for half of the route's timeout of 5 s.
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}
