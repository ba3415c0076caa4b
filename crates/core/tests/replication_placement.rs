//! Placement of a shard's replica set on stores.

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
fn tolerating_two_lost_disks_takes_five_members_and_a_majority_of_three() {
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

/// A set must have at least a majority of the wanted members.
#[test]
fn uses_all_stores_if_fewer_than_wanted_and_fails_if_too_few() {
    let size = ToleranceTarget::tolerating(2);
    for (count, tolerates) in [(3, 1), (4, 1), (5, 2), (9, 2)] {
        let candidates = stores(&[("a", count)]);
        let set = first_set(&ShardId::new("batch/main"), &candidates, size).expect("a set");
        assert_eq!(set.members.len(), count.min(5));
        assert_eq!(FaultTolerance::of(&set.members, &ZoneMap::default()).disks, tolerates);
    }
    let policy = PlacementPolicy { target: size, ..PlacementPolicy::default() };
    let refused = policy.first_set(&ShardId::new("batch/main"), &stores(&[("a", 1), ("b", 1)]));
    assert_eq!(refused, Err(TooFewStores { live: 2, needed: 3 }));
    assert!(members_by_zone(&[], size, "batch/main").is_none());
}

#[test]
fn set_grows_one_member_at_a_time_to_its_wanted_size() {
    let policy = PlacementPolicy { target: ToleranceTarget::tolerating(2), ..PlacementPolicy::default() };
    let all = stores(&[("a", 3), ("b", 3)]);
    let mut set = policy.first_set(&ShardId::new("batch/main"), &all[..3]).expect("a set");
    for members in 4..=5 {
        set = apply_improvement(&policy, &set, &all).expect("an improvement");
        assert_eq!((set.members.len(), set.generation.0), (members, members as u64 - 2));
    }
    assert_eq!(apply_improvement(&policy, &set, &all), None);
    assert_eq!(apply_improvement(&policy, &set, &all[..2]), None, "a set never shrinks");
}

#[test]
fn members_share_a_region_unless_region_losses_must_be_tolerated() {
    let layout = [("n1", 2), ("n2", 2), ("n3", 2), ("s1", 2), ("s2", 2), ("s3", 2)];
    let places = places(&[("n1", "n"), ("n2", "n"), ("n3", "n"), ("s1", "s"), ("s2", "s"), ("s3", "s")]);
    let shard = ShardId::new("batch/main");
    let candidates = stores(&layout);
    let home = Some(RegionName::new("s"));
    let policy = PlacementPolicy { target: ToleranceTarget::tolerating(2), places, home };
    let set = policy.first_set(&shard, &candidates).expect("a set");
    assert!(set.members.iter().all(|member| member.zone.as_str().starts_with('s')), "{set:?}");
    assert_eq!(policy.fault_tolerance(&set.members), FaultTolerance { disks: 2, zones: 1, regions: 0 });
    // A replacement is placed in the region of the other members, also if this node prefers another region.
    let other_home = PlacementPolicy { home: Some(RegionName::new("n")), ..policy.clone() };
    let joining = other_home.best_addition(&shard, &set.members[1..], &candidates).expect("a store");
    assert!(joining.zone.as_str().starts_with('s'), "{joining:?}");
    // With one more region, the loss of any region can be tolerated.
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

/// Returns the set after the next improvement.
fn apply_improvement(policy: &PlacementPolicy, set: &ReplicaSet, stores: &[SetMember]) -> Option<ReplicaSet> {
    match policy.improvement(set, stores)? {
        Improvement::Grow(joining) => set.with_replaced(&joining.store.clone(), joining),
        Improvement::Move { leaving, joining } => set.with_replaced(&leaving.store, joining),
    }
}

/// The number of stores and the region of each zone.
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

    /// Returns the number of members in each zone.
    fn counts(&self, set: &ReplicaSet) -> Vec<usize> {
        let of =
            |zone: usize| set.members.iter().filter(move |member| member.zone.as_str() == format!("z{zone}"));
        (0..self.0.len()).map(|zone| of(zone).count()).collect()
    }

    /// Returns whether a majority survives every loss of this many disks, zones or regions, by trying all.
    fn tolerates(&self, counts: &[usize], (disks, zones, regions): (usize, usize, usize)) -> bool {
        let members: usize = counts.iter().sum();
        let survives = |groups: &[usize], lost: usize| {
            (0_u32..1 << groups.len()).filter(|chosen| chosen.count_ones() as usize == lost).all(|chosen| {
                let lost_members: usize = groups
                    .iter()
                    .enumerate()
                    .map(|(group, count)| count * (chosen >> group & 1) as usize)
                    .sum();
                2 * (members - lost_members) > members
            })
        };
        let mut region_sizes = vec![0; 3];
        for (count, (_, region)) in counts.iter().zip(&self.0) {
            region_sizes[*region] += count;
        }
        region_sizes.retain(|count| *count > 0);
        let zone_sizes: Vec<usize> = counts.iter().copied().filter(|count| *count > 0).collect();
        let within = |groups: &[usize], lost: usize| lost <= groups.len() && survives(groups, lost);
        2 * members.saturating_sub(disks) > members
            && within(&zone_sizes, zones)
            && within(&region_sizes, regions)
    }

    /// Returns all sets of at most `members` members, as the number of members in each zone.
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

    /// A set tolerates exactly what it reports. It is the smallest that meets the target, or no set meets it.
    #[test]
    fn set_tolerates_exactly_what_it_reports_and_is_minimal(
        layout in layouts(), wanted in (0_usize..=2, 0_usize..=2, 0_usize..=1), home in 0_usize..3
    ) {
        let size = ToleranceTarget::tolerating(wanted.0).with_zones(wanted.1).with_regions(wanted.2);
        let (policy, candidates) = (layout.policy(size, home), layout.stores());
        let Ok(set) = policy.first_set(&ShardId::new("batch/main"), &candidates) else {
            prop_assert!(candidates.len() < size.minimum_members());
            return Ok(());
        };
        let counts = layout.counts(&set);
        let reported = policy.fault_tolerance(&set.members);
        prop_assert_eq!(policy.check(&set.members).is_ok(), layout.tolerates(&counts, wanted));
        prop_assert!(layout.tolerates(&counts, (reported.disks, 0, 0)));
        prop_assert!(layout.tolerates(&counts, (0, reported.zones, 0)));
        prop_assert!(layout.tolerates(&counts, (0, 0, reported.regions)));
        prop_assert!(!layout.tolerates(&counts, (reported.disks + 1, 0, 0)));
        prop_assert!(!layout.tolerates(&counts, (0, reported.zones + 1, 0)));
        prop_assert!(!layout.tolerates(&counts, (0, 0, reported.regions + 1)));
        let maximum_members = if reported.covers(size) { set.members.len() - 1 } else { 13 };
        let better = layout.sets(maximum_members).into_iter().find(|counts| layout.tolerates(counts, wanted));
        prop_assert_eq!(better, None, "{:?} was chosen", counts);
    }

    /// A set chosen from some of the stores improves one member at a time until it meets the target, if a set
    /// chosen from all stores does, and then no longer changes.
    #[test]
    fn set_grows_until_it_tolerates_what_the_layout_allows(
        layout in layouts(), wanted in (0_usize..=2, 0_usize..=2, 0_usize..=1), known in 1_usize..8, shift in 0_usize..18
    ) {
        let size = ToleranceTarget::tolerating(wanted.0).with_zones(wanted.1).with_regions(wanted.2);
        let (policy, candidates) = (layout.policy(size, 0), layout.stores());
        let first: Vec<SetMember> = candidates.iter().cycle().skip(shift).take(known.min(candidates.len())).cloned().collect();
        let shard = ShardId::new("batch/main");
        let Ok(mut set) = policy.first_set(&shard, &first) else { return Ok(()) };
        for _ in 0..20 {
            let Some(next) = apply_improvement(&policy, &set, &candidates) else { break };
            prop_assert!(next.members.len() >= set.members.len() && next.members.len() <= set.members.len() + 1);
            set = next;
        }
        prop_assert_eq!(apply_improvement(&policy, &set, &candidates), None, "no further improvement");
        let best = policy.first_set(&shard, &candidates).expect("more stores");
        let (has, could) = (policy.fault_tolerance(&set.members), policy.fault_tolerance(&best.members));
        prop_assert!(has.covers(size) || !could.covers(size), "{has} although {could} is possible");
    }
}
