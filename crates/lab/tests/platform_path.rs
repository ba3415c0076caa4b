//! The platform's path over real nodes and sockets, against the stand-ins: plain requests, streams, batch jobs, orders,
//! configuration, and what fails.

mod platform_changes;
mod platform_cold;
mod platform_cut;
mod platform_cut_heads;
mod platform_duties;
mod platform_ends;
mod platform_entries;
mod platform_evacuations;
mod platform_full_stores;
mod platform_outline;
mod platform_owners;
mod platform_pace;
mod platform_placement;
mod platform_quarantine;
mod platform_regions;
mod platform_retirements;
mod platform_slow;
mod platform_starting;
mod platform_subsets;
mod platform_suspension;
mod platform_system;
mod platform_tenants;
mod platform_unframed;
mod platform_unread;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::metadata_store::ResponseMode;
use lichenpulley_lab::platform_replica::{Replica, ReplicaBehaviour};
use lichenpulley_platform::objects;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::Instant;

use platform_system::{PATIENCE, STORES, System, configuration, until};

fn whole_text(events: u64) -> String {
    let pieces: Vec<String> = (0..events).map(|number| format!("piece {number}")).collect();
    pieces.join("\n")
}

#[tokio::test]
async fn a_plain_request_reaches_a_replica_unchanged_and_its_answer_comes_back_unchanged() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let fields = [
        ("attempt-id", "r-1"),
        ("deadline-ms", "2000"),
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
    ];
    let answer = system.call(0, Method::POST, "/read/a%20b?c=d&e", &fields, "a body").await;
    assert_eq!((answer.status, answer.body.as_ref()), (StatusCode::OK, b"a body".as_slice()));
    assert_eq!(answer.headers.get("server-seal").expect("a seal"), "seal");
    let seen: Vec<_> =
        system.replicas.iter().flat_map(Replica::seen).filter(|seen| seen.id == "r-1").collect();
    let [seen] = seen.as_slice() else { panic!("it ran {} times", seen.len()) };
    assert_eq!((seen.line.as_str(), seen.body.as_ref()), ("POST /read/a%20b?c=d&e", b"a body".as_slice()));
    assert_eq!(seen.headers.get("x-own").map(String::as_str), Some("kept"));
    assert!(!seen.headers.contains_key("x-hop"), "fields of one connection are not passed on");
    assert!(seen.headers.get("expect-replica").is_some_and(|replica| replica.starts_with("replica-")));
    let deadline: u64 = seen.headers["deadline-ms"].parse().expect("a number");
    assert!((1..=2_000).contains(&deadline));
}

#[tokio::test]
async fn what_the_configuration_does_not_allow_gets_the_status_that_says_so() {
    let system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let status =
        async |method, path: &str, body: Vec<u8>| system.call(0, method, path, &[], body).await.status;
    assert_eq!(status(Method::GET, "/other/x", Vec::new()).await, StatusCode::NOT_FOUND);
    assert_eq!(status(Method::POST, "/read/x", vec![0; 2_100_000]).await, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(status(Method::POST, "/rollouts/x", b"{}".to_vec()).await, StatusCode::BAD_REQUEST);
    let bad = system.call(0, Method::POST, "/rollouts/x", &[("attempt-id", "j")], "{\"items\":[{}").await;
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
    let unknown = system.call_until(StatusCode::NOT_FOUND, 0, "/-/lots/nothing").await;
    assert!(unknown.headers.get("retry-after").is_none());
}

#[tokio::test]
async fn a_request_that_must_not_run_twice_runs_once_and_a_rejected_one_is_tried_elsewhere() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    for replica in &system.replicas {
        replica.set_behaviour(ReplicaBehaviour::LosesAnswers);
    }
    let lost = system.call(0, Method::POST, "/write/x", &[("attempt-id", "w-1")], "x").await;
    assert_eq!(lost.status, StatusCode::BAD_GATEWAY, "it may have run: no promise is made");
    let runs = |id: &str| system.replicas.iter().flat_map(Replica::seen).filter(|seen| seen.id == id).count();
    assert_eq!(runs("w-1"), 1);
    let repeated = system.call(0, Method::POST, "/read/x", &[("attempt-id", "r-1")], "x").await;
    assert_eq!(repeated.status, StatusCode::BAD_GATEWAY);
    assert_eq!(runs("r-1"), 2, "one that may run twice is tried at each replica");
    for replica in &system.replicas {
        replica.set_behaviour(ReplicaBehaviour::Rejects);
    }
    let refused = system.call(0, Method::POST, "/write/x", &[("attempt-id", "w-2")], "x").await;
    assert_eq!((refused.status, runs("w-2")), (StatusCode::SERVICE_UNAVAILABLE, 0));
    assert!(refused.headers.contains_key("retry-after"), "it says when to come back");
    system.replicas[1].set_behaviour(ReplicaBehaviour::Well);
    let served = system.call(0, Method::POST, "/write/x", &[("attempt-id", "w-3")], "x").await;
    assert_eq!((served.status, runs("w-3")), (StatusCode::OK, 1));
}

#[tokio::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    for replica in &system.replicas {
        replica.set_behaviour(ReplicaBehaviour::AnswersForAnother);
    }
    let answer = system.call(0, Method::POST, "/read/x", &[("attempt-id", "r-1")], "x").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn a_stream_that_breaks_is_continued_at_another_replica_within_the_same_answer() {
    let system = System::start(2, 20).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.replicas[0].set_behaviour(ReplicaBehaviour::BreaksAfter(7));
    system.replicas[1].set_behaviour(ReplicaBehaviour::BreaksAfter(15));
    let answer = system.call(0, Method::POST, "/stream/x", &[("attempt-id", "s-1")], "x").await;
    assert_eq!(answer.status, StatusCode::OK);
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    let numbers: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    let wanted: Vec<String> = (0..20).map(|number| number.to_string()).collect();
    assert_eq!(numbers, wanted, "each event once and in order");
}

#[tokio::test]
async fn a_batch_job_is_taken_once_run_listed_and_ended() {
    let system = System::start(2, 5).await;
    system.submit(0, "job", 6, 1).await;
    system.submit(1, "job", 6, 1).await;
    let results = system.results(1, "job").await;
    let items: BTreeSet<&str> = results.iter().map(|result| result["id"].as_str().expect("an id")).collect();
    assert_eq!((results.len(), items.len()), (6, 6), "each item stands in the list once");
    for result in &results {
        assert_eq!(result["state"], "complete");
        assert_eq!(result["text"], whole_text(5));
        assert_eq!(result["versions"], json!([1]));
    }
    assert_eq!(system.results(0, "job").await, results, "the same at every node");
    let ended = system.call(0, Method::DELETE, "/-/lots/job", &[], "").await;
    assert_eq!(ended.status, StatusCode::OK);
    let again = system.call(1, Method::DELETE, "/-/lots/job", &[], "").await;
    assert_eq!(again.status, StatusCode::OK);
    let body = system.call(1, Method::GET, "/-/items/job?id=job-3", &[], "").await;
    assert_eq!((body.status, body.body.as_ref()), (StatusCode::OK, b"body".as_slice()));
}

#[tokio::test]
async fn each_result_carries_the_seal_of_its_own_scorer_although_scorers_fail_and_the_owner_is_killed() {
    let mut system = System::start(3, 5).await;
    system.replicas[0].set_behaviour(ReplicaBehaviour::AnswersForAnother);
    system.submit_scored(0, "job", 12).await;
    system.replicas[1].set_behaviour(ReplicaBehaviour::Rejects);
    let owner = system.owner();
    system.gateways[owner].take().expect("the owner").kill();
    let reader = 1 - owner;
    system.replicas[1].set_behaviour(ReplicaBehaviour::Well);
    let results = system.results(reader, "job").await;
    assert_eq!(results.len(), 12);
    let seen: Vec<_> = system.replicas.iter().flat_map(Replica::seen).collect();
    for result in &results {
        assert_eq!((&result["state"], &result["text"]), (&json!("complete"), &json!(whole_text(5))));
        let request = format!("score-{}", result["id"].as_str().expect("an id"));
        assert_eq!(result["score"], format!("seal of {request}"));
        let calls: Vec<_> = seen.iter().filter(|seen| seen.id == request).collect();
        assert!(!calls.is_empty());
        for call in calls {
            assert_eq!((call.line.as_str(), call.body.as_ref()), ("POST /read/score", b"score".as_slice()));
            assert!(call.headers.contains_key("expect-replica") && call.headers.contains_key("deadline-ms"));
        }
    }
}

#[tokio::test]
async fn a_scorer_that_can_not_be_asked_is_refused_with_its_field() {
    let system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let refused = async |scorer: serde_json::Value| {
        let item = json!({"id": "i", "path": "/stream/x", "scorer": scorer});
        let body = serde_json::to_vec(&json!({"items": [item]})).expect("a body");
        let answer = system.call(0, Method::POST, "/rollouts/x", &[("attempt-id", "j")], body).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        String::from_utf8(answer.body.to_vec()).expect("text")
    };
    let good = json!({"id": "s", "host": "shop.example", "path": "/read/x", "body": "Ym9keQ=="});
    for (field, value) in [("path", "read"), ("body", "%"), ("host", ""), ("id", "")] {
        let mut scorer = good.clone();
        scorer[field] = json!(value);
        let text = refused(scorer).await;
        assert!(text.contains(&format!("scorer.{field}")), "{text}");
    }
    let mut unknown = good.clone();
    unknown["host"] = json!("elsewhere.example");
    assert!(refused(unknown).await.contains("elsewhere.example"));
}

async fn metrics_of(system: &System, gateway: usize) -> String {
    let operators = system.gateways[gateway].as_ref().expect("a gateway").addresses().operators;
    let text = system.http.get_bytes(operators, "/metrics", PATIENCE).await.expect("metrics");
    String::from_utf8(text.to_vec()).expect("text")
}

#[tokio::test]
async fn latencies_and_decisions_are_counted_where_operators_look() {
    let system = System::start(2, 5).await;
    system.submit(0, "job", 4, 1).await;
    system.results(0, "job").await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let gateway = metrics_of(&system, 0).await;
    assert!(
        gateway.contains(r#"lichenpulley_latency_seconds_count{of="request",outcome="answered"}"#),
        "{gateway}"
    );
    let owner = metrics_of(&system, system.owner()).await;
    assert!(
        owner.contains(r#"lichenpulley_latency_seconds_count{of="item_run",outcome="complete"} 4"#),
        "{owner}"
    );
    assert!(owner.contains(r#"lichenpulley_batch_items{state="running"}"#), "{owner}");
}

#[tokio::test]
async fn a_job_goes_on_when_its_owner_is_killed_and_nothing_read_before_changes() {
    let mut system = System::start(2, 60).await;
    system.submit(0, "job", 12, 1).await;
    let owner = system.owner();
    let other = 1 - owner;
    let first = async {
        loop {
            let answer =
                system.call(other, Method::GET, "/-/lots/job?after_rev=0", &[("wait-ms", "500")], "").await;
            if answer.status == StatusCode::OK
                && !answer.json()["results"].as_array().expect("results").is_empty()
            {
                return answer.json()["results"].as_array().expect("results").clone();
            }
        }
    };
    let read_before = tokio::time::timeout(PATIENCE, first).await.expect("some results");
    system.gateways[owner].take().expect("the owner").kill();
    let results = system.results(other, "job").await;
    assert_eq!(results[..read_before.len()], read_before, "positions and content hold");
    assert!(results.iter().all(|result| result["text"] == whole_text(60)), "each text is whole");
}

/// How many bytes of the log a gateway has followed, by its metrics.
async fn followed_bytes(system: &System, gateway: usize) -> u64 {
    let text = metrics_of(system, gateway).await;
    let value = text.lines().find_map(|line| line.strip_prefix("lichenpulley_batch_followed_bytes "));
    value.expect("the gauge").parse().expect("bytes")
}

#[tokio::test]
async fn the_next_owner_has_followed_the_log_and_reads_only_what_came_last() {
    let mut system = System::start(2, 3).await;
    for number in 0..4 {
        system.submit(0, &format!("job-{number}"), 20, 1).await;
        system.results(0, &format!("job-{number}")).await;
    }
    let owner = system.owner();
    let followed_before = tokio::time::timeout(PATIENCE, async {
        loop {
            match followed_bytes(&system, 1 - owner).await {
                0 => tokio::time::sleep(Duration::from_millis(50)).await,
                bytes => return bytes,
            }
        }
    });
    let followed_before = followed_before.await.expect("the next owner follows");
    let next = system.gateways[1 - owner].as_ref().expect("the next owner");
    let mut decisions = next.context().decisions.watch();
    system.gateways[owner].take().expect("the owner").kill();
    let whole = async {
        loop {
            let event = decisions.recv().await.expect("a decision");
            if event.decision.action == "ledger_whole" {
                return event.decision;
            }
        }
    };
    let decision = tokio::time::timeout(PATIENCE, whole).await.expect("a takeover");
    let followed = decision.inputs.iter().find(|input| input.name == "followed_bytes").expect("an input");
    assert!(followed.value.parse::<u64>().expect("bytes") >= followed_before, "{decision:?}");
    for number in 0..4 {
        assert_eq!(system.results(1 - owner, &format!("job-{number}")).await.len(), 20);
    }
}

#[tokio::test]
async fn a_named_version_is_loaded_under_a_fence_and_runs_what_needs_it() {
    let system = System::start(2, 3).await;
    system.submit(0, "before", 1, 1).await;
    system.results(0, "before").await;
    system.platform.put(objects::VERSIONS, "pricing", json!({"model": "pricing", "version": 2}));
    system.submit(0, "after", 4, 2).await;
    let results = system.results(0, "after").await;
    assert!(results.iter().all(|result| result["versions"] == json!([2])));
    let orders: Vec<_> = system.replicas.iter().flat_map(Replica::orders).collect();
    let holders: BTreeSet<&str> = orders.iter().map(|order| order.holder.as_str()).collect();
    assert_eq!(holders.len(), 1, "one holder of orders");
    assert!(orders.iter().all(|order| order.fence >= 1 && order.version == 2));
}

#[tokio::test]
async fn a_configuration_is_in_force_at_every_node_also_after_the_history_is_gone() {
    let system = System::start(1, 3).await;
    for gateway in 0..2 {
        system.call_until(StatusCode::OK, gateway, "/read/warm").await;
    }
    system.platform.compact();
    let mut next = configuration(2);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, next);
    for gateway in 0..2 {
        system.call_until(StatusCode::OK, gateway, "/moved/x").await;
        system.call_until(StatusCode::NOT_FOUND, gateway, "/read/x").await;
    }
}

/// Of many nodes a few read the platform; the others learn all the same, also when a reader is lost.
/// Makes the platform's store silent until each gateway has noticed, and every replica's entry lapse meanwhile.
async fn lapse_all(system: &System) {
    let nodes = || system.gateways.iter().flatten();
    system.platform.set_response_mode(ResponseMode::Silent);
    while !nodes().all(|node| node.context().metadata.is_store_unreachable()) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for number in 0..system.replicas.len() {
        system.platform.remove(objects::REPLICAS, &format!("replica-{number}"));
    }
    system.platform.set_response_mode(ResponseMode::Normal);
    while nodes().any(|node| node.context().metadata.is_store_unreachable()) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn replicas_whose_entries_lapsed_while_the_store_was_away_go_on_serving() {
    let system = System::with_lapse_grace(Duration::from_secs(600), 2).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.call_until(StatusCode::OK, 1, "/read/warm").await;
    lapse_all(&system).await;
    // What is sent after the return is served, though no entry is back.
    for number in 0..20 {
        let answer = system.call(number % 2, Method::GET, "/read/x", &[("attempt-id", "r")], "").await;
        assert_eq!(answer.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn replicas_whose_entries_do_not_come_back_in_time_are_gone() {
    let system = System::with_lapse_grace(Duration::from_millis(300), 2).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    lapse_all(&system).await;
    system.call_until(StatusCode::SERVICE_UNAVAILABLE, 0, "/read/x").await;
    let record = system.replicas[0].record("engines", "kajang");
    system.platform.put(objects::REPLICAS, "replica-0", record);
    system.call_until(StatusCode::OK, 0, "/read/x").await;
}

#[tokio::test]
async fn nodes_that_follow_a_reader_learn_of_changes_without_asking_the_platform() {
    let mut system = System::start(2, 3).await;
    for number in 2..6 {
        let mut settings = system.settings(&format!("gateway-{number}"), number);
        settings.configuration.readers = 2;
        settings.configuration.follow_from_nodes = 4;
        system.gateways.push(Some(Node::start(settings).await.expect("a gateway")));
    }
    for number in 0..6 {
        system.call_until(StatusCode::OK, number, "/read/x").await;
    }
    let followers = system.followers().await;
    assert!(followers >= 1, "{followers} of four nodes follow");
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, configuration(7));
    let everywhere = async {
        loop {
            let versions =
                system.gateways.iter().flatten().map(|node| {
                    node.context().metadata.routes.load().as_ref().map_or(0, |table| table.version)
                });
            if versions.into_iter().all(|version| version == 7) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, everywhere).await.expect("the configuration is in force everywhere");
    for number in 0..2 {
        let lost = system.gateways[number].take().expect("a gateway");
        lost.kill();
        lost.stopped().await;
    }
    system.add_replica(2, 3).await;
    let learned = async {
        loop {
            let counts = system
                .gateways
                .iter()
                .flatten()
                .map(|node| node.context().metadata.replicas.load().records.len());
            if counts.into_iter().all(|count| count == 3) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, learned).await.expect("the replica is known everywhere");
}

#[tokio::test]
async fn a_node_that_starts_while_the_platform_is_silent_learns_from_its_peers() {
    let mut system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.platform.set_response_mode(ResponseMode::Silent);
    system.start_gateway(2).await;
    let early = system.call(2, Method::GET, "/read/x", &[("attempt-id", "early")], "").await;
    assert_ne!(
        early.status,
        StatusCode::NOT_FOUND,
        "a node without a configuration promises nothing about routes"
    );
    system.call_until(StatusCode::OK, 2, "/read/x").await;
}

#[tokio::test]
async fn a_store_that_lost_its_disk_is_replaced_while_the_platform_is_down() {
    let mut system = System::start(2, 3).await;
    system.submit(0, "first", 4, 1).await;
    let first = system.results(0, "first").await;
    system.platform.set_response_mode(ResponseMode::Resets);
    for number in 0..2 {
        // One disk after the other: the third store keeps all that was acknowledged, and the others take it from there.
        let lost = system.stores[number].take().expect("a store");
        lost.kill();
        lost.stopped().await;
        drop(lost);
        system.folders[number] = TempDir::new().expect("an empty folder");
        system.start_store(number).await;
        let members = async {
            loop {
                let owner = system.gateways[system.owner()].as_ref().expect("an owner").context();
                let shard = lichenpulley_core::identity::ShardId::new("batch/main");
                let generation = owner.replica_sets.get(&shard).map_or(0, |set| set.generation.0);
                if generation >= number as u64 + 2 {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, members).await.expect("the member is replaced");
    }
    assert_eq!(system.results(1, "first").await, first);
}

#[tokio::test]
async fn a_much_more_capable_machine_takes_the_batch_jobs_and_one_that_is_alike_does_not() {
    let mut system = System::start(2, 3).await;
    system.submit(0, "first", 4, 1).await;
    let first = system.results(0, "first").await;
    let owner = system.owner();
    system.start_gateway(2).await;
    system.submit(2, "second", 2, 1).await;
    assert_eq!(system.owner(), owner, "a machine that is alike changes nothing");
    let mut settings = system.settings("gateway-3", 3);
    settings.machine.processor_share = 2.0;
    system.gateways.push(Some(Node::start(settings).await.expect("a gateway")));
    until(|| system.find_owner() == Some(3)).await;
    assert_eq!(system.results(0, "first").await, first);
    system.submit(1, "third", 2, 1).await;
    assert_eq!(system.results(3, "third").await.len(), 2);
}

/// A log takes longer to read than a few calls may take: whoever reads it is alive all the while, and is let finish.
#[tokio::test]
async fn a_long_log_is_taken_over_though_reading_it_takes_longer_than_a_call_may() {
    let mut system = System::start(2, 3).await;
    for number in 0..40 {
        system.submit_long(0, &format!("long-{number}"), 1_000_000).await;
    }
    let mut settings = system.settings("gateway-2", 2);
    settings.store.call_timeout = Duration::from_millis(30);
    system.gateways.push(Some(Node::start(settings).await.expect("a gateway")));
    for number in 0..2 {
        let killed = system.gateways[number].take().expect("a gateway");
        killed.kill();
        killed.stopped().await;
    }
    let path = "/-/lots/long-39?after_rev=0";
    let answer = system.call_until(StatusCode::OK, 2, path).await;
    assert_eq!(answer.json()["total"], 1);
}

#[tokio::test]
async fn what_was_taken_survives_two_disks_lost_at_once_where_two_are_to_be_borne() {
    let mut system = System::tolerating(2, 2, 3).await;
    system.submit(0, "first", 4, 1).await;
    let first = system.results(0, "first").await;
    let members: Vec<String> = {
        let owner = system.gateways[system.owner()].as_ref().expect("an owner").context();
        let shard = lichenpulley_core::identity::ShardId::new("batch/main");
        let set = owner.replica_sets.get(&shard).expect("a set");
        set.members.iter().map(|member| member.node.to_string()).collect()
    };
    assert_eq!(members.len(), 5);
    for number in 0..2 {
        let lost = system.stores[number].take().expect("a store");
        lost.kill();
        lost.stopped().await;
    }
    for number in 0..2 {
        system.folders[number] = TempDir::new().expect("an empty folder");
        system.start_store(number).await;
    }
    let owner = system.owner();
    let killed = system.gateways[owner].take().expect("the owner");
    killed.kill();
    killed.stopped().await;
    assert_eq!(system.results(1 - owner, "first").await, first);
}

/// A caller that sends all of its body before it reads anything must still learn why it is refused: a connection that is
/// closed with unread bytes is reset, and the answer lost with it.
#[tokio::test]
async fn a_caller_that_sends_a_too_long_body_to_its_end_gets_the_answer() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let mut stream = tokio::net::TcpStream::connect(system.gateway(0)).await.expect("a connection");
    let body = vec![b'x'; 8 << 20];
    let head =
        format!("POST /read/x HTTP/1.1\r\nhost: shop.example\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.expect("the head is taken");
    stream.write_all(&body).await.expect("the whole body is taken");
    let mut answer = vec![0; 64];
    let length = stream.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[tokio::test]
async fn a_machine_is_told_empty_once_another_store_holds_the_log_in_its_place() {
    let mut system = System::start(2, 3).await;
    system.submit(0, "job", 4, 1).await;
    let results = system.results(0, "job").await;
    system.platform.put(objects::RETIREMENTS, "store-0", json!({"duration_s": 10}));
    let is_complete = |system: &System| {
        let object = system.platform.get(objects::RETIREMENTS, "store-0").expect("the retirement");
        objects::is_retirement_complete(&object.status)
    };
    assert!(!is_complete(&system), "nobody can take its place yet");
    system.folders.push(TempDir::new().expect("a folder"));
    system.start_store(STORES).await;
    until(|| is_complete(&system)).await;
    let emptied = system.stores[0].take().expect("the emptied store");
    emptied.kill();
    emptied.stopped().await;
    system.submit(1, "after", 2, 1).await;
    assert_eq!(system.results(1, "job").await, results);
    assert_eq!(system.results(0, "after").await.len(), 2);
}

#[tokio::test]
async fn a_caller_that_leaves_is_followed_to_the_replica() {
    let system = System::start(1, 100_000).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let request = system.request(0, Method::POST, "/stream/x", &[("attempt-id", "s-1")], Bytes::from("x"));
    let response = system.http.send(system.gateway(0), request, Instant::now() + PATIENCE).await;
    let mut body = response.expect("an answer").into_body();
    body.frame().await.expect("an event").expect("a whole event");
    drop(body);
    until(|| system.replicas[0].abandoned_streams() > 0).await;
    assert_eq!(
        system.replicas[0].seen().iter().filter(|seen| seen.id == "s-1").count(),
        1,
        "it is not sent again"
    );
}
