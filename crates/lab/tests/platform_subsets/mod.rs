//! A deployment whose replicas are divided among its gateways: each follower of a metadata reader holds a subset, and
//! learns of the changes in it.

use lichenpulley_daemon::node::Node;
use lichenpulley_platform::objects;
use serde_json::{Value, json};

use crate::platform_system::{System, until};

/// Enough gateways for two partitions.
const GATEWAYS: usize = 16;
/// Nodes that read the platform and hold all replicas.
const READERS: usize = 2;
/// Replicas of a service in one zone, enough for two partitions.
const REPLICAS: usize = 80;

fn record(number: usize, state: &str) -> Value {
    json!({
        "service": "archive", "address": format!("127.0.0.1:{}", 20_000 + number), "zone": "kajang", "version": "v1",
        "slots": 4, "state": state, "cold_left_ms": 0.0, "models": [], "seq": 1, "born": 1,
    })
}

fn name(number: usize) -> String {
    format!("archive-{number}")
}

/// Starts the gateways with the replicas listed. The replicas are only listed, since nothing is sent to them.
async fn start() -> System {
    let mut system = System::start(1, 3).await;
    for number in 0..REPLICAS {
        system.platform.put(objects::REPLICAS, &name(number), record(number, "ready"));
    }
    for number in system.gateways.len()..GATEWAYS {
        let mut settings = system.settings(&format!("gateway-{number}"), number);
        settings.configuration.readers = READERS;
        settings.configuration.follow_from_nodes = 4;
        system.gateways.push(Some(Node::start(settings).await.expect("a gateway")));
    }
    system
}

fn holds(node: &Node, number: usize) -> bool {
    node.context().metadata.replicas.load().named(&name(number)).is_some()
}

/// Returns the gateways that hold a subset.
fn subset_holders(system: &System) -> Vec<&Node> {
    let nodes = system.gateways.iter().flatten();
    nodes.filter(|node| node.context().metadata.replicas.load().layout.is_some()).collect()
}

#[tokio::test]
async fn followers_hold_a_part_of_the_replicas_and_learn_of_its_changes() {
    let system = start().await;
    until(|| subset_holders(&system).len() >= GATEWAYS / 2).await;
    for node in subset_holders(&system) {
        let held = (0..REPLICAS).filter(|number| holds(node, *number)).count();
        assert!((REPLICAS / 5..REPLICAS * 4 / 5).contains(&held), "a gateway holds {held} of {REPLICAS}");
        assert!(
            node.context().metadata.replicas.load().named("replica-0").is_some(),
            "small services are whole"
        );
    }
    for number in 0..REPLICAS {
        let holders = system.gateways.iter().flatten().filter(|node| holds(node, number)).count();
        assert!(holders >= READERS, "{holders} gateways hold replica {number}");
    }
    system.platform.put(objects::REPLICAS, &name(3), record(3, "draining"));
    system.platform.remove(objects::REPLICAS, &name(5));
    let is_learned = |node: &Node| {
        let replicas = node.context().metadata.replicas.load();
        let drains = replicas.named(&name(3)).is_none_or(|record| record.is_draining);
        drains && replicas.named(&name(5)).is_none()
    };
    until(|| system.gateways.iter().flatten().all(is_learned)).await;
}

/// The owner of the batch jobs needs all replicas, whichever node it is.
#[tokio::test]
async fn a_follower_that_becomes_owner_reads_all_replicas() {
    let mut system = start().await;
    until(|| subset_holders(&system).len() >= GATEWAYS / 2).await;
    until(|| system.find_owner().is_some()).await;
    for _ in 0..3 {
        let owner = system.owner();
        let lost = system.gateways[owner].take().expect("the owner");
        lost.kill();
        lost.stopped().await;
        until(|| system.find_owner().is_some_and(|next| system.gateways[next].is_some())).await;
        until(|| {
            let next = system.gateways[system.owner()].as_ref().expect("the next owner");
            (0..REPLICAS).all(|number| holds(next, number))
        })
        .await;
    }
}
