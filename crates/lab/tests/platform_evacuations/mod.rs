//! Zones that are evacuated, and nodes whose way to the platform's store is silent, over real nodes and sockets.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_daemon::http::client::ClientError;
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::metadata_store::ResponseMode;
use lichenpulley_lab::soak::proxy::{LoopbackProxy, ProxyMode};
use lichenpulley_platform::objects;
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::operator::{ZoneChanged, ZoneState, ZoneStatus};
use serde_json::json;

use crate::platform_system::{PATIENCE, System, ZONES, until};

/// A watch that nothing ends holds for longer than any test lasts.
const ENDLESS: Duration = Duration::from_secs(300);

fn evacuate(system: &System, zone: &str) {
    system.platform.put(objects::EVACUATIONS, zone, json!({}));
}

fn is_in_force(node: &Node, zone: &str) -> bool {
    node.context().metadata.evacuated.load().zones.contains(zone)
}

async fn until_in_force(system: &System, zone: &str) {
    until(|| system.gateways.iter().flatten().all(|node| is_in_force(node, zone))).await;
}

/// Serves plain requests at one gateway; returns how many were.
async fn serve(system: &System, gateway: usize, requests: usize) -> usize {
    let mut served = 0;
    for _ in 0..requests {
        let answer = system.call(gateway, Method::POST, "/read/x", &[("attempt-id", "r")], "x").await;
        served += usize::from(answer.status == StatusCode::OK);
    }
    served
}

/// Adds a gateway whose way to the platform's store leads through a proxy.
pub(crate) async fn add_proxied(system: &mut System) -> LoopbackProxy {
    let proxy = LoopbackProxy::bind(system.platform.address).await.expect("a proxy");
    let number = system.gateways.len();
    let mut settings = system.settings(&format!("gateway-{number}"), number);
    settings.platform.metadata_store = Some(proxy.address);
    settings.configuration.watch_hold = ENDLESS;
    system.gateways.push(Some(Node::start(settings).await.expect("a gateway")));
    system.call_until(StatusCode::OK, number, "/read/warm").await;
    // Its watches stand, beside those of the others.
    for kind in [objects::REPLICAS, objects::EVACUATIONS] {
        until(|| system.platform.waiting_watch_count(kind) == system.gateways.len()).await;
    }
    proxy
}

#[tokio::test]
async fn nothing_new_reaches_an_evacuated_zone_while_all_else_is_served() {
    let system = System::start(3, 40).await;
    for gateway in 0..2 {
        system.call_until(StatusCode::OK, gateway, "/read/warm").await;
    }
    system.submit(0, "before", 40, 1).await;
    evacuate(&system, ZONES[0]);
    until_in_force(&system, ZONES[0]).await;
    // What was written before has arrived by the time that these are answered.
    assert_eq!(serve(&system, 0, 10).await + serve(&system, 1, 10).await, 20);
    let before = system.replicas[0].seen().len();
    system.submit(1, "after", 40, 1).await;
    assert_eq!(serve(&system, 0, 20).await + serve(&system, 1, 20).await, 40);
    assert_eq!(system.results(0, "before").await.len(), 40);
    assert_eq!(system.results(1, "after").await.len(), 40);
    assert_eq!(system.replicas[0].seen().len(), before);
    system.platform.remove(objects::EVACUATIONS, ZONES[0]);
    until(|| !system.gateways.iter().flatten().any(|node| is_in_force(node, ZONES[0]))).await;
    // More items than the other replicas have places for: the zone is used again.
    system.submit(0, "returned", 40, 1).await;
    until(|| system.replicas[0].seen().len() > before).await;
}

#[tokio::test]
async fn a_node_that_starts_while_the_store_is_silent_sends_nothing_before_it_knows_the_evacuations() {
    let mut system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    evacuate(&system, ZONES[0]);
    until_in_force(&system, ZONES[0]).await;
    serve(&system, 0, 5).await;
    let before = system.replicas[0].seen().len();
    system.platform.set_response_mode(ResponseMode::Silent);
    system.start_gateway(2).await;
    let served = async {
        while serve(&system, 2, 1).await == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, served).await.expect("it learns from its peers");
    assert_eq!(serve(&system, 2, 20).await, 20);
    assert_eq!(system.replicas[0].seen().len(), before);
}

#[tokio::test]
async fn a_node_that_nobody_can_tell_of_the_evacuations_sends_nothing() {
    let mut system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    for gateway in &mut system.gateways {
        let lost = gateway.take().expect("a gateway");
        lost.kill();
        lost.stopped().await;
    }
    system.platform.set_unresponsive_kind(Some(objects::EVACUATIONS));
    system.start_gateway(2).await;
    let before = system.replicas[0].seen().len();
    let refused = async {
        while system.call(2, Method::GET, "/read/x", &[], "").await.json()["kind"] != "evacuations_unknown" {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, refused).await.expect("it knows all but the evacuations");
    for path in ["/read/x", "/write/x", "/stream/x"] {
        let refused = system.call(2, Method::POST, path, &[("attempt-id", "r")], "x").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(system.replicas[0].seen().len(), before);
    system.platform.set_unresponsive_kind(None);
    system.call_until(StatusCode::OK, 2, "/read/x").await;
}

#[tokio::test]
async fn where_all_zones_are_evacuated_callers_are_told_at_once_why_and_when_to_come_back() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    evacuate(&system, ZONES[0]);
    evacuate(&system, ZONES[1]);
    until_in_force(&system, ZONES[0]).await;
    until_in_force(&system, ZONES[1]).await;
    for path in ["/read/x", "/write/x", "/stream/x"] {
        let refused = system.call(0, Method::POST, path, &[("attempt-id", "r")], "x").await;
        assert_eq!(
            (refused.status, refused.json()["kind"].as_str()),
            (StatusCode::SERVICE_UNAVAILABLE, Some("evacuated"))
        );
        assert!(refused.headers.contains_key("retry-after"));
    }
    system.platform.remove(objects::EVACUATIONS, ZONES[1]);
    system.call_until(StatusCode::OK, 0, "/read/x").await;
}

#[tokio::test]
async fn a_node_that_the_store_turns_away_learns_from_its_peers_what_changes_meanwhile() {
    let mut system = System::start(3, 3).await;
    let proxy = add_proxied(&mut system).await;
    proxy.set_mode(ProxyMode::Silent);
    evacuate(&system, ZONES[0]);
    until_in_force(&system, ZONES[0]).await;
    let mut leaving = system.replicas[1].record("engines", ZONES[1]);
    leaving["state"] = json!("draining");
    system.platform.put(objects::REPLICAS, "replica-1", leaving);
    let node = system.gateways[2].as_ref().expect("a gateway");
    let knows = || {
        let replicas = node.context().metadata.replicas.load();
        replicas.named("replica-1").is_some_and(|record| record.is_draining)
    };
    until(knows).await;
    // A store that serves others all the while shows what has gone, too.
    system.platform.remove(objects::REPLICAS, "replica-1");
    until(|| node.context().metadata.replicas.load().named("replica-1").is_none()).await;
}

#[tokio::test]
async fn a_watch_whose_answer_was_lost_is_found_out_by_what_other_readers_have() {
    let mut system = System::start(3, 3).await;
    let proxy = add_proxied(&mut system).await;
    let knows = |node: &Node| node.context().metadata.replicas.load().named("replica-1").is_none();
    proxy.set_mode(ProxyMode::Silent);
    system.platform.remove(objects::REPLICAS, "replica-1");
    until(|| system.gateways[..2].iter().flatten().all(&knows)).await;
    proxy.set_mode(ProxyMode::Open);
    until(|| system.gateways.iter().flatten().all(&knows)).await;
}

async fn change(operators: SocketAddr, system: &System, path: &str) -> Result<ZoneChanged, ErrorBody> {
    let path = format!("/v1/zones/{path}");
    let changed: Result<ZoneChanged, ClientError> =
        system.http.post_json(operators, &path, &json!({}), PATIENCE).await;
    changed.map_err(|error| error.body::<ErrorBody>().expect("a typed error"))
}

#[tokio::test]
async fn operators_evacuate_and_return_a_zone_and_are_told_what_stands() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let node = system.gateways[0].as_ref().expect("a gateway");
    let operators = node.addresses().operators;
    let refused = async |path: &str| change(operators, &system, path).await.expect_err("refused").kind;
    assert_eq!(refused("nowhere/evacuate").await, "unknown_zone");
    assert_eq!(refused("kajang/return").await, "not_evacuated");
    let changed = change(operators, &system, "kajang/evacuate").await.expect("taken");
    assert_eq!(changed.state, ZoneState::Evacuated);
    assert_eq!(refused("kajang/evacuate").await, "already_evacuated");
    until_in_force(&system, "kajang").await;
    let zones: Vec<ZoneStatus> =
        system.http.get_json(operators, "/v1/zones", PATIENCE).await.expect("the zones");
    let stands = |name: &str| zones.iter().find(|zone| zone.zone == name).expect("a zone");
    assert_eq!((stands("kajang").state, stands("kajang").replicas), (ZoneState::Evacuated, 1));
    assert!(stands("kajang").evacuated_for_ms.is_some() && stands("kajang").through.is_some());
    assert_eq!(stands("shah-alam").state, ZoneState::Open);
    assert_eq!(change(operators, &system, "kajang/return").await.expect("taken").state, ZoneState::Open);
    until(|| !system.gateways.iter().flatten().any(|node| is_in_force(node, "kajang"))).await;
    system.platform.set_response_mode(ResponseMode::Busy);
    assert_eq!(refused("kajang/evacuate").await, "store_unreachable");
}
