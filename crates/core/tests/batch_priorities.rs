//! What priorities change in the runs of items: urgency and moves.

mod batch_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use batch_support::load::{trainer_job, trainer_routes};
use batch_support::{OwnerHarness, at, replica, table};
use lichenpulley_core::batch::controller::{RunEnd, RunEvent};
use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::routes::{RouteTable, WeightedService};
use lichenpulley_core::ingress::tenants::{Tenant, TenantDirectory};

/// Returns an owner for trainers with these priorities.
fn owner(priorities: &[u32], replicas: &[ReplicaRecord]) -> OwnerHarness {
    let mut harness = OwnerHarness::new(Ledger::default(), false, replicas);
    let routes = trainer_routes(priorities);
    harness.controller.update(at(0), Some(routes), &table(replicas), &BTreeMap::new());
    harness.drain_actions();
    harness
}

fn urgencies(priorities: &[u32]) -> Vec<u8> {
    let replicas: Vec<_> = (0..priorities.len()).map(|number| replica(&format!("r{number}"), 1)).collect();
    let mut harness = owner(priorities, &replicas);
    for trainer in 0..priorities.len() {
        harness.submit(at(0), trainer_job(trainer, &format!("job-{trainer}"), &[vec![100]], 1));
    }
    harness.started.iter().map(|start| start.urgency).collect()
}

#[test]
fn the_urgency_follows_the_levels_and_is_unchanged_without_them() {
    assert_eq!(urgencies(&[3, 3, 3]), [5, 5, 5]);
    assert_eq!(urgencies(&[7, 0, 2]), [6, 4, 5]);
    let many: Vec<u32> = (0..8).collect();
    assert_eq!(urgencies(&many), [4, 5, 6, 7, 8, 9, 9, 9], "9 is the least urgent");
}

/// A tenant's own priority replaces that of the route, also where all routes have the same.
#[test]
fn the_priority_of_a_tenant_replaces_that_of_the_route() {
    let tenant =
        |name: &str, priority| Tenant::new(TenantName::new(name), [name], priority).expect("a tenant");
    let tenants = vec![tenant("first", Some(0)), tenant("second", None), tenant("third", Some(9))];
    let mut routes = RouteTable::clone(&trainer_routes(&[3, 3]));
    routes.tenants = Some(TenantDirectory::new(tenants).expect("a directory"));
    let replicas = [replica("a", 1), replica("b", 1)];
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    harness.controller.update(at(0), Some(Arc::new(routes)), &table(&replicas), &BTreeMap::new());
    harness.drain_actions();
    for name in ["first", "second", "third"] {
        let tenant = Some(TenantName::new(name));
        harness.submit(at(0), BatchJob { tenant, ..trainer_job(0, name, &[vec![100]], 1) });
    }
    let report = harness.controller.queue_report(at(0));
    let trainers = report.services[0].trainers.iter();
    let trainers: Vec<_> =
        trainers.map(|one| (one.priority, one.tenant.as_ref().map_or("", TenantName::as_str))).collect();
    assert_eq!(trainers, [(0, "first"), (3, "second"), (9, "third")]);
    let urgencies: Vec<u8> = harness.started.iter().map(|start| start.urgency).collect();
    assert_eq!(urgencies, [4, 5, 6]);
}

/// Runs an item on a slow and another one on a quick replica, with more items waiting. Ends the quick one, and returns
/// whether the slow one was moved to the slot that this frees.
fn moves(priorities: &[u32], slow_ms: u64, quick_ms: u64, slow_events: u64) -> bool {
    let single = |id| ReplicaRecord { slots: 1, ..replica(id, 1) };
    let harness = owner(priorities, &[single("a"), single("b")]);
    moves_of(harness, slow_ms, quick_ms, slow_events)
}

fn moves_of(mut harness: OwnerHarness, slow_ms: u64, quick_ms: u64, slow_events: u64) -> bool {
    harness.submit(at(0), trainer_job(0, "warm-up", &[vec![1_000]], 1));
    let run = harness.started[0].run;
    harness.event(at(1_000), run, 0, 1);
    harness.end(at(1_000), run, RunEnd::Complete);
    harness.commit_appends(at(1_000));
    harness.submit(at(1_000), trainer_job(0, "first", &[vec![1_000; 2]], 1));
    harness.submit(at(1_000), trainer_job(1, "second", &[vec![2_000; 40]], 1));
    let [slow, quick] = [harness.started[1].run, harness.started[2].run];
    let end_ms = slow_ms * slow_events;
    for now_ms in 1..=end_ms {
        for (run, pause_ms) in [(slow, slow_ms), (quick, quick_ms)] {
            if now_ms.is_multiple_of(pause_ms) {
                harness.event(at(1_000 + now_ms), run, now_ms / pause_ms - 1, 1);
            }
        }
    }
    // The end and the tick are handled together, before waiting items are started.
    let now = at(1_000 + end_ms);
    harness.controller.run_event(now, quick, RunEvent::Ended(RunEnd::Complete));
    harness.controller.tick(now);
    harness.drain_actions();
    harness.stopped.contains(&slow)
}

/// A moved run takes the slot of an item that waits. That only pays off if the replica is much faster.
#[test]
fn under_shortage_a_run_moves_only_to_a_replica_that_is_twice_as_fast() {
    assert!(!moves(&[0, 1], 65, 50, 40));
    assert!(moves(&[0, 1], 200, 50, 12));
    assert!(moves(&[1, 1], 65, 50, 40), "without levels, runs move as usual");
}

/// Idle slots of another service, which the waiting items can't use, must not hide that items wait for the slot that a
/// moved run would take.
#[test]
fn idle_slots_that_waiting_items_cannot_use_allow_no_more_moves() {
    let single = |id| ReplicaRecord { slots: 1, ..replica(id, 1) };
    let other = ReplicaRecord { service: "others".to_owned(), models: BTreeMap::new(), ..single("c") };
    let replicas = [single("a"), single("b"), other];
    let mut routes = RouteTable::clone(&trainer_routes(&[0, 1]));
    routes.services.insert("others".to_owned(), routes.services["engines"].clone());
    let first = routes.routes.iter_mut().find(|route| route.name == "trainer-0").expect("the route");
    first.services.push(WeightedService { service: "others".to_owned(), weight: 1 });
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    harness.controller.update(at(0), Some(Arc::new(routes)), &table(&replicas), &BTreeMap::new());
    harness.drain_actions();
    assert!(!moves_of(harness, 65, 50, 40));
}
