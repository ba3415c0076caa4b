//! Orders of one holder after another: which replicas wait for the lease, and what an order waits for.

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

/// Names a version and lets its orders be kept, a while after.
fn name_version(bench: &mut OwnerHarness, from: u64) {
    let named = BTreeMap::from([(MODEL.to_owned(), 2)]);
    bench.controller.update(at(from), None, &table(&replicas()), &named);
    bench.controller.tick(at(from + 400));
    bench.commit_appends(at(from + 400));
}

#[test]
fn an_order_leaves_only_after_it_is_kept_that_it_was_given() {
    let mut bench = owner("node-1", Ledger::default());
    let named = BTreeMap::from([(MODEL.to_owned(), 2)]);
    bench.controller.update(at(0), None, &table(&replicas()), &named);
    bench.controller.tick(at(400));
    bench.drain_actions();
    assert!(bench.loads.is_empty());
    bench.commit_appends(at(405));
    assert_eq!(bench.loads.len(), 2);
}

#[test]
fn a_new_holder_orders_at_once_what_the_one_before_did_not_order_lately() {
    let mut first = owner("node-1", Ledger::default());
    name_version(&mut first, 0);
    let ordered: Vec<String> = first.loads.iter().map(|(replica, _)| replica.clone()).collect();
    assert_eq!(ordered.len(), 2);
    let mut next = owner("node-2", first.ledger_of_records());
    name_version(&mut next, 0);
    let orders: Vec<&String> = next.loads.iter().map(|(replica, _)| replica).collect();
    assert_eq!(orders.len(), 2, "two replicas are free of any lease");
    assert!(orders.iter().all(|replica| !ordered.contains(replica)), "{orders:?} after {ordered:?}");
}

#[test]
fn a_new_holder_waits_for_the_lease_of_each_replica_that_was_ordered_lately() {
    let mut first = owner("node-1", Ledger::default());
    name_version(&mut first, 0);
    let ordered: Vec<String> = first.loads.iter().map(|(replica, _)| replica.clone()).collect();
    let mut next = owner("node-2", first.ledger_of_records());
    name_version(&mut next, 0);
    for (replica, version) in next.loads.clone() {
        let versions = BTreeMap::from([(MODEL.to_owned(), version)]);
        next.controller.load_ended(at(500), &replica, &LoadEnd { versions, time: None });
    }
    next.commit_appends(at(500));
    assert_eq!(next.loads.len(), 2, "the other two are still under the lease");
    next.controller.tick(at(2_900));
    next.commit_appends(at(2_900));
    assert_eq!(next.loads.len(), 2);
    next.controller.tick(at(3_100));
    next.commit_appends(at(3_100));
    assert_eq!(next.loads.len(), 4);
    assert!(next.loads[2..].iter().all(|(replica, _)| ordered.contains(replica)));
}

#[test]
fn a_holder_that_comes_back_need_not_wait_for_its_own_orders() {
    let mut first = owner("node-1", Ledger::default());
    name_version(&mut first, 0);
    let mut again = owner("node-1", first.ledger_of_records());
    name_version(&mut again, 0);
    assert_eq!(again.loads.len(), 2);
    assert_eq!(again.loads, first.loads);
}

#[test]
fn a_snapshot_keeps_who_ordered_what() {
    let mut first = owner("node-1", Ledger::default());
    name_version(&mut first, 0);
    let bytes = first.controller.ledger().to_snapshot().expect("a snapshot");
    let ledger = Ledger::recover(Some(&bytes), &[]).expect("a ledger");
    assert_eq!(&ledger, first.controller.ledger());
    assert!(ledger.last_order(&first.loads[0].0).is_some());
}
