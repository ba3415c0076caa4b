//! What split routes change in the runs of items: the memory of replicas.

mod batch_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use batch_support::{OwnerHarness, at, job, replica, routes, table};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::routes::{RouteTable, WeightedService};

/// Returns routes whose batch route is split between two services with these memories.
fn split_routes(first: u64, second: u64) -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&routes(false));
    table.routes[0].services.push(WeightedService { service: "others".to_owned(), weight: 1 });
    let mut service = table.services["engines"].clone();
    service.memory_tokens = Some(second);
    table.services.insert("others".to_owned(), service);
    table.services.get_mut("engines").expect("the service").memory_tokens = Some(first);
    Arc::new(table)
}

/// The memory of a split route's first service does not apply to replicas of the second one: they would be left idle,
/// or be sent more than they can hold.
#[test]
fn the_memory_of_a_replica_is_that_of_its_own_service() {
    let runs = |first, second| {
        let other = ReplicaRecord { service: "others".to_owned(), ..replica("b", 1) };
        let mut harness = OwnerHarness::new(Ledger::default(), false, std::slice::from_ref(&other));
        let routes = split_routes(first, second);
        harness.controller.update(at(0), Some(routes), &table(&[other]), &BTreeMap::new());
        harness.submit(at(1), job("j", 2, 1));
        harness.started.len()
    };
    assert_eq!(runs(60, 1_000), 2, "both items of 50 tokens fit");
    assert_eq!(runs(1_000, 60), 1, "only one item fits");
}
