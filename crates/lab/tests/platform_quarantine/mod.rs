//! A request ended every replica that ran it: its process crashed within a tenth of a second, and came back after some
//! seconds under a new id. The bound on sends held within each try, but the request came again with a new id, at another gateway,
//! and each time was sent on to the replicas that had just come back: 14 of them ended under one request, and all others
//! of the service's callers were refused meanwhile. Two lines of one request, by its fingerprint, settled it:
//! `tried_another broken replica=i-c8214c2a31 sends=1 milliseconds=52` at one gateway and, after the replicas were back,
//! `tried_another broken replica=i-2a529d8ef1 sends=1 milliseconds=56` at another.

use std::time::Duration;

use crate::platform_system::System;
use hyper::{Method, StatusCode};

/// Ends the replicas that run a request with it.
const ENDING_BODY: &str = "ends";
const REPLICAS: usize = 3;
/// What has become known to one node is known to all others after so long: the platform's bound.
const SPREADS_WITHIN: Duration = Duration::from_secs(3);
/// Replicas that a request may reach after that, once three have ended under it.
const MORE_SENDS: usize = 3;

/// Starts the replicas that have ended anew, each under a new id at its address; returns how many there were.
async fn revive(system: &mut System) -> usize {
    let mut ended = 0;
    for number in 0..system.replicas.len() {
        if !system.replicas[number].has_ended() {
            continue;
        }
        ended += 1;
        system.revive_replica(number).await;
    }
    ended
}

/// A system whose replicas end under [`ENDING_BODY`], and which serves.
async fn started() -> System {
    let system = System::ending_on(ENDING_BODY, REPLICAS, 20).await;
    for gateway in 0..2 {
        system.call_until(StatusCode::OK, gateway, "/read/warm").await;
    }
    system
}

/// Sends the request that ends replicas; they are started anew afterwards. Returns how many ended.
async fn send_ending(system: &mut System, gateway: usize, path: &str) -> usize {
    let fields = [("attempt-id", "again"), ("deadline-ms", "2000")];
    system.call(gateway, Method::POST, path, &fields, ENDING_BODY).await;
    revive(system).await
}

/// Sends it until three replicas have ended.
async fn end_three(system: &mut System, path: &str) {
    let mut ended = 0;
    while ended < 3 {
        ended += send_ending(system, 0, path).await;
        system.call_until(StatusCode::OK, 0, "/read/warm").await;
    }
}

/// Sends it again at each gateway, also at one that has only just started; returns how many replicas ended.
async fn send_everywhere(system: &mut System, path: &str) -> usize {
    tokio::time::sleep(SPREADS_WITHIN).await;
    let started = system.gateways.len();
    system.start_gateway(started).await;
    system.call_until(StatusCode::OK, started, "/read/warm").await;
    tokio::time::sleep(SPREADS_WITHIN).await;
    let mut ended = 0;
    for _ in 0..3 {
        for gateway in 0..=started {
            ended += send_ending(system, gateway, path).await;
            system.call_until(StatusCode::OK, gateway, "/read/warm").await;
        }
    }
    ended
}

#[tokio::test]
async fn a_request_under_which_replicas_end_is_kept_from_all_others_at_every_gateway() {
    let mut system = started().await;
    end_three(&mut system, "/read/x").await;
    let ended = send_everywhere(&mut system, "/read/x").await;
    assert!(ended <= MORE_SENDS, "{ended} more replicas ended");
}
