//! Stores with little room: what is accepted can be read, and what has no room is refused.

use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_core::identity::ShardId;
use lichenpulley_daemon::store::shard_log::{ShardLog, ShardLogError};
use serde_json::json;
use tokio::time::Instant;

use crate::platform_system::{PATIENCE, System, SystemPlan, until};

const CAPACITY_BYTES: u64 = 6 << 20;
const BODY_BYTES: usize = 90_000;
/// More jobs than the stores have room for.
const JOBS: usize = 80;

async fn start() -> System {
    let plan = SystemPlan { store_capacity_bytes: CAPACITY_BYTES, ..SystemPlan::default() };
    let system = System::with_plan(plan, 1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system
}

/// Submits a job until it is accepted or refused, and returns the status.
async fn submit(system: &System, gateway: usize, id: &str) -> StatusCode {
    let item = json!({"id": format!("{id}-0"), "path": "/stream/x", "headers": {"Model": "pricing"},
        "body": "Ym9k".repeat(BODY_BYTES / 3), "tokens": 100, "group": "g"});
    let job = json!({"step": 0, "model": "pricing", "min_version": 1, "desired": 1, "items": [item]});
    let body = serde_json::to_vec(&job).expect("a body");
    let began = Instant::now();
    loop {
        let fields = [("attempt-id", id)];
        let answer = system.call(gateway, Method::POST, "/rollouts/x", &fields, body.clone()).await;
        let is_final = [StatusCode::ACCEPTED, StatusCode::TOO_MANY_REQUESTS].contains(&answer.status);
        if is_final || began.elapsed() > PATIENCE / 4 {
            return answer.status;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Submits jobs to these gateways in turn until one is refused, and returns the accepted ones.
async fn submit_until_refused(system: &System, name: &str, gateways: &[usize]) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{name}-{number}");
        match submit(system, gateways[number % gateways.len()], &id).await {
            StatusCode::ACCEPTED => accepted.push(id),
            status => {
                assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{} jobs are accepted", accepted.len());
                return accepted;
            }
        }
    }
    panic!("no job is refused");
}

/// Guards against an owner that ends because the stores are full, and with it every later one: no accepted job could be
/// read any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_jobs_can_be_read_while_the_stores_are_full_and_after_the_owner_is_killed() {
    let mut system = start().await;
    let mut accepted = submit_until_refused(&system, "early", &[0, 1]).await;
    assert!(accepted.len() >= 10, "{} jobs are accepted", accepted.len());
    for id in &accepted {
        assert_eq!(system.results(0, id).await.len(), 1, "{id}");
    }
    until(|| system.find_owner().is_some()).await;
    let owner = system.owner();
    system.gateways[owner].take().expect("the owner").kill();
    for id in &accepted {
        assert_eq!(system.results(1 - owner, id).await.len(), 1, "{id}");
    }
    accepted.extend(submit_until_refused(&system, "late", &[1 - owner]).await);
    for id in &accepted {
        assert_eq!(system.results(1 - owner, id).await.len(), 1, "{id}");
    }
}

/// Fills the stores with the log of another shard.
async fn fill_stores(system: &System) {
    let node = system.gateways[0].as_ref().expect("a gateway");
    let taken = ShardLog::take_over(node.context(), &ShardId::new("test/filler")).await;
    let (mut log, _) = taken.expect("taken over");
    for bytes in [64 << 10, 64] {
        let full = loop {
            if let Err(error) = log.append(vec![vec![0; bytes]]).await {
                break error;
            }
        };
        assert!(matches!(full, ShardLogError::DiskFull { .. }), "{full}");
    }
}

/// Guards against an owner that ends, or is never confirmed, because there is no room for its heartbeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn owners_serve_reads_and_refuse_jobs_while_another_log_fills_the_stores() {
    let mut system = start().await;
    let ids = ["first", "second", "third"];
    for id in ids {
        assert_eq!(submit(&system, 0, id).await, StatusCode::ACCEPTED);
        assert_eq!(system.results(0, id).await.len(), 1, "{id}");
    }
    fill_stores(&system).await;
    assert_eq!(submit(&system, 0, "late").await, StatusCode::TOO_MANY_REQUESTS);
    until(|| system.find_owner().is_some()).await;
    let owner = system.owner();
    system.gateways[owner].take().expect("the owner").kill();
    for id in ids {
        assert_eq!(system.results(1 - owner, id).await.len(), 1, "{id}");
    }
    assert_eq!(submit(&system, 1 - owner, "later").await, StatusCode::TOO_MANY_REQUESTS);
}
