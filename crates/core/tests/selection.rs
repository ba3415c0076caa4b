//! Tests of the selection of a replica: the order of the rules, and the reason if there is none.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::{NodeId, RegionName};
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::chooser::ReplicaFeedback;
use lichenpulley_core::ingress::places::{AllowedRegions, ZoneMap};
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{ColdBounds, Limits, RouteTable, Service};
use lichenpulley_core::ingress::selection::{
    NoCandidate, ReplicaSelector, SelectedReplica, SelectionQuery, StayReason,
};
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::WarmupTracker;
use lichenpulley_core::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(10_000);
/// Cold time of the replicas.
const COLD_TIME: Duration = Duration::from_secs(8);

fn replica(id: &str, zone: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "a".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 4,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}

fn cold(id: &str, zone: &str, left: Duration) -> ReplicaRecord {
    ReplicaRecord { cold_left: left, ..replica(id, zone) }
}

fn table(records: Vec<ReplicaRecord>) -> ReplicaTable {
    ReplicaTable::new(records)
}

/// Maps zone `east` to region `e` and zone `west` to region `w`.
fn zones() -> ZoneMap {
    let zone = |zone: &str, region: &str| (zone.to_owned(), RegionName::new(region));
    ZoneMap::new(BTreeMap::from([zone("east", "e"), zone("west", "w")]))
}

fn evacuated(names: &[&str]) -> Option<Arc<EvacuatedZones>> {
    let zones: BTreeSet<String> = names.iter().map(|name| (*name).to_owned()).collect();
    Some(Arc::new(EvacuatedZones { zones }))
}

/// Returns the selector of the only gateway, with cold bounds for service `a`.
fn selector() -> ReplicaSelector {
    let service = Service {
        slots: 4,
        memory_tokens: None,
        models: Vec::new(),
        scaling: None,
        cold: Some(ColdBounds { per_second: 10.0, duration: COLD_TIME }),
        health_path: None,
    };
    let limits =
        Limits { header_bytes: 1, body_bytes: 1, header_timeout: COLD_TIME, idle_timeout: COLD_TIME };
    let services = BTreeMap::from([("a".to_owned(), service)]);
    let routes = RouteTable { version: 1, routes: Vec::new(), services, limits, tenants: None };
    let order = GatewayOrder::new(NodeId::new("gateway"), Timestamp::ORIGIN);
    let mut warmups = WarmupTracker::for_gateway(order, Timestamp::ORIGIN);
    warmups.set_routes(&routes);
    ReplicaSelector::new(warmups)
}

/// Selects a replica in any region, with these zones evacuated and no replica tried.
fn select(
    selector: &mut ReplicaSelector,
    table: &ReplicaTable,
    zones_evacuated: &[&str],
) -> Result<SelectedReplica, NoCandidate> {
    select_for(selector, table, zones_evacuated, &AllowedRegions::all(), &[])
}

fn select_for(
    selector: &mut ReplicaSelector,
    table: &ReplicaTable,
    zones_evacuated: &[&str],
    regions: &AllowedRegions,
    tried: &[String],
) -> Result<SelectedReplica, NoCandidate> {
    let zones = zones();
    let query = SelectionQuery { service: "a", regions, zones: &zones, tried, is_quarantined: false };
    selector.select(&query, Some(table), evacuated(zones_evacuated), NOW, 0)
}

fn only(region: &str) -> AllowedRegions {
    AllowedRegions::of([RegionName::new(region)])
}

fn id(selected: &Result<SelectedReplica, NoCandidate>) -> Option<&str> {
    selected.as_ref().ok().map(|selected| selected.record.id.as_str())
}

#[test]
fn a_quarantined_request_gets_no_replica() {
    let (zones, regions) = (zones(), AllowedRegions::all());
    let query =
        SelectionQuery { service: "a", regions: &regions, zones: &zones, tried: &[], is_quarantined: true };
    let table = table(vec![replica("east", "east")]);
    for known in [None, evacuated(&[])] {
        let selected = selector().select(&query, Some(&table), known, NOW, 0);
        assert_eq!(selected, Err(NoCandidate::Quarantined));
    }
}

#[test]
fn nothing_is_sent_before_the_evacuated_zones_are_known() {
    let (zones, regions) = (zones(), AllowedRegions::all());
    let query =
        SelectionQuery { service: "a", regions: &regions, zones: &zones, tried: &[], is_quarantined: false };
    let table = table(vec![replica("east", "east")]);
    let mut selector = selector();
    let table = Some(&table);
    assert_eq!(selector.select(&query, table, None, NOW, 0), Err(NoCandidate::EvacuationsUnknown));
    assert_eq!(id(&selector.select(&query, table, evacuated(&[]), NOW, 0)), Some("east"));
}

/// Guards against a refusal that states that no replica is listed while the list has not been read.
#[test]
fn an_unread_list_of_replicas_is_told_apart_from_an_empty_one() {
    let (zones, regions) = (zones(), AllowedRegions::all());
    let query =
        SelectionQuery { service: "a", regions: &regions, zones: &zones, tried: &[], is_quarantined: false };
    let mut selector = selector();
    let selected = selector.select(&query, None, evacuated(&[]), NOW, 0);
    assert_eq!(selected, Err(NoCandidate::ReplicasUnknown));
    let selected = selector.select(&query, Some(&table(Vec::new())), evacuated(&[]), NOW, 0);
    assert_eq!(selected, Err(NoCandidate::NoReplica));
}

#[test]
fn candidates_serve_the_service_and_are_neither_draining_nor_tried() {
    let mut other = replica("other", "east");
    other.service = "b".to_owned();
    let mut draining = replica("draining", "east");
    draining.is_draining = true;
    let table = table(vec![other, draining, replica("tried", "east"), replica("good", "west")]);
    let (mut selector, all) = (selector(), AllowedRegions::all());
    let mut tried = vec!["tried".to_owned()];
    assert_eq!(id(&select_for(&mut selector, &table, &[], &all, &tried)), Some("good"));
    tried.push("good".to_owned());
    let selected = select_for(&mut selector, &table, &[], &all, &tried);
    assert_eq!(selected, Err(NoCandidate::NoReplica));
}

#[test]
fn candidates_are_in_allowed_regions_and_the_reason_distinguishes_none_from_all_tried() {
    let table = table(vec![replica("east", "east"), replica("nowhere", "unlisted")]);
    let mut selector = selector();
    assert_eq!(id(&select_for(&mut selector, &table, &[], &only("e"), &[])), Some("east"));
    let selected = select_for(&mut selector, &table, &[], &only("w"), &[]);
    assert_eq!(selected, Err(NoCandidate::OutsideRegions));
    let selected = select_for(&mut selector, &table, &[], &only("e"), &["east".to_owned()]);
    assert_eq!(selected, Err(NoCandidate::NoReplica), "a replica is in the region");
}

#[test]
fn a_replica_in_an_evacuated_zone_is_never_selected() {
    let table = table(vec![replica("east", "east"), replica("west", "west")]);
    let mut selector = selector();
    for _ in 0..8 {
        assert_eq!(id(&select(&mut selector, &table, &["east"])), Some("west"), "regardless of its load");
    }
    assert_eq!(select(&mut selector, &table, &["east", "west"]), Err(NoCandidate::Evacuated));
}

#[test]
fn the_cold_replica_that_opens_first_determines_the_time_and_outranks_evacuation() {
    let (soon, late) = (Duration::from_secs(2), Duration::from_secs(5));
    let table = table(vec![cold("late", "east", late), cold("soon", "east", soon), replica("west", "west")]);
    let mut selector = selector();
    assert_eq!(id(&select(&mut selector, &table, &[])), Some("west"), "the warm replica");
    assert_eq!(select(&mut selector, &table, &["west"]), Err(NoCandidate::Warming(soon)));
}

#[test]
fn a_request_counts_at_its_replica_until_it_ends() {
    let table = table(vec![replica("left", "east"), replica("right", "east")]);
    let mut selector = selector();
    let first = select(&mut selector, &table, &[]).expect("a replica").record.id;
    let second = select(&mut selector, &table, &[]).expect("a replica").record.id;
    assert_ne!(first, second, "the idle replica is expected to answer sooner");
    selector.record_end(&first, ReplicaFeedback::Abandoned, NOW);
    assert_eq!(id(&select(&mut selector, &table, &[])), Some(first.as_str()));
}

#[test]
fn a_cold_replica_is_selected_at_most_once_per_interval_of_the_share() {
    let mut selector = selector();
    let records = vec![cold("cold", "east", COLD_TIME)];
    let order = selector.gate_mut().warmups_mut().order_mut().expect("a gateway's order");
    for at in [Timestamp::ORIGIN, Timestamp::from_millis(6_000)] {
        order.observe([&NodeId::new("gateway")].into_iter(), true, at);
    }
    selector.gate_mut().warmups_mut().set_replicas(records.iter(), NOW);
    let table = table(records);
    let selected = select(&mut selector, &table, &[]).expect("a replica");
    assert!(selected.is_cold);
    // Ten requests per second for up to ten gateways: one each per window of 1.3 s.
    let again = select(&mut selector, &table, &[]);
    assert_eq!(again, Err(NoCandidate::Warming(Duration::from_millis(1_300))));
}

/// Selects an alternative to the replica `current`, at which the request waits.
fn select_alternative_to(
    selector: &mut ReplicaSelector,
    table: &ReplicaTable,
    current: &SelectedReplica,
    zones_evacuated: &[&str],
) -> Result<SelectedReplica, StayReason> {
    let (zones, regions, tried) = (zones(), AllowedRegions::all(), [current.record.id.clone()]);
    let query = SelectionQuery {
        service: "a",
        regions: &regions,
        zones: &zones,
        tried: &tried,
        is_quarantined: false,
    };
    selector.select_alternative(&query, current.is_cold, Some(table), evacuated(zones_evacuated), NOW, 0)
}

#[test]
fn a_request_moves_to_another_admitted_replica_and_counts_there() {
    let table = table(vec![replica("left", "east"), replica("right", "east"), replica("third", "east")]);
    let mut selector = selector();
    let first = select(&mut selector, &table, &[]).expect("a replica");
    let second = select_alternative_to(&mut selector, &table, &first, &[]).expect("another");
    assert_ne!(first.record.id, second.record.id);
    let third = select(&mut selector, &table, &[]).expect("the idle one").record.id;
    assert!(
        third != first.record.id && third != second.record.id,
        "the request counts at both replicas until it ends there"
    );
}

#[test]
fn a_request_stays_if_there_is_no_other_candidate() {
    let table = table(vec![replica("east", "east"), cold("cold", "west", COLD_TIME)]);
    let mut selector = selector();
    let first = select(&mut selector, &table, &["west"]).expect("a replica");
    let stays = |reason| Err(StayReason::NoCandidate(reason));
    let selected = select_alternative_to(&mut selector, &table, &first, &["west"]);
    assert_eq!(selected, stays(NoCandidate::Evacuated));
    let selected = select_alternative_to(&mut selector, &table, &first, &[]);
    assert_eq!(selected, stays(NoCandidate::Warming(COLD_TIME)));
    let alone = table_with_only(&first);
    assert_eq!(select_alternative_to(&mut selector, &alone, &first, &[]), stays(NoCandidate::NoReplica));
}

/// Returns a table that contains only this replica.
fn table_with_only(selected: &SelectedReplica) -> ReplicaTable {
    table(vec![selected.record.clone()])
}

#[test]
fn a_request_stays_if_the_other_replicas_are_suspected_or_full() {
    let table = table(vec![replica("left", "east"), replica("right", "east")]);
    for feedback in [ReplicaFeedback::NoAnswer, ReplicaFeedback::Full] {
        let mut selector = selector();
        let other = select(&mut selector, &table, &[]).expect("a replica");
        selector.record_end(&other.record.id, feedback, NOW);
        let first = select(&mut selector, &table, &[]).expect("the other one");
        assert_ne!(first.record.id, other.record.id);
        let selected = select_alternative_to(&mut selector, &table, &first, &[]);
        assert_eq!(selected, Err(StayReason::NoneBetter), "{feedback:?}");
    }
}

#[test]
fn a_request_moves_from_a_cold_replica_only_to_a_warm_one() {
    let mut selector = selector();
    let order = selector.gate_mut().warmups_mut().order_mut().expect("a gateway's order");
    for at in [Timestamp::ORIGIN, Timestamp::from_millis(6_000)] {
        order.observe([&NodeId::new("gateway")].into_iter(), true, at);
    }
    let records = vec![cold("first", "east", COLD_TIME), cold("second", "east", COLD_TIME)];
    selector.gate_mut().warmups_mut().set_replicas(records.iter(), NOW);
    let cold_table = table(records.clone());
    let first = select(&mut selector, &cold_table, &[]).expect("a replica");
    assert!(first.is_cold);
    let selected = select_alternative_to(&mut selector, &cold_table, &first, &[]);
    assert_eq!(selected, Err(StayReason::NoneBetter));
    let warm = [records, vec![replica("warm", "west")]].concat();
    let selected = select_alternative_to(&mut selector, &table(warm), &first, &[]).expect("the warm replica");
    assert_eq!(selected.record.id, "warm");
}

/// Guards against sending further requests to an unresponsive replica at which a request stays because all others are
/// suspected.
#[test]
fn a_replica_with_a_late_request_ranks_last_until_it_answers() {
    let table = table(vec![replica("left", "east"), replica("right", "east")]);
    let mut selector = selector();
    let other = select(&mut selector, &table, &[]).expect("a replica").record.id;
    let unresponsive = select(&mut selector, &table, &[]).expect("the other one").record.id;
    selector.record_end(&other, ReplicaFeedback::Answered(Duration::from_millis(90)), NOW);
    selector.mark_late(&unresponsive, NOW);
    assert_eq!(id(&select(&mut selector, &table, &[])), Some(other.as_str()), "despite its higher latency");
    selector.record_end(&unresponsive, ReplicaFeedback::Answered(Duration::from_millis(5)), NOW);
    assert_eq!(id(&select(&mut selector, &table, &[])), Some(unresponsive.as_str()));
}
