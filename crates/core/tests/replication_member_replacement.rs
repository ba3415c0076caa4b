//! Which member of a replica set is replaced next, and by which store.

use std::collections::BTreeSet;

use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use lichenpulley_core::replication::member_replacement::{MemberReplacement, ReplacementReason, StoreView};
use lichenpulley_core::replication::placement::PlacementPolicy;
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The store with the `disk`th disk of machine `node`.
fn store(node: usize, disk: usize) -> SetMember {
    SetMember {
        store: StoreId::new(format!("store-{node}-{disk}")),
        node: NodeId::new(format!("node-{node}")),
        zone: ZoneName::new(format!("zone-{}", node % 3)),
        address: "127.0.0.1:1".to_owned(),
    }
}

fn set_of(nodes: impl IntoIterator<Item = usize>) -> ReplicaSet {
    let members = nodes.into_iter().map(|node| store(node, 0)).collect();
    ReplicaSet { shard: ShardId::new("batch/main"), generation: Generation::FIRST, members }
}

fn nodes(numbers: &[usize]) -> BTreeSet<NodeId> {
    numbers.iter().map(|node| NodeId::new(format!("node-{node}"))).collect()
}

#[derive(Default)]
struct Situation {
    answering: Vec<SetMember>,
    silent: BTreeSet<StoreId>,
    retiring: BTreeSet<NodeId>,
    emptied: BTreeSet<NodeId>,
}

impl Situation {
    fn next(&self, set: &ReplicaSet) -> Option<MemberReplacement> {
        let Self { answering, silent, retiring, emptied } = self;
        PlacementPolicy::default().replacement(set, &StoreView { answering, silent, retiring, emptied })
    }
}

fn replaced(leaving: SetMember, joining: SetMember, reason: ReplacementReason) -> Option<MemberReplacement> {
    Some(MemberReplacement { leaving: leaving.store, joining, reason })
}

#[test]
fn lost_disk_of_a_retiring_machine_is_replaced_by_its_new_store_if_no_other_answers() {
    let set = set_of(0..3);
    let lost = Situation {
        answering: vec![store(0, 1), store(1, 0), store(2, 0)],
        retiring: nodes(&[0]),
        ..Situation::default()
    };
    assert_eq!(lost.next(&set), replaced(store(0, 0), store(0, 1), ReplacementReason::DiskReplaced));
}

#[test]
fn silent_member_is_replaced_by_a_store_of_a_retiring_machine_if_no_other_answers() {
    let set = set_of(0..3);
    let mut lost = Situation {
        answering: vec![store(1, 0), store(2, 0), store(3, 0)],
        retiring: nodes(&[3]),
        ..Situation::default()
    };
    assert_eq!(lost.next(&set), None, "it may come back");
    lost.silent.insert(store(0, 0).store);
    assert_eq!(lost.next(&set), replaced(store(0, 0), store(3, 0), ReplacementReason::Silent));
    lost.emptied = nodes(&[3]);
    assert_eq!(lost.next(&set), None, "the machine may be removed at any time");
}

#[test]
fn store_of_a_staying_machine_is_preferred_to_that_of_a_retiring_one() {
    let set = set_of(0..3);
    let lost = Situation {
        answering: vec![store(0, 1), store(1, 0), store(2, 0), store(4, 0)],
        retiring: nodes(&[0]),
        ..Situation::default()
    };
    assert_eq!(lost.next(&set), replaced(store(0, 0), store(4, 0), ReplacementReason::DiskReplaced));
}

#[test]
fn member_of_a_retiring_machine_leaves_once_another_store_answers() {
    let set = set_of(0..3);
    let mut whole = Situation {
        answering: vec![store(0, 0), store(1, 0), store(2, 0), store(5, 0)],
        retiring: nodes(&[0, 5]),
        ..Situation::default()
    };
    assert_eq!(whole.next(&set), None, "a retiring machine is not replaced by another one");
    whole.answering.push(store(4, 0));
    assert_eq!(whole.next(&set), replaced(store(0, 0), store(4, 0), ReplacementReason::MachineLeaves));
    whole.answering.retain(|answering| *answering != store(2, 0));
    assert_eq!(whole.next(&set), None, "no member leaves while another one is missing");
}

#[test]
fn lost_member_without_a_replacement_does_not_hide_another_one() {
    let set = set_of(0..5);
    let lost = Situation {
        answering: vec![store(1, 1), store(2, 0), store(3, 0), store(4, 0)],
        silent: BTreeSet::from([store(0, 0).store]),
        ..Situation::default()
    };
    assert_eq!(lost.next(&set), replaced(store(1, 0), store(1, 1), ReplacementReason::DiskReplaced));
}

#[test]
fn set_without_a_majority_is_left_as_it_is() {
    let set = set_of(0..3);
    let lost = Situation { answering: vec![store(0, 1), store(1, 1), store(2, 0)], ..Situation::default() };
    assert_eq!(lost.next(&set), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Disks are lost and machines retired in any combination.
    #[test]
    fn lost_disk_is_replaced_whenever_a_majority_answers(
        lost in proptest::collection::vec(any::<bool>(), 5),
        retiring in proptest::collection::vec(any::<bool>(), 8),
        others in 0_usize..3,
    ) {
        let set = set_of(0..5);
        let answering = (0..5).map(|node| store(node, usize::from(lost[node]))).chain((5..5 + others).map(|node| store(node, 0)));
        let retired: Vec<usize> = (0..8).filter(|node| retiring[*node]).collect();
        let situation = Situation { answering: answering.collect(), retiring: nodes(&retired), ..Situation::default() };
        let losses = lost.iter().filter(|lost| **lost).count();
        let next = situation.next(&set);
        prop_assert_eq!(next.is_some() && losses > 0, (1..=2).contains(&losses));
        if let Some(next) = next {
            let staying = situation.answering.iter().any(|store| {
                !situation.retiring.contains(&store.node) && set.members.iter().all(|member| member.store == next.leaving || member.node != store.node)
            });
            prop_assert!(!staying || !situation.retiring.contains(&next.joining.node), "retiring machines are the last choice");
        }
    }
}
