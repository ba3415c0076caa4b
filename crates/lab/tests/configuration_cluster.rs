//! The configuration across several real nodes, with the platform up and down.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::Revision;
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::object_api::{self, ObjectApi, ObjectApiFaults};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::operator::{ChangeConfiguration, ConfigurationChanged};
use serde_json::json;

/// Far more than any step takes; a test that needs it has failed.
const PATIENCE: Duration = Duration::from_secs(60);

async fn until(condition: impl Fn() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waited).await.expect("the condition comes true");
}

async fn platform() -> ObjectApi {
    object_api::start(ANY_PORT).await.expect("starts")
}

async fn start(name: &str, zone: &str, object_api: &ObjectApi, seeds: &[SocketAddr]) -> Node {
    let mut settings = Settings::on_loopback(name, zone);
    settings.platform.object_api = Some(object_api.address);
    settings.peers.seeds = seeds.to_vec();
    settings.membership.probe_interval = Duration::from_millis(100);
    settings.membership.probe_timeout = Duration::from_millis(50);
    Node::start(settings).await.expect("starts")
}

fn revision(node: &Node) -> Option<Revision> {
    let view = node.context().configuration.load();
    view.known.then_some(view.revision)
}

async fn cluster(object_api: &ObjectApi, count: usize) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for number in 0..count {
        let zone = ["sando-hall", "couva-room", "pointe-rack"][number % 3];
        let seeds: Vec<SocketAddr> = nodes.iter().take(2).map(|node| node.addresses().peers).collect();
        nodes.push(start(&format!("node-{number}"), zone, object_api, &seeds).await);
    }
    until(|| nodes.iter().all(|node| node.context().cluster.load().members.len() == count)).await;
    until(|| nodes.iter().all(|node| revision(node).is_some())).await;
    nodes
}

async fn change(node: &Node, base: u64, value: u64) -> Revision {
    let change = ChangeConfiguration {
        base_revision: Revision(base),
        change_id: format!("change-{base}"),
        path: "/".to_owned(),
        key: "staleness_bound".to_owned(),
        value: Some(json!(value)),
    };
    let http = HttpClient::new(Duration::from_secs(5));
    let changed = http.put_json(node.addresses().operators, "/v1/config", &change, PATIENCE).await;
    let changed: ConfigurationChanged = changed.expect("accepted");
    changed.revision
}

#[tokio::test]
async fn a_change_on_one_node_is_in_force_on_all_and_two_read_the_platform() {
    let object_api = platform().await;
    let nodes = cluster(&object_api, 5).await;
    // Each reader holds one watch of the object API open.
    until(|| object_api.counters().open_watches <= 2).await;
    for base in 0..3 {
        let made = change(&nodes[base % nodes.len()], base as u64, 2 + base as u64).await;
        assert_eq!(made, Revision(base as u64 + 1));
        until(|| nodes.iter().all(|node| revision(node) == Some(made))).await;
    }
    assert!(object_api.counters().open_watches <= 2, "{:?}", object_api.counters());
}

#[tokio::test]
async fn a_node_that_starts_while_the_platform_is_down_learns_from_its_peers() {
    let object_api = platform().await;
    let mut nodes = cluster(&object_api, 3).await;
    let made = change(&nodes[0], 0, 2).await;
    until(|| nodes.iter().all(|node| revision(node) == Some(made))).await;
    object_api.set_faults(ObjectApiFaults { down: true, ..ObjectApiFaults::default() });

    let replaced = nodes.pop().expect("three nodes");
    replaced.kill();
    replaced.stopped().await;
    let seeds: Vec<SocketAddr> = nodes.iter().map(|node| node.addresses().peers).collect();
    let empty = start("node-2", "pointe-rack", &object_api, &seeds).await;
    until(|| revision(&empty).is_some()).await;
    assert_eq!(revision(&empty), Some(made));
}

#[tokio::test]
async fn a_node_that_can_not_know_is_not_ready_until_the_platform_answers() {
    let object_api = platform().await;
    object_api.set_faults(ObjectApiFaults { down: true, ..ObjectApiFaults::default() });
    let node = start("alone", "sando-hall", &object_api, &[]).await;
    let http = HttpClient::new(Duration::from_secs(5));
    let refused = http.get_bytes(node.addresses().operators, "/readyz", PATIENCE).await;
    let refused = refused.expect_err("not ready");
    assert_eq!(refused.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(refused.body::<ErrorBody>().expect("a typed error").kind, "configuration_unknown");

    object_api.set_faults(ObjectApiFaults::default());
    until(|| revision(&node).is_some()).await;
    http.get_bytes(node.addresses().operators, "/readyz", PATIENCE).await.expect("ready");
}
