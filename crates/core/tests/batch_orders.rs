//! Orders of successive holders: which replicas wait for a lease, and when an order is sent.

mod batch_support;

use std::collections::BTreeMap;

use batch_support::{MODEL, OwnerHarness, at, lease_of, replica, table};
use lichenpulley_core::batch::controller::ControllerConfig;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::weights::LoadEnd;
use lichenpulley_core::ingress::replicas::ReplicaRecord;

fn replicas() -> Vec<ReplicaRecord> {
    ["a", "b", "c", "d"].map(|id| replica(id, 1)).to_vec()
}

fn owner(holder: &str, ledger: Ledger) -> OwnerHarness {
    OwnerHarness::with_lease(lease_of(holder), ControllerConfig::default(), ledger, false, &replicas())
}

/// Announces a version and commits the orders to load it.
fn announce_version(harness: &mut OwnerHarness, from: u64) {
    let announced = BTreeMap::from([(MODEL.to_owned(), 2)]);
    harness.controller.update(at(from), None, &table(&replicas()), &announced);
    harness.controller.tick(at(from + 400));
    harness.commit_appends(at(from + 400));
}

#[test]
fn an_order_is_sent_only_after_its_record_is_committed() {
    let mut harness = owner("node-1", Ledger::default());
    let announced = BTreeMap::from([(MODEL.to_owned(), 2)]);
    harness.controller.update(at(0), None, &table(&replicas()), &announced);
    harness.controller.tick(at(400));
    harness.drain_actions();
    assert!(harness.loads.is_empty());
    harness.commit_appends(at(405));
    assert_eq!(harness.loads.len(), 2);
}

#[test]
fn a_new_holder_orders_replicas_without_a_lease_at_once() {
    let mut first = owner("node-1", Ledger::default());
    announce_version(&mut first, 0);
    let ordered: Vec<String> = first.loads.iter().map(|(replica, _)| replica.clone()).collect();
    assert_eq!(ordered.len(), 2);
    let mut next = owner("node-2", first.ledger_of_records());
    announce_version(&mut next, 0);
    let orders: Vec<&String> = next.loads.iter().map(|(replica, _)| replica).collect();
    assert_eq!(orders.len(), 2, "two replicas are not leased");
    assert!(orders.iter().all(|replica| !ordered.contains(replica)), "{orders:?} after {ordered:?}");
}

#[test]
fn a_new_holder_waits_for_the_lease_of_recently_ordered_replicas() {
    let mut first = owner("node-1", Ledger::default());
    announce_version(&mut first, 0);
    let ordered: Vec<String> = first.loads.iter().map(|(replica, _)| replica.clone()).collect();
    let mut next = owner("node-2", first.ledger_of_records());
    announce_version(&mut next, 0);
    for (replica, version) in next.loads.clone() {
        let versions = BTreeMap::from([(MODEL.to_owned(), version)]);
        next.controller.load_ended(at(500), &replica, &LoadEnd { versions, time: None });
    }
    next.commit_appends(at(500));
    assert_eq!(next.loads.len(), 2, "the other two are still leased");
    next.controller.tick(at(2_900));
    next.commit_appends(at(2_900));
    assert_eq!(next.loads.len(), 2);
    next.controller.tick(at(3_100));
    next.commit_appends(at(3_100));
    assert_eq!(next.loads.len(), 4);
    assert!(next.loads[2..].iter().all(|(replica, _)| ordered.contains(replica)));
}

#[test]
fn a_returning_holder_does_not_wait_for_its_own_orders() {
    let mut first = owner("node-1", Ledger::default());
    announce_version(&mut first, 0);
    let mut again = owner("node-1", first.ledger_of_records());
    announce_version(&mut again, 0);
    assert_eq!(again.loads.len(), 2);
    assert_eq!(again.loads, first.loads);
}

#[test]
fn a_snapshot_preserves_the_last_orders() {
    let mut first = owner("node-1", Ledger::default());
    announce_version(&mut first, 0);
    let bytes = first.controller.ledger().to_snapshot().expect("a snapshot");
    let ledger = Ledger::recover(Some(&bytes), &[]).expect("a ledger");
    assert_eq!(&ledger, first.controller.ledger());
    assert!(ledger.last_order(&first.loads[0].0).is_some());
}
