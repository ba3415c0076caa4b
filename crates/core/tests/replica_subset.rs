//! Tests of how the replicas are divided among the gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::replica_subset::SubsetLayout;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};

const ZONES: [&str; 3] = ["north", "east", "south"];

fn replica(service: &str, number: usize) -> ReplicaRecord {
    let name = format!("{service}-{number}");
    ReplicaRecord {
        id: name.clone(),
        name,
        service: service.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 6,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}

fn table(engines: usize, plain: usize) -> ReplicaTable {
    let engines = (0..engines).map(|number| replica("engines", number));
    ReplicaTable::new(engines.chain((0..plain).map(|number| replica("plain", number))))
}

fn gateway(number: usize) -> NodeId {
    NodeId::new(format!("gateway-{number}"))
}

fn subset<'a>(layout: &SubsetLayout, table: &'a ReplicaTable, number: usize) -> Vec<&'a ReplicaRecord> {
    let records = table.records.values().map(|record| &**record);
    records.filter(|record| layout.includes(&gateway(number), record)).collect()
}

#[test]
fn a_small_deployment_is_not_divided() {
    for (table, gateways) in [(table(90, 12), 800), (table(9_000, 400), 15)] {
        let layout = SubsetLayout::new(&table, gateways);
        assert_eq!(layout.id(), None);
        assert_eq!(subset(&layout, &table, 3).len(), table.records.len());
    }
}

/// What a gateway holds must not grow with the deployment, if gateways and replicas grow alike.
#[test]
fn the_subset_of_a_gateway_does_not_grow_with_the_deployment() {
    for scale in [1, 2, 4] {
        let (table, gateways) = (table(9_600 * scale, 480 * scale), 800 * scale);
        let layout = SubsetLayout::new(&table, gateways);
        assert!(layout.id().is_some());
        let sizes = (0..40).map(|number| subset(&layout, &table, number).len());
        let largest = sizes.max().unwrap_or_default();
        assert!(largest <= 500, "{largest} replicas at {scale} times the size");
    }
}

#[test]
fn each_gateway_has_replicas_of_each_service_in_each_zone() {
    let table = table(9_600, 480);
    let layout = SubsetLayout::new(&table, 800);
    for number in 0..200 {
        let subset = subset(&layout, &table, number);
        for (service, zone) in
            ["engines", "plain"].iter().flat_map(|service| ZONES.map(|zone| (service, zone)))
        {
            let found = subset.iter().filter(|record| record.service == **service && record.zone == zone);
            assert!(found.count() >= 8, "gateway {number} has too few replicas of {service} in {zone}");
        }
    }
}

#[test]
fn each_replica_is_used_by_several_gateways() {
    let table = table(9_600, 480);
    let layout = SubsetLayout::new(&table, 800);
    for record in table.records.values() {
        let users = (0..800).filter(|number| layout.includes(&gateway(*number), record)).count();
        assert!(users >= 2, "{} is used by {users} gateways", record.id);
    }
}

/// The layout changes only when a count passes a power of two, so that most changes of the replicas reach a gateway as
/// an update of its subset.
#[test]
fn a_few_replicas_more_or_less_do_not_change_the_layout() {
    let whole = SubsetLayout::new(&table(9_600, 480), 800);
    for lost in [1, 7, 30, 59] {
        let reduced = SubsetLayout::new(&table(9_600 - lost, 480), 800);
        assert_eq!(whole.id(), reduced.id(), "{lost} replicas are lost");
    }
}
