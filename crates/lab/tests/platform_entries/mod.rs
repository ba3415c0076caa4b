//! Entries of replicas in the platform's store: those of other writers, and those of replicas that started again under their id.

use std::collections::BTreeSet;

use hyper::{Method, StatusCode};
use lichenpulley_lab::metadata_store::UNREADABLE_PLACEHOLDER;
use lichenpulley_platform::objects;
use lichenpulley_platform::quarantine::QUARANTINE;
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

/// JSON texts that a decoder may refuse: nested too deeply, out of range, or not text.
fn undecodable_values() -> Vec<Vec<u8>> {
    const DEPTH: usize = 20_000;
    let nested = [vec![b'['; DEPTH], vec![b']'; DEPTH]].concat();
    let texts = [
        "1e400",
        "99999999999999999999999",
        "-1",
        "1e18",
        "\"\\ud800\"",
        "\"127.0.0.1:99999\"",
        "{\"a\":1,\"a\":1e400}",
    ];
    let texts = texts.iter().map(|text| text.as_bytes().to_vec());
    texts.chain([nested, b"\"\xff\xfe\"".to_vec()]).collect()
}

/// Writes entries with an undecodable value under names that also need escaping in a path.
fn put_undecodable(system: &System, kind: &str) {
    for name in ["a&x=1", "m odd/#%", "y-\u{e9}?"] {
        system.platform.put(kind, name, json!(UNREADABLE_PLACEHOLDER));
        system.platform.put(kind, name, json!({"service": "engines", "slots": UNREADABLE_PLACEHOLDER}));
        system.platform.set_finalizers(kind, name, vec![UNREADABLE_PLACEHOLDER.to_owned()]);
    }
}

/// Waits until all gateways follow the list: they learn of a new entry, and know the same replicas as before.
async fn follow(system: &System, service: &str) {
    let mut other = system.replicas[0].record(service, "kajang");
    other["address"] = json!("127.0.0.1:9");
    system.platform.put(objects::REPLICAS, &format!("z-{service}"), other);
    for gateway in (0..system.gateways.len()).filter(|gateway| system.gateways[*gateway].is_some()) {
        until(|| known(system, gateway, service).len() == 1).await;
        assert_eq!(known(system, gateway, "engines"), replicas());
    }
}

#[tokio::test]
async fn nodes_follow_the_list_while_an_undecodable_entry_comes_changes_and_goes() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    for (number, value) in undecodable_values().into_iter().enumerate() {
        system.platform.set_unreadable_bytes(&value);
        put_undecodable(&system, objects::REPLICAS);
        follow(&system, &format!("there-{number}")).await;
        for name in ["a&x=1", "m odd/#%", "y-\u{e9}?"] {
            system.platform.remove(objects::REPLICAS, name);
        }
        follow(&system, &format!("gone-{number}")).await;
    }
}

#[tokio::test]
async fn nodes_start_and_list_again_with_undecodable_entries_on_several_pages() {
    let mut system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let values: Vec<Vec<u8>> = undecodable_values();
    system
        .platform
        .set_unreadable_bytes(&[b"[".to_vec(), values.join(b",".as_slice()), b"]".to_vec()].concat());
    put_undecodable(&system, objects::REPLICAS);
    system.platform.set_page_size(1);
    // Every node lists again, since the history is gone.
    system.platform.compact();
    follow(&system, "listed").await;
    system.gateways[1].take().expect("a gateway").kill();
    system.start_gateway(1).await;
    follow(&system, "started").await;
    until(|| system.platform.waiting_watch_count(objects::REPLICAS) > 0).await;
}

#[tokio::test]
async fn undecodable_objects_of_other_kinds_hide_no_others() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    for (number, value) in undecodable_values().into_iter().enumerate() {
        system.platform.set_unreadable_bytes(&value);
        for kind in [objects::VERSIONS, objects::EVACUATIONS, objects::RETIREMENTS, QUARANTINE] {
            put_undecodable(&system, kind);
        }
        let zone = format!("zone-{number}");
        system.platform.put(objects::EVACUATIONS, &zone, objects::evacuation_spec());
        let version = number as u64 + 2;
        system.platform.put(objects::VERSIONS, "model", json!({"model": "model", "version": version}));
        let nodes = || system.gateways.iter().flatten().map(|node| &node.context().metadata);
        until(|| nodes().all(|metadata| metadata.evacuated.load().zones.contains(&zone))).await;
        until(|| nodes().any(|metadata| metadata.versions.load().get("model") == Some(&version))).await;
    }
    until(|| system.platform.waiting_watch_count(objects::RETIREMENTS) > 0).await;
    until(|| system.platform.waiting_watch_count(QUARANTINE) > 0).await;
}

#[tokio::test]
async fn an_entry_with_the_largest_number_of_slots_does_not_stop_the_owner() {
    let system = System::start(2, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let mut entry = system.replicas[0].record("engines", "kajang");
    entry["address"] = json!("127.0.0.1:9");
    entry["slots"] = json!(u32::MAX);
    system.platform.put(objects::REPLICAS, "a-largest", entry);
    until(|| known(&system, 0, "engines").contains("a-largest")).await;
    system.submit(0, "job", 2, 1).await;
    system.platform.remove(objects::REPLICAS, "a-largest");
    assert_eq!(system.results(0, "job").await.len(), 2);
}
