//! Stores that lose their disks one after another, while the owner works.

use std::time::Duration;

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use tempfile::TempDir;

use crate::platform_system::{PATIENCE, STORES, System};

fn shard() -> ShardId {
    ShardId::new("batch/main")
}

/// Under which epoch and take-over the stores are led.
async fn leadership(system: &System) -> (Epoch, ProposerId) {
    let gateway = system.gateways.iter().flatten().next().expect("a gateway").context();
    let mut seen = Vec::new();
    for store in system.stores.iter().flatten() {
        let asked = StoreRequest::Leadership(shard());
        match gateway.peers.store(store.addresses().peers, asked, PATIENCE).await {
            Ok(StoreResponse::Leadership(Some(known))) => seen.push((known.epoch, known.proposer)),
            answer => assert!(matches!(answer, Ok(StoreResponse::Leadership(None))), "{answer:?}"),
        }
    }
    seen.into_iter().max().expect("a store that is led")
}

/// Replaces a store's disk by an empty one, and waits until the owner has the new store in its set.
async fn wipe(system: &mut System, number: usize, generation: u64) {
    let lost = system.stores[number].take().expect("a store");
    lost.kill();
    lost.stopped().await;
    drop(lost);
    system.folders[number] = TempDir::new().expect("an empty folder");
    system.start_store(number).await;
    let replaced = async {
        loop {
            let owner = system.find_owner().and_then(|owner| system.gateways[owner].as_ref());
            let set = owner.and_then(|owner| owner.context().replica_sets.get(&shard()));
            if set.is_some_and(|set| set.generation.0 >= generation) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, replaced).await.expect("the member is replaced");
}

/// Each change takes place while a job is run; whoever owned the jobs before owns them still, without having asked anew.
#[tokio::test]
async fn the_owner_keeps_its_epoch_while_stores_are_wiped_one_after_another_under_load() {
    let mut system = System::start(2, 5).await;
    system.submit(0, "before", 4, 1).await;
    let before = system.results(0, "before").await;
    let (owner, led) = (system.owner(), leadership(&system).await);
    for number in 0..STORES {
        let id = format!("job-{number}");
        system.submit(0, &id, 40, 1).await;
        wipe(&mut system, number, number as u64 + 2).await;
        assert_eq!(system.results(1, &id).await.len(), 40, "{id}");
        assert_eq!(leadership(&system).await, led, "after {} changes", number + 1);
    }
    assert_eq!(system.owner(), owner);
    assert_eq!(system.results(1, "before").await, before);
}
