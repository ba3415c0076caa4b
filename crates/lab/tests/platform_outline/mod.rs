//! A takeover of a long log that nobody followed: by its outline first, and by its texts later.

use hyper::{Method, StatusCode};
use serde_json::Value;
use std::time::Duration;
use tempfile::TempDir;

use crate::platform_system::{PATIENCE, System};

/// Jobs and items of each: a log of more than a thousand entries.
const JOBS: usize = 3;
const ITEMS: usize = 400;
const EVENTS: u64 = 3;

fn is_whole(results: &[Value]) -> bool {
    let text = (0..EVENTS).map(|number| format!("piece {number}")).collect::<Vec<_>>().join("\n");
    results.iter().all(|result| result["state"] == "complete" && result["text"] == text.as_str())
}

/// A system whose owner is gone, the results of its jobs, and the gateway that is left.
async fn without_owner() -> (System, Vec<Vec<Value>>, usize) {
    let mut system = System::without_follower(4, EVENTS).await;
    let mut before = Vec::new();
    for job in 0..JOBS {
        let id = format!("job-{job}");
        system.submit(0, &id, ITEMS, 1).await;
        before.push(system.results(0, &id).await);
    }
    assert!(before.iter().all(|results| is_whole(results)));
    let owner = system.owner();
    system.gateways[owner].take().expect("the owner").kill();
    (system, before, 1 - owner)
}

/// All results are what they were, and the log was read by its outline.
async fn check(system: &System, before: &[Vec<Value>], gateway: usize) {
    for (job, before) in before.iter().enumerate() {
        let id = format!("job-{job}");
        assert_eq!(&system.results(gateway, &id).await, before, "{id}");
    }
    let metrics = system.gateways[gateway].as_ref().expect("the next owner").context().metrics.encode();
    let metrics = metrics.expect("metrics");
    for action in ["outline_read", "texts_read"] {
        assert!(metrics.contains(&format!("action=\"{action}\"")), "{action} was never decided");
    }
}

#[tokio::test]
async fn results_that_were_read_are_the_same_after_a_takeover_of_a_long_log() {
    let (system, before, other) = without_owner().await;
    // A job that is handed in at once runs, whatever is missing of those before.
    system.submit(other, "new", 4, 1).await;
    assert!(is_whole(&system.results(other, "new").await));
    check(&system, &before, other).await;
    let ended = async {
        while system.call(other, Method::DELETE, "/-/lots/job-0", &[], "").await.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, ended).await.expect("the end is taken");
}

#[tokio::test]
async fn a_store_that_lost_its_disk_doesn_t_keep_a_long_log_from_being_read_by_its_outline() {
    let (mut system, before, other) = without_owner().await;
    system.stores[0].take().expect("a store").kill();
    system.folders[0] = TempDir::new().expect("a folder");
    system.start_store(0).await;
    check(&system, &before, other).await;
}
