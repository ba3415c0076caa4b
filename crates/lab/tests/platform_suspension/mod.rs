//! A machine that is suspended for seconds while all others go on. The steady clock, and with it every timer, stands still meanwhile.

use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_daemon::node::Node;
use lichenpulley_platform::objects;

use crate::platform_system::{System, until};

/// Longer than any authority lasts.
const SUSPENDED: Duration = Duration::from_secs(5);

fn suspend(node: &Node) {
    node.context().boot_clock.skip(SUSPENDED);
}

#[tokio::test]
async fn an_owner_shows_nothing_on_what_was_confirmed_before_its_machine_was_suspended() {
    let mut system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.submit(0, "job", 4, 1).await;
    assert_eq!(system.results(0, "job").await.len(), 4);
    let owner = system.owner();
    for number in 0..system.stores.len() {
        let lost = system.stores[number].take().expect("a store");
        lost.kill();
        lost.stopped().await;
    }
    // Without stores nothing confirms it any more; what the last of them confirmed is seconds old, although hardly a moment has passed.
    suspend(system.gateways[owner].as_ref().expect("the owner"));
    let answer = system.call(owner, Method::GET, "/-/lots/job?after_rev=0", &[], "").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    // Nor does it say that a job is unknown which its successor may have.
    let fields = [("attempt-id", "end")];
    let answer = system.call(owner, Method::DELETE, "/-/lots/another", &fields, "").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn a_node_whose_machine_was_suspended_reads_the_platform_anew() {
    let system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let node = system.gateways[0].as_ref().expect("a gateway");
    // Both watch by now, and would list nothing any more.
    until(|| system.platform.waiting_watch_count(objects::REPLICAS) == 2).await;
    let before = system.platform.list_count(objects::REPLICAS);
    suspend(node);
    until(|| system.platform.list_count(objects::REPLICAS) > before).await;
}

#[tokio::test]
async fn an_end_at_an_owner_without_authority_starts_no_items_of_other_jobs() {
    let system = System::start(1, 1_000_000).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.submit(0, "running", 200, 1).await;
    system.submit(0, "waiting", 4, 1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let owner = system.owner();
    // Confirmations stay in force for a while after the stores are gone.
    system.stores.iter().flatten().for_each(Node::kill);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = system.runs();
    suspend(system.gateways[owner].as_ref().expect("the owner"));
    let answer = system.call(owner, Method::DELETE, "/-/lots/running", &[("attempt-id", "end")], "").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(system.runs(), before);
}
