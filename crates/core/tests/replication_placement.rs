//! Which stores keep a shard.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use lichenpulley_core::replication::placement::{SetSize, first_set};
use lichenpulley_core::replication::replica_set::{SetMember, StoreId};

fn stores(zones: &[(&str, usize)]) -> Vec<SetMember> {
    let mut stores = Vec::new();
    for (zone, count) in zones {
        for number in 0..*count {
            stores.push(SetMember {
                store: StoreId::new(format!("{zone}-disk-{number}")),
                node: NodeId::new(format!("{zone}-{number}")),
                zone: ZoneName::new(*zone),
                address: "127.0.0.1:1".to_owned(),
            });
        }
    }
    stores
}

fn members_by_zone(
    candidates: &[SetMember],
    size: SetSize,
    shard: &str,
) -> Option<BTreeMap<ZoneName, usize>> {
    let set = first_set(&ShardId::new(shard), candidates, size)?;
    let mut counts = BTreeMap::new();
    for member in set.members {
        *counts.entry(member.zone).or_insert(0) += 1;
    }
    Some(counts)
}

#[test]
fn a_set_that_bears_two_losses_has_five_members_of_which_three_decide() {
    let size = SetSize::tolerating(2);
    assert_eq!((size.members(), size.majority()), (5, 3));
    assert_eq!((SetSize::default().members(), SetSize::default().majority()), (3, 2));
    let candidates = stores(&[("a", 4), ("b", 4), ("c", 3), ("d", 3)]);
    let counts = members_by_zone(&candidates, size, "batch/main").unwrap();
    assert_eq!(counts.values().sum::<usize>(), 5);
}

#[test]
fn no_zone_holds_a_majority_of_a_set() {
    let candidates = stores(&[("a", 5), ("b", 3), ("c", 2)]);
    for number in 0..200 {
        let counts =
            members_by_zone(&candidates, SetSize::tolerating(2), &format!("shard-{number}")).unwrap();
        assert!(counts.values().all(|count| *count < 3), "shard-{number}: {counts:?}");
    }
}

#[test]
fn too_few_stores_give_no_set() {
    let candidates = stores(&[("a", 2), ("b", 2)]);
    assert!(members_by_zone(&candidates, SetSize::tolerating(2), "batch/main").is_none());
}
