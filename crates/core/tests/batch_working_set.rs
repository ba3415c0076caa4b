//! Tests of an owner of batch jobs whose service has many more replicas than its jobs need.

mod batch_support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use batch_support::{MODEL, OwnerHarness, at, job, replica, routes, table};
use lichenpulley_core::batch::controller::{ControllerConfig, RunEnd};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::weights::LoadEnd;
use lichenpulley_core::identity::{RegionName, ZoneName};
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::places::{AllowedRegions, ZoneMap};
use lichenpulley_core::ingress::replicas::ReplicaRecord;

/// Replicas of the service, with two slots each.
const REPLICAS: usize = 5_000;
/// Items of a job. They need 300 replicas with a reserve of as many slots again.
const ITEMS: usize = 300;

fn fleet(version: u64) -> Vec<ReplicaRecord> {
    (0..REPLICAS).map(|number| replica(&format!("r{number:04}"), version)).collect()
}

fn versions(version: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([(MODEL.to_owned(), version)])
}

fn used_replicas(harness: &OwnerHarness) -> BTreeSet<String> {
    harness.started.iter().map(|start| start.replica.id.clone()).collect()
}

#[test]
fn all_items_of_a_job_start_at_once_on_few_of_the_replicas() {
    let mut harness = OwnerHarness::new(Ledger::default(), false, &fleet(1));
    harness.submit(at(0), job("j", ITEMS, 1));
    assert_eq!(harness.started.len(), ITEMS);
    let used = used_replicas(&harness).len();
    assert!((ITEMS / 2..=ITEMS).contains(&used), "{used} replicas are used");
}

/// A version is loaded where items need it. Loading it on every replica would take the whole service longer than
/// trainers take to the next version.
#[test]
fn a_version_is_loaded_on_as_many_replicas_as_the_items_need() {
    let records = fleet(1);
    let mut harness = OwnerHarness::new(Ledger::default(), false, &records);
    harness.submit(at(0), job("j", ITEMS, 1));
    let list = table(&records);
    harness.controller.update(at(100), Some(routes(false)), &list, &versions(2));
    let mut loaded = BTreeSet::new();
    for tick in 0..100 {
        let now = at(400 + tick * 50);
        harness.controller.tick(now);
        harness.commit_appends(now);
        harness.drain_actions();
        for (replica, _) in std::mem::take(&mut harness.loads) {
            let end = LoadEnd { versions: versions(2), time: None };
            harness.controller.load_ended(now, &replica, &end);
            loaded.insert(replica);
        }
    }
    assert!((ITEMS / 2..=ITEMS + 1).contains(&loaded.len()), "{} replicas loaded the version", loaded.len());
}

/// While its replicas load a new version, a model keeps replicas for items that begin meanwhile.
#[test]
fn half_of_the_replicas_in_use_stay_free_of_loads() {
    let records = fleet(1);
    let mut harness = OwnerHarness::new(Ledger::default(), false, &records);
    harness.submit(at(0), job("j", ITEMS, 1));
    harness.controller.update(at(100), Some(routes(false)), &table(&records), &versions(2));
    for now in [at(500), at(550), at(600)] {
        harness.controller.tick(now);
        harness.commit_appends(now);
        harness.drain_actions();
    }
    let loading = harness.loads.len();
    assert!(loading <= ITEMS / 2 + 1, "{loading} replicas load at once");
    let runs: Vec<_> = harness.started.iter().map(|start| start.run).collect();
    for run in runs {
        harness.event(at(650), run, 0, 1);
        harness.end(at(700), run, RunEnd::Complete);
    }
    harness.submit(at(800), job("k", ITEMS / 2, 1));
    let waiting = harness.controller.item_counts().1;
    assert_eq!(waiting, 0, "items wait although half of the replicas don't load");
}

/// The next owner finds the newest versions where the one before loaded them.
#[test]
fn the_next_owner_works_with_the_same_replicas() {
    let mut first = OwnerHarness::new(Ledger::default(), false, &fleet(1));
    first.submit(at(0), job("j", ITEMS, 1));
    let mut second = OwnerHarness::new(first.ledger_of_records(), false, &fleet(1));
    second.controller.tick(at(50));
    second.drain_actions();
    let (before, after) = (used_replicas(&first), used_replicas(&second));
    let common = before.intersection(&after).count();
    assert!(common * 10 >= before.len() * 9, "{common} of {} replicas are the same", before.len());
}

#[test]
fn lost_replicas_are_replaced_by_others() {
    let records = fleet(1);
    let mut harness = OwnerHarness::new(Ledger::default(), false, &records);
    harness.submit(at(0), job("j", ITEMS, 1));
    let lost = used_replicas(&harness);
    let rest: Vec<ReplicaRecord> = records.into_iter().filter(|record| !lost.contains(&record.id)).collect();
    harness.controller.update(at(100), Some(routes(false)), &table(&rest), &versions(1));
    let runs: Vec<_> = harness.started.iter().map(|start| start.run).collect();
    for run in runs {
        harness.end(at(200), run, RunEnd::Broken);
    }
    let again = &harness.started[ITEMS..];
    assert_eq!(again.len(), ITEMS, "every item runs again");
    assert!(again.iter().all(|start| !lost.contains(&start.replica.id)));
}

#[test]
fn replicas_of_evacuated_zones_are_replaced_by_others() {
    let mut records = fleet(1);
    for (number, record) in records.iter_mut().enumerate() {
        record.zone = if number % 2 == 0 { "kajang".to_owned() } else { "klang".to_owned() };
    }
    let mut harness = OwnerHarness::new(Ledger::default(), false, &records);
    let zones = BTreeSet::from([ZoneName::new("kajang").to_string()]);
    harness.controller.set_evacuated(at(10), Arc::new(EvacuatedZones { zones }));
    harness.submit(at(20), job("j", ITEMS, 1));
    assert_eq!(harness.started.len(), ITEMS);
    assert!(harness.started.iter().all(|start| start.replica.zone == "klang"));
}

/// The owner of a shard that is bound to a region would otherwise choose most of its replicas elsewhere.
#[test]
fn a_regional_owner_works_with_replicas_of_its_region() {
    let mut records = fleet(1);
    for (number, record) in records.iter_mut().enumerate() {
        record.zone = if number % 10 == 0 { "kajang".to_owned() } else { "klang".to_owned() };
    }
    let zones = [("kajang", "south"), ("klang", "north")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), RegionName::new(region)));
    let zones = ZoneMap::new(zones.into_iter().collect());
    let regions = AllowedRegions::of([RegionName::new("south")]);
    let config = ControllerConfig { zones, regions, ..ControllerConfig::default() };
    let mut harness = OwnerHarness::with_config(config, Ledger::default(), false, &records);
    harness.submit(at(0), job("j", ITEMS, 1));
    assert_eq!(harness.started.len(), ITEMS, "every item starts at once");
    assert!(harness.started.iter().all(|start| start.replica.zone == "kajang"));
}
