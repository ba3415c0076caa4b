//! Entries of replicas in the platform's store: those of other writers, and those of replicas that started again under their id.

use std::collections::BTreeSet;

use hyper::{Method, StatusCode};
use lichenpulley_lab::metadata_store::UNREADABLE_PLACEHOLDER;
use lichenpulley_platform::objects;
use serde_json::{Value, json};

use crate::platform_system::{System, until};

/// Names and entries that no replica wrote.
fn foreign_entries() -> Vec<(&'static str, Value)> {
    let entry = |field: &str, value: Value| {
        let mut entry = json!({"service": "engines", "address": "127.0.0.1:9", "zone": "kajang", "version": "v1",
            "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1});
        entry[field] = value;
        entry
    };
    vec![
        ("a-fields-missing", json!({"service": "engines"})),
        ("a-null", Value::Null),
        ("b-other-type", entry("slots", json!("four"))),
        ("b-no-whole-number", entry("born", json!(1.5))),
        ("c-unknown-state", entry("state", json!("resting"))),
        ("c-unreadable", entry("zone", json!(UNREADABLE_PLACEHOLDER))),
        ("z-unreadable-whole", json!(UNREADABLE_PLACEHOLDER)),
    ]
}

/// The ids under which a gateway knows replicas of a service.
fn known(system: &System, gateway: usize, service: &str) -> BTreeSet<String> {
    let node = system.gateways[gateway].as_ref().expect("a gateway");
    let table = node.context().metadata.replicas.load_full();
    let of_service = table.records.values().filter(|record| record.service == service);
    of_service.map(|record| record.name.clone()).collect()
}

fn replicas() -> BTreeSet<String> {
    BTreeSet::from(["replica-0".to_owned(), "replica-1".to_owned()])
}

#[tokio::test]
async fn entries_of_other_writers_name_no_replica_and_the_others_hold() {
    let mut system = System::start(2, 3).await;
    system.platform.set_unreadable_bytes(b"\"\xff\xfe\"");
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    // Heard by a watch.
    for (name, entry) in foreign_entries() {
        system.platform.put(objects::REPLICAS, name, entry);
    }
    // The last entry is another service's, which is known by then.
    let mut other = system.replicas[0].record("nobody", "kajang");
    other["address"] = json!("127.0.0.1:9");
    system.platform.put(objects::REPLICAS, "z-other-service", other);
    until(|| known(&system, 0, "nobody").len() == 1).await;
    assert_eq!(known(&system, 0, "engines"), replicas());
    // Read in a list, by a node that starts.
    system.gateways[1].take().expect("a gateway").kill();
    system.start_gateway(1).await;
    let last = system.gateways.len() - 1;
    system.call_until(StatusCode::OK, last, "/read/warm").await;
    until(|| known(&system, last, "engines") == replicas()).await;
    for gateway in [0, last] {
        let answer = system.call(gateway, Method::GET, "/read/x", &[("attempt-id", "a")], "").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn an_entry_that_another_writer_replaced_names_its_replica_no_more_until_it_writes_again() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let own = system.platform.get(objects::REPLICAS, "replica-0").expect("an entry").spec;
    system.platform.put(objects::REPLICAS, "replica-0", json!({"service": "engines"}));
    until(|| known(&system, 0, "engines") == BTreeSet::from(["replica-1".to_owned()])).await;
    system.platform.put(objects::REPLICAS, "replica-0", own);
    until(|| known(&system, 0, "engines") == replicas()).await;
}

#[tokio::test]
async fn a_replica_that_started_again_under_its_id_is_ordered_anew() {
    let mut system = System::start(1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.submit(0, "job", 1, 1).await;
    system.platform.put(objects::VERSIONS, "pricing", json!({"model": "pricing", "version": 2}));
    until(|| system.replicas[0].orders().len() == 1).await;
    system.replicas[0].end();
    system.restart_replica(0).await;
    // It counts orders anew, and has the version with which it starts.
    until(|| system.replicas[0].orders().iter().any(|order| order.version == 2 && order.expect_rev == 0))
        .await;
    system.submit(0, "later", 2, 2).await;
    assert_eq!(system.results(0, "later").await.len(), 2);
}

#[tokio::test]
async fn items_that_ran_where_a_replica_started_again_under_its_id_run_to_their_end() {
    let mut system = System::start(1, 200).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.submit(0, "job", 2, 1).await;
    until(|| system.replicas[0].seen().len() >= 2).await;
    system.replicas[0].end();
    system.restart_replica(0).await;
    assert_eq!(system.results(0, "job").await.len(), 2);
}
