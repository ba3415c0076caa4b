//! The log of the batch jobs where fewer stores stand than it should have, and when more come.

use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::replica_set::ReplicaSet;
use std::time::Duration;
use tempfile::TempDir;

use crate::platform_system::{PATIENCE, System};

/// The set in force, as the owner knows it.
fn set_of_owner(system: &System) -> Option<ReplicaSet> {
    let owner = system.gateways[system.find_owner()?].as_ref()?.context();
    owner.replica_sets.get(&ShardId::new("batch/main"))
}

async fn until_members(system: &System, members: usize) {
    let grown = async {
        while set_of_owner(system).is_none_or(|set| set.members.len() != members) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, grown).await.expect("the set has so many members");
}

/// The owner shows what the set bears.
fn assert_shown(system: &System, members: usize, disks: usize) {
    let owner = system.gateways[system.owner()].as_ref().expect("an owner");
    let metrics = owner.context().metrics.encode().expect("metrics");
    assert!(
        metrics.contains(&format!("lichenpulley_log_members{{shard=\"batch/main\"}} {members}\n")),
        "{metrics}"
    );
    let borne = format!("lichenpulley_log_borne_losses{{of=\"disks\",shard=\"batch/main\"}} {disks}\n");
    assert!(metrics.contains(&borne), "{metrics}");
}

async fn lose_store(system: &mut System, number: usize) {
    let lost = system.stores[number].take().expect("a store");
    lost.kill();
    lost.stopped().await;
}

/// Kills the owner; gives the gateway that is left.
async fn lose_owner(system: &mut System) -> usize {
    let owner = system.owner();
    let killed = system.gateways[owner].take().expect("the owner");
    killed.kill();
    killed.stopped().await;
    1 - owner
}

/// A majority is one of the set in force: by the settings, three stores would have to answer.
async fn serves_without_one_of(stores: usize) {
    let mut system = System::with_stores(stores, 2).await;
    system.submit(0, "first", 4, 1).await;
    let first = system.results(0, "first").await;
    until_members(&system, stores).await;
    assert_shown(&system, stores, 1);
    lose_store(&mut system, 0).await;
    let left = lose_owner(&mut system).await;
    assert_eq!(system.results(left, "first").await, first);
    system.submit(left, "second", 2, 1).await;
    assert_eq!(system.results(left, "second").await.len(), 2);
}

#[tokio::test]
async fn three_stores_serve_where_five_are_wanted_and_bear_one_loss() {
    serves_without_one_of(3).await;
}

#[tokio::test]
async fn four_stores_serve_where_five_are_wanted_and_bear_one_loss() {
    serves_without_one_of(4).await;
}

#[tokio::test]
async fn the_set_grows_when_stores_come_and_then_bears_two_lost_disks() {
    let mut system = System::with_stores(3, 2).await;
    system.submit(0, "first", 4, 1).await;
    let first = system.results(0, "first").await;
    until_members(&system, 3).await;
    for number in 3..5 {
        system.folders.push(TempDir::new().expect("a folder"));
        system.start_store(number).await;
        until_members(&system, number + 1).await;
    }
    system.submit(0, "second", 4, 1).await;
    let second = system.results(0, "second").await;
    assert_shown(&system, 5, 2);
    for number in 0..2 {
        lose_store(&mut system, number).await;
        system.folders[number] = TempDir::new().expect("an empty folder");
    }
    let left = lose_owner(&mut system).await;
    assert_eq!(system.results(left, "first").await, first);
    assert_eq!(system.results(left, "second").await, second);
}
