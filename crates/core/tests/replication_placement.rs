//! Which stores keep a shard.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{NodeId, RegionName, ShardId, ZoneName};
use lichenpulley_core::ingress::places::ZoneMap;
use lichenpulley_core::replication::placement::{
    FaultTolerance, Improvement, PlacementPolicy, ToleranceTarget, TooFewStores, first_set,
};
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

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
    size: ToleranceTarget,
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
    let size = ToleranceTarget::tolerating(2);
    assert_eq!((size.members(), size.majority()), (5, 3));
    assert_eq!((ToleranceTarget::default().members(), ToleranceTarget::default().majority()), (3, 2));
    let candidates = stores(&[("a", 4), ("b", 4), ("c", 3), ("d", 3)]);
    let counts = members_by_zone(&candidates, size, "batch/main").unwrap();
    assert_eq!(counts.values().sum::<usize>(), 5);
}

#[test]
fn no_zone_holds_a_majority_of_a_set() {
    let candidates = stores(&[("a", 5), ("b", 3), ("c", 2)]);
    for number in 0..200 {
        let counts =
            members_by_zone(&candidates, ToleranceTarget::tolerating(2), &format!("shard-{number}")).unwrap();
        assert!(counts.values().all(|count| *count < 3), "shard-{number}: {counts:?}");
    }
}

/// A set of a majority of the wanted members is the smallest that is made.
#[test]
fn fewer_stores_than_wanted_give_a_set_of_all_of_them_and_too_few_give_none() {
    let size = ToleranceTarget::tolerating(2);
    for (count, bears) in [(3, 1), (4, 1), (5, 2), (9, 2)] {
        let candidates = stores(&[("a", count)]);
        let set = first_set(&ShardId::new("batch/main"), &candidates, size).expect("a set");
        assert_eq!(set.members.len(), count.min(5));
        assert_eq!(FaultTolerance::of(&set.members, &ZoneMap::default()).disks, bears);
    }
    let policy = PlacementPolicy { target: size, ..PlacementPolicy::default() };
    let refused = policy.first_set(&ShardId::new("batch/main"), &stores(&[("a", 1), ("b", 1)]));
    assert_eq!(refused, Err(TooFewStores { live: 2, needed: 3 }));
    assert!(members_by_zone(&[], size, "batch/main").is_none());
}

#[test]
fn a_set_grows_one_member_at_a_time_and_then_rests() {
    let policy = PlacementPolicy { target: ToleranceTarget::tolerating(2), ..PlacementPolicy::default() };
    let all = stores(&[("a", 3), ("b", 3)]);
    let mut set = policy.first_set(&ShardId::new("batch/main"), &all[..3]).expect("a set");
    for members in 4..=5 {
        set = step(&policy, &set, &all).expect("a step");
        assert_eq!((set.members.len(), set.generation.0), (members, members as u64 - 2));
    }
    assert_eq!(step(&policy, &set, &all), None);
    assert_eq!(step(&policy, &set, &all[..2]), None, "a set never shrinks");
}

#[test]
fn a_majority_stands_in_one_region_unless_regions_are_to_be_borne() {
    let layout = [("n1", 2), ("n2", 2), ("n3", 2), ("s1", 2), ("s2", 2), ("s3", 2)];
    let places = places(&[("n1", "n"), ("n2", "n"), ("n3", "n"), ("s1", "s"), ("s2", "s"), ("s3", "s")]);
    let shard = ShardId::new("batch/main");
    let candidates = stores(&layout);
    let home = Some(RegionName::new("s"));
    let policy = PlacementPolicy { target: ToleranceTarget::tolerating(2), places, home };
    let set = policy.first_set(&shard, &candidates).expect("a set");
    assert!(set.members.iter().all(|member| member.zone.as_str().starts_with('s')), "{set:?}");
    assert_eq!(policy.fault_tolerance(&set.members), FaultTolerance { disks: 2, zones: 1, regions: 0 });
    // Who takes a member's place stands there as well, wherever this node would have placed a first set.
    let from_afar = PlacementPolicy { home: Some(RegionName::new("n")), ..policy.clone() };
    let joining = from_afar.best_addition(&shard, &set.members[1..], &candidates).expect("a store");
    assert!(joining.zone.as_str().starts_with('s'), "{joining:?}");
    // One region more lets the loss of any be borne.
    let mut candidates = candidates;
    candidates.extend(stores(&[("w1", 1)]));
    let mut regions: BTreeMap<String, RegionName> =
        policy.places.zones().map(|(zone, region)| (zone.to_owned(), region.clone())).collect();
    regions.insert("w1".to_owned(), RegionName::new("w"));
    let size = policy.target.with_regions(1);
    let policy = PlacementPolicy { target: size, places: ZoneMap::new(regions), ..policy };
    let set = policy.first_set(&shard, &candidates).expect("a set");
    assert_eq!((set.members.len(), policy.fault_tolerance(&set.members).regions), (5, 1));
}

fn places(zones: &[(&str, &str)]) -> ZoneMap {
    ZoneMap::new(zones.iter().map(|(zone, region)| ((*zone).to_owned(), RegionName::new(*region))).collect())
}

/// The set after the next step by which it bears more.
fn step(policy: &PlacementPolicy, set: &ReplicaSet, stores: &[SetMember]) -> Option<ReplicaSet> {
    match policy.improvement(set, stores)? {
        Improvement::Grow(joining) => set.with_replaced(&joining.store.clone(), joining),
        Improvement::Move { leaving, joining } => set.with_replaced(&leaving.store, joining),
    }
}

/// Stores in each zone, and the region of each zone.
#[derive(Clone, Debug)]
struct Layout(Vec<(usize, usize)>);

impl Layout {
    fn stores(&self) -> Vec<SetMember> {
        let names: Vec<String> = (0..self.0.len()).map(|zone| format!("z{zone}")).collect();
        let zones: Vec<(&str, usize)> =
            names.iter().zip(&self.0).map(|(name, (count, _))| (name.as_str(), *count)).collect();
        stores(&zones)
    }

    fn policy(&self, size: ToleranceTarget, home: usize) -> PlacementPolicy {
        let regions = self.0.iter().enumerate();
        let regions = regions.map(|(zone, (_, region))| (format!("z{zone}"), region_name(*region)));
        PlacementPolicy {
            target: size,
            places: ZoneMap::new(regions.collect()),
            home: Some(region_name(home)),
        }
    }

    /// How many members of a set stand in each zone.
    fn counts(&self, set: &ReplicaSet) -> Vec<usize> {
        let of =
            |zone: usize| set.members.iter().filter(move |member| member.zone.as_str() == format!("z{zone}"));
        (0..self.0.len()).map(|zone| of(zone).count()).collect()
    }

    /// Whether a majority outlives every loss of so many disks, zones or regions, by trying each.
    fn bears(&self, counts: &[usize], (disks, zones, regions): (usize, usize, usize)) -> bool {
        let members: usize = counts.iter().sum();
        let outlives = |groups: &[usize], lost: usize| {
            (0_u32..1 << groups.len()).filter(|chosen| chosen.count_ones() as usize == lost).all(|chosen| {
                let gone: usize = groups
                    .iter()
                    .enumerate()
                    .map(|(group, count)| count * (chosen >> group & 1) as usize)
                    .sum();
                2 * (members - gone) > members
            })
        };
        let mut in_regions = vec![0; 3];
        for (count, (_, region)) in counts.iter().zip(&self.0) {
            in_regions[*region] += count;
        }
        in_regions.retain(|count| *count > 0);
        let in_zones: Vec<usize> = counts.iter().copied().filter(|count| *count > 0).collect();
        let within = |groups: &[usize], lost: usize| lost <= groups.len() && outlives(groups, lost);
        2 * members.saturating_sub(disks) > members
            && within(&in_zones, zones)
            && within(&in_regions, regions)
    }

    /// All sets of at most so many members, as counts for each zone.
    fn sets(&self, members: usize) -> Vec<Vec<usize>> {
        let mut sets = vec![Vec::new()];
        for (capacity, _) in &self.0 {
            let longer = |set: &Vec<usize>| {
                let set = set.clone();
                (0..=*capacity).map(move |count| [set.as_slice(), &[count]].concat())
            };
            sets = sets.iter().flat_map(longer).filter(|set| set.iter().sum::<usize>() <= members).collect();
        }
        sets
    }
}

fn region_name(region: usize) -> RegionName {
    RegionName::new(format!("r{region}"))
}

fn layouts() -> impl Strategy<Value = Layout> {
    proptest::collection::vec((1_usize..=3, 0_usize..3), 1..=6).prop_map(Layout)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// A set bears what it says and not more; it is the smallest that bears what is wanted; and where it bears less, none does.
    #[test]
    fn a_set_bears_what_it_says_and_no_smaller_one_does(
        layout in layouts(), wanted in (0_usize..=2, 0_usize..=2, 0_usize..=1), home in 0_usize..3
    ) {
        let size = ToleranceTarget::tolerating(wanted.0).with_zones(wanted.1).with_regions(wanted.2);
        let (policy, candidates) = (layout.policy(size, home), layout.stores());
        let Ok(set) = policy.first_set(&ShardId::new("batch/main"), &candidates) else {
            prop_assert!(candidates.len() < size.minimum_members());
            return Ok(());
        };
        let counts = layout.counts(&set);
        let said = policy.fault_tolerance(&set.members);
        prop_assert_eq!(policy.check(&set.members).is_ok(), layout.bears(&counts, wanted));
        prop_assert!(layout.bears(&counts, (said.disks, 0, 0)));
        prop_assert!(layout.bears(&counts, (0, said.zones, 0)));
        prop_assert!(layout.bears(&counts, (0, 0, said.regions)));
        prop_assert!(!layout.bears(&counts, (said.disks + 1, 0, 0)));
        prop_assert!(!layout.bears(&counts, (0, said.zones + 1, 0)));
        prop_assert!(!layout.bears(&counts, (0, 0, said.regions + 1)));
        let most = if said.covers(size) { set.members.len() - 1 } else { 13 };
        let better = layout.sets(most).into_iter().find(|counts| layout.bears(counts, wanted));
        prop_assert_eq!(better, None, "{:?} was chosen", counts);
    }

    /// A set that was made of some of the stores comes to bear what one made of all of them would, by steps of one member,
    /// and then rests.
    #[test]
    fn a_set_grows_until_it_bears_what_the_layout_can(
        layout in layouts(), wanted in (0_usize..=2, 0_usize..=2, 0_usize..=1), known in 1_usize..8, shift in 0_usize..18
    ) {
        let size = ToleranceTarget::tolerating(wanted.0).with_zones(wanted.1).with_regions(wanted.2);
        let (policy, candidates) = (layout.policy(size, 0), layout.stores());
        let first: Vec<SetMember> = candidates.iter().cycle().skip(shift).take(known.min(candidates.len())).cloned().collect();
        let shard = ShardId::new("batch/main");
        let Ok(mut set) = policy.first_set(&shard, &first) else { return Ok(()) };
        for _ in 0..20 {
            let Some(next) = step(&policy, &set, &candidates) else { break };
            prop_assert!(next.members.len() >= set.members.len() && next.members.len() <= set.members.len() + 1);
            set = next;
        }
        prop_assert_eq!(step(&policy, &set, &candidates), None, "it rests");
        let best = policy.first_set(&shard, &candidates).expect("more stores");
        let (has, could) = (policy.fault_tolerance(&set.members), policy.fault_tolerance(&best.members));
        prop_assert!(has.covers(size) || !could.covers(size), "{has} where {could} could be");
    }
}
