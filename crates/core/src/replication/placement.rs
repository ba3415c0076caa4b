//! Where a log's stores stand: the first replica set, who takes the place of a member, and how a set grows.
//! The one place that decides it.
//!
//! Inputs: the stores that answer with their zones, the tolerated losses of the settings, the region of each
//! zone and the home region. Counts are of members, zones and regions. Reason: as many disks, zones or
//! regions as the settings name may be lost while a majority is left, and appends should not cross to another
//! region (`docs/design/log-placement.md`). With three members a grown deployment that may lose two disks at
//! once lost six jobs on one day, with five none: `2 f + 1` members tolerate `f` lost disks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::fault_tolerance::MemberSpread;
pub use super::fault_tolerance::{FaultTolerance, Shortfall, ToleranceTarget};
use super::replica_set::{Generation, ReplicaSet, SetMember};
use crate::identity::{NodeId, RegionName, ShardId, ZoneName};
use crate::ingress::places::ZoneMap;

/// Most members of a set: each one more costs a copy of every append. Chosen, not measured, as is the bound
/// of the search; a set that would need more tolerates less than is wanted, which is reported.
const MAX_MEMBERS: usize = 13;
/// The regions with the most stores that a first set is spread over; more would be weighed without an end.
/// Chosen, not measured: the ways to share members out grow steeply with it, and with fewer some set that
/// tolerates more is not found.
const MAX_REGIONS: usize = 6;

/// Fewer stores than the smallest set that may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{live} stores answer and {needed} are needed at least; start more nodes with the store role")]
pub struct TooFewStores {
    /// How many answer.
    pub live: usize,
    /// The fewest with which a set is made.
    pub needed: usize,
}

/// A step by which a set tolerates more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Improvement {
    /// The set grows by this store.
    Grow(SetMember),
    /// A member makes room for a store that stands better.
    Move {
        /// The member.
        leaving: SetMember,
        /// Who takes its place.
        joining: SetMember,
    },
}

/// By what stores are chosen.
#[derive(Clone, Debug, Default)]
pub struct PlacementPolicy {
    /// What a set should tolerate.
    pub target: ToleranceTarget,
    /// Which region each zone lies in; where it is empty, all stores stand in one.
    pub places: ZoneMap,
    /// The region in which members are preferred; where none is given, the one with the most stores.
    pub home: Option<RegionName>,
}

impl PlacementPolicy {
    /// The first replica set: the smallest that tolerates what it should, with as many members as can be in the home region,
    /// evenly over zones, and the stores with the highest weights in each. Where no set does, the one that comes
    /// nearest; where fewer stores answer than that takes, all of them.
    ///
    /// # Errors
    /// Where fewer stores answer than the smallest set has members.
    pub fn first_set(&self, shard: &ShardId, candidates: &[SetMember]) -> Result<ReplicaSet, TooFewStores> {
        let members = self.choose(shard, candidates);
        let needed = self.target.minimum_members();
        if members.len() < needed {
            return Err(TooFewStores { live: members.len(), needed });
        }
        Ok(ReplicaSet { shard: shard.clone(), generation: Generation::FIRST, members })
    }

    /// How many members a set has that is made of these stores, be they members now or not.
    pub(crate) fn wanted_members(&self, shard: &ShardId, stores: &[SetMember]) -> usize {
        self.choose(shard, stores).len().max(self.target.members())
    }

    /// What these members tolerate.
    pub fn fault_tolerance(&self, members: &[SetMember]) -> FaultTolerance {
        FaultTolerance::of(members, &self.places)
    }

    /// Whether these members tolerate what they should.
    ///
    /// # Errors
    /// Where they tolerate less.
    pub fn check(&self, members: &[SetMember]) -> Result<(), Shortfall> {
        let (tolerance, wanted) = (self.fault_tolerance(members), self.target);
        let shortfall = Shortfall { members: members.len(), tolerance, wanted };
        if tolerance.covers(wanted) { Ok(()) } else { Err(shortfall) }
    }

    /// The best store to add to `members`: one that leaves the smallest excess over the losses to tolerate,
    /// then one in the region where most members stand, in a zone that has fewest of them, with the highest
    /// weight.
    pub fn best_addition(
        &self,
        shard: &ShardId,
        members: &[SetMember],
        candidates: &[SetMember],
    ) -> Option<SetMember> {
        let home = self.home_of(members, candidates);
        let eligible = candidates.iter().filter(|candidate| !stands_in(members, candidate));
        let best = eligible.max_by_key(|candidate| {
            let mut joined = members.to_vec();
            joined.push(SetMember::clone(candidate));
            let in_zone = members.iter().filter(|member| member.zone == candidate.zone).count();
            (
                Reverse(self.excess(&joined)),
                self.region(&candidate.zone) == home.as_ref(),
                Reverse(in_zone),
                weight(shard, candidate),
                candidate.store.clone(),
            )
        });
        best.cloned()
    }

    /// The next step by which a set whose members all answer tolerates more: it grows while it is smaller
    /// than these stores allow, then members move. Never shrinks a set.
    pub fn improvement(&self, set: &ReplicaSet, candidates: &[SetMember]) -> Option<Improvement> {
        let free = candidates.iter().filter(|candidate| !stands_in(&set.members, candidate));
        let free: Vec<SetMember> = free.cloned().collect();
        let all: Vec<SetMember> = set.members.iter().chain(&free).cloned().collect();
        if set.members.len() < self.wanted_members(&set.shard, &all) {
            return self.best_addition(&set.shard, &set.members, &free).map(Improvement::Grow);
        }
        let excess = self.excess(&set.members);
        if excess == 0 {
            return None;
        }
        let moves = set.members.iter().filter_map(|leaving| {
            let mut staying = set.members.clone();
            staying.retain(|member| member.store != leaving.store);
            let joining = self.best_addition(&set.shard, &staying, &free)?;
            staying.push(joining.clone());
            Some((self.excess(&staying), Improvement::Move { leaving: leaving.clone(), joining }))
        });
        let (remaining, step) = moves.min_by_key(|(excess, _)| *excess)?;
        (remaining < excess).then_some(step)
    }

    fn region(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.places.region(zone.as_str())
    }

    fn excess(&self, members: &[SetMember]) -> usize {
        MemberSpread::of(members, &self.places).excess(self.target)
    }

    /// The region with the most members; without members, the preferred one, or the one with the most stores.
    fn home_of(&self, members: &[SetMember], candidates: &[SetMember]) -> Option<RegionName> {
        let regions = self.regions(if members.is_empty() { candidates } else { members });
        if members.is_empty() && self.home.is_some() {
            return self.home.clone();
        }
        regions.into_iter().next().and_then(|(region, _)| region.cloned())
    }

    /// Regions with their stores: those with the most first, among equals the preferred one.
    fn regions<'a>(&'a self, stores: &[SetMember]) -> Vec<(Option<&'a RegionName>, Vec<SetMember>)> {
        let mut regions: BTreeMap<Option<&RegionName>, Vec<SetMember>> = BTreeMap::new();
        for store in stores {
            regions.entry(self.region(&store.zone)).or_default().push(store.clone());
        }
        let mut regions: Vec<_> = regions.into_iter().collect();
        regions.sort_by_key(|(region, stores)| (Reverse(stores.len()), *region != self.home.as_ref()));
        regions
    }

    /// The members of the best set of these stores: fewer than wanted only where fewer stores stand.
    fn choose(&self, shard: &ShardId, candidates: &[SetMember]) -> Vec<SetMember> {
        let stores = one_for_each_node(shard, candidates);
        let mut regions = self.regions(&stores);
        regions.truncate(MAX_REGIONS);
        let held: Vec<Vec<SetMember>> =
            regions.into_iter().map(|(_, stores)| in_order_of_choice(shard, &stores)).collect();
        let most: usize = held.iter().map(Vec::len).sum();
        let first = self.target.members().min(most);
        let sizes = (first..=most.min(MAX_MEMBERS)).step_by(2);
        let mut best: Option<(usize, Vec<SetMember>)> = None;
        for members in sizes {
            let Some((excess, chosen)) = self.best_of_size(&held, members) else { continue };
            if best.as_ref().is_none_or(|(least, _)| excess < *least) {
                best = Some((excess, chosen));
            }
            if excess == 0 {
                break;
            }
        }
        best.map(|(_, chosen)| chosen).unwrap_or_default()
    }

    /// The best set of so many members, and by how much it misses what it should tolerate. Within a region,
    /// stores taken evenly over its zones lose the fewest with any number of zones: only the share of each
    /// region is to be found.
    fn best_of_size(&self, held: &[Vec<SetMember>], members: usize) -> Option<(usize, Vec<SetMember>)> {
        let capacities: Vec<usize> = held.iter().map(Vec::len).collect();
        let sets = shares(&capacities, members).into_iter().map(|shares| {
            let taken = held.iter().zip(shares).flat_map(|(stores, share)| &stores[..share]);
            let chosen: Vec<SetMember> = taken.cloned().collect();
            let spread = MemberSpread::of(&chosen, &self.places);
            let outside = chosen.iter().filter(|member| self.is_away(&member.zone)).count();
            let cost = (spread.excess(self.target), !spread.has_regional_majority(), outside);
            (cost, spread.excess(self.target.with_zones(1)), chosen)
        });
        // Among equals the first has the largest share in the region with the most stores.
        let best = sets.min_by_key(|(cost, unasked, _)| (*cost, *unasked));
        best.map(|((excess, ..), _, chosen)| (excess, chosen))
    }

    /// Whether a zone lies outside the preferred region.
    fn is_away(&self, zone: &ZoneName) -> bool {
        self.home.is_some() && self.region(zone) != self.home.as_ref()
    }
}

/// The first replica set by the loss of disks alone, where all stores stand in one region. `None` where there
/// are too few.
pub fn first_set(shard: &ShardId, candidates: &[SetMember], size: ToleranceTarget) -> Option<ReplicaSet> {
    let policy = PlacementPolicy { target: size, ..PlacementPolicy::default() };
    policy.first_set(shard, candidates).ok()
}

/// The best store to add to `members` where all stores stand in one region: first one in a zone that has
/// fewest of them, then the highest weight. So a set of five in three zones never has three members in one,
/// and tolerates the loss of any.
pub fn best_addition(shard: &ShardId, members: &[SetMember], candidates: &[SetMember]) -> Option<SetMember> {
    PlacementPolicy::default().best_addition(shard, members, candidates)
}

/// The weight of a store for a shard, the same on every node (highest random weight hashing, Thaler and
/// Ravishankar 1998).
fn weight(shard: &ShardId, candidate: &SetMember) -> u64 {
    xxh3_64(format!("{shard}\n{}", candidate.store).as_bytes())
}

/// Whether a store or its node has a place among the members.
fn stands_in(members: &[SetMember], candidate: &SetMember) -> bool {
    members.iter().any(|member| member.store == candidate.store || member.node == candidate.node)
}

/// The store with the highest weight of each node.
fn one_for_each_node(shard: &ShardId, candidates: &[SetMember]) -> Vec<SetMember> {
    let mut stores = candidates.to_vec();
    stores.sort_by_cached_key(|store| Reverse((weight(shard, store), store.store.clone())));
    let mut seen: BTreeSet<NodeId> = BTreeSet::new();
    stores.retain(|store| seen.insert(store.node.clone()));
    stores
}

/// Stores in the order in which a set takes them: evenly over their zones, by weight within each. `stores`
/// are in the order of their weights.
fn in_order_of_choice(shard: &ShardId, stores: &[SetMember]) -> Vec<SetMember> {
    let mut turns: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let mut ordered: Vec<(usize, &SetMember)> = Vec::new();
    for store in stores {
        let turn = turns.entry(&store.zone).or_default();
        ordered.push((*turn, store));
        *turn += 1;
    }
    ordered.sort_by_cached_key(|(turn, store)| (*turn, Reverse(weight(shard, store)), store.store.clone()));
    ordered.into_iter().map(|(_, store)| store.clone()).collect()
}

/// All ways to take `members` out of groups of these sizes, the largest share of the first group first.
fn shares(capacities: &[usize], members: usize) -> Vec<Vec<usize>> {
    let Some((first, rest)) = capacities.split_first() else {
        return if members == 0 { vec![Vec::new()] } else { Vec::new() };
    };
    let mut found = Vec::new();
    for share in (0..=members.min(*first)).rev() {
        for mut others in shares(rest, members - share) {
            others.insert(0, share);
            found.push(others);
        }
    }
    found
}
