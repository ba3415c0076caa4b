//! Tests of membership between complete nodes over loopback: joining, leaving, failing and announced
//! revisions.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use lichenpulley_daemon::membership;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;

const TIMEOUT: Duration = Duration::from_secs(30);

async fn start_node(name: &str, seeds: &[SocketAddr]) -> Node {
    let mut settings = Settings::on_loopback(name, "zone-a");
    settings.peers.seeds = seeds.to_vec();
    settings.membership.probe_interval = Duration::from_millis(50);
    settings.membership.probe_timeout = Duration::from_millis(20);
    settings.stop.notice = Duration::from_millis(50);
    Node::start(settings).await.expect("the node starts")
}

async fn start_cluster(names: &[&str]) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for name in names {
        let seeds: Vec<_> = nodes.first().map(|node| node.addresses().peers).into_iter().collect();
        nodes.push(start_node(name, &seeds).await);
    }
    nodes
}

fn members(node: &Node) -> Vec<String> {
    node.context().cluster.load().members.iter().map(|member| member.node.to_string()).collect()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting for {what}");
}

async fn wait_for_views(nodes: &[Node], expected: &[&str]) {
    wait_until(&format!("the view {expected:?}"), || nodes.iter().all(|node| members(node) == expected))
        .await;
}

#[tokio::test]
async fn nodes_joining_through_one_seed_agree_on_all_members() {
    let nodes = start_cluster(&["a", "b", "c"]).await;
    wait_for_views(&nodes, &["a", "b", "c"]).await;
    let view = nodes[0].context().cluster.load();
    for node in &nodes {
        let member = view.member(&node.context().node).expect("a member");
        assert_eq!(member.peer_address, node.addresses().peers);
        assert_eq!(member.roles, node.context().settings.roles);
    }
}

#[tokio::test]
async fn planned_stop_removes_a_node_without_suspicion() {
    let mut nodes = start_cluster(&["a", "b", "c"]).await;
    wait_for_views(&nodes, &["a", "b", "c"]).await;
    let mut decisions = nodes[0].context().decisions.watch();
    let leaving = nodes.pop().expect("three nodes");
    leaving.begin_drain();
    wait_for_views(&nodes, &["a", "b"]).await;
    let mut actions = Vec::new();
    while let Ok(event) = decisions.try_recv() {
        if event.decision.subject == "c" {
            actions.push(event.decision.action);
        }
    }
    assert_eq!(actions, ["left"]);
    leaving.stopped().await;
}

#[tokio::test]
async fn crashed_node_is_removed_and_may_return_at_another_address() {
    let mut nodes = start_cluster(&["a", "b", "c"]).await;
    wait_for_views(&nodes, &["a", "b", "c"]).await;
    drop(nodes.pop());
    wait_for_views(&nodes, &["a", "b"]).await;
    let seed = nodes[0].addresses().peers;
    nodes.push(start_node("c", &[seed]).await);
    wait_for_views(&nodes, &["a", "b", "c"]).await;
    let address = nodes[2].addresses().peers;
    let c = nodes[2].context().node.clone();
    wait_until("the new address", || {
        nodes.iter().all(|node| {
            node.context().cluster.load().member(&c).map(|member| member.peer_address) == Some(address)
        })
    })
    .await;
}

#[tokio::test]
async fn announced_revision_reaches_other_nodes_with_its_holder() {
    let nodes = start_cluster(&["a", "b", "c"]).await;
    membership::announce_revision(nodes[1].context(), "test-document", Revision(7));
    let mut heard = membership::watch_revisions(nodes[2].context());
    let waited = tokio::time::timeout(TIMEOUT, heard.wait_for(|heard| heard.contains_key("test-document")));
    let heard = waited.await.expect("in time").expect("the node runs").clone();
    let announced = &heard["test-document"];
    assert_eq!(announced.revision, Revision(7));
    assert_eq!(announced.holder.node, nodes[1].context().node);
    assert_eq!(announced.holder.peer_address, nodes[1].addresses().peers);
}

#[tokio::test]
async fn undecodable_datagrams_are_counted_and_dropped() {
    let nodes = start_cluster(&["a", "b"]).await;
    wait_for_views(&nodes, &["a", "b"]).await;
    let sender = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for bytes in [&b""[..], &b"GET / HTTP/1.1"[..], &[1, 255, 255, 255, 255][..], &[1; 1_500][..]] {
        sender.send_to(bytes, nodes[0].addresses().peers).expect("sent");
    }
    let metrics = nodes[0].context().metrics.clone();
    wait_until("the count of undecodable datagrams", || {
        metrics.encode().is_ok_and(|text| text.contains("lichenpulley_membership_undecodable_total 4"))
    })
    .await;
    assert_eq!(members(&nodes[0]), ["a", "b"]);
}
