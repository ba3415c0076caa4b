//! Machines with disks that are to be emptied and lose their disks before another store can take their place.

use lichenpulley_core::identity::{NodeId, ShardId};
use lichenpulley_core::replication::replica_set::StoreId;
use lichenpulley_platform::objects;
use serde_json::json;
use tempfile::TempDir;

use crate::platform_system::{STORES, System, until};

/// Kills a store, and starts its machine again with an empty disk.
async fn lose_disk(system: &mut System, number: usize) {
    let store = system.stores[number].take().expect("a store");
    store.kill();
    store.stopped().await;
    system.folders[number] = TempDir::new().expect("a folder");
    system.start_store(number).await;
}

/// The members of the set of the batch jobs' log, by machine, as the owner knows them.
fn members(system: &System) -> Vec<(NodeId, StoreId)> {
    let Some(owner) = system.find_owner() else { return Vec::new() };
    let context = system.gateways[owner].as_ref().expect("the owner").context();
    let set = context.replica_sets.get(&ShardId::new("batch/main"));
    let mut members: Vec<_> = set
        .into_iter()
        .flat_map(|set| set.members.clone())
        .map(|member| (member.node, member.store))
        .collect();
    members.sort();
    members
}

fn is_complete(system: &System, name: &str) -> bool {
    let object = system.platform.get(objects::RETIREMENTS, name).expect("the retirement");
    objects::is_retirement_complete(&object.status)
}

#[tokio::test]
async fn jobs_are_kept_while_disks_are_lost_one_after_the_other_and_a_retiring_machine_has_no_successor() {
    let mut system = System::start(2, 3).await;
    system.submit(0, "job", 4, 1).await;
    let results = system.results(0, "job").await;
    until(|| members(&system).len() == STORES).await;
    system.platform.put(objects::RETIREMENTS, "store-0", json!({"duration_s": 10}));
    for number in [0, 1, 2] {
        let before = members(&system);
        lose_disk(&mut system, number).await;
        until(|| {
            let now = members(&system);
            now.len() == STORES && now[number].0 == before[number].0 && now[number].1 != before[number].1
        })
        .await;
        assert_eq!(system.results(1, "job").await, results);
    }
    assert!(!is_complete(&system, "store-0"), "nobody can take its place yet");
    system.folders.push(TempDir::new().expect("a folder"));
    system.start_store(STORES).await;
    until(|| is_complete(&system, "store-0")).await;
    assert!(members(&system).iter().all(|(node, _)| node.as_str() != "store-0"));
    assert_eq!(system.results(0, "job").await, results);
}
