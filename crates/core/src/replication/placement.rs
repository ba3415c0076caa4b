//! Placement of a log's stores: choosing the first replica set, replacements of members, and additional
//! members.
//!
//! Inputs are the available stores with their zones, the losses to tolerate, the region of each zone and the
//! home region. The goal is that a majority remains after the configured loss of disks, zones or regions, and
//! that appends stay within one region if possible (`docs/design/log-placement.md`). A set of `2 f + 1` members
//! tolerates `f` lost disks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::fault_tolerance::MemberSpread;
pub use super::fault_tolerance::{FaultTolerance, Shortfall, ToleranceTarget};
use super::replica_set::{Generation, ReplicaSet, SetMember};
use crate::identity::{NodeId, RegionName, ShardId, ZoneName};
use crate::ingress::places::ZoneMap;

/// Maximum members of a set, since each stores a copy of every append. A target that needs more is not met,
/// which is reported as a [`Shortfall`].
const MAX_MEMBERS: usize = 13;
/// Maximum regions considered for a first set, those with the most stores. Bounds the number of distributions
/// that are compared.
const MAX_REGIONS: usize = 6;

/// The error of having fewer stores than the smallest allowed set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{live} stores are available and at least {needed} are needed; start more nodes with the store role")]
pub struct TooFewStores {
    /// The number of available stores.
    pub live: usize,
    /// The minimum number of members of a set.
    pub needed: usize,
}

/// A change of one member by which a set tolerates more losses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Improvement {
    /// Adds this store.
    Grow(SetMember),
    /// Replaces a member by a store that is placed better.
    Move {
        /// The member to replace.
        leaving: SetMember,
        /// The store that replaces it.
        joining: SetMember,
    },
}

/// The rules by which stores are chosen.
#[derive(Clone, Debug, Default)]
pub struct PlacementPolicy {
    /// The losses that a set should tolerate.
    pub target: ToleranceTarget,
    /// The region of each zone. If empty, all stores are in one region.
    pub places: ZoneMap,
    /// The preferred region of members; by default the one with the most stores.
    pub home: Option<RegionName>,
}

impl PlacementPolicy {
    /// Chooses the first replica set: the smallest set that meets the target, with as many members as
    /// possible in the home region, spread evenly over zones, and with the highest-weighted stores of each
    /// zone. If no set meets the target, the one that comes closest is chosen; if there are too few stores
    /// for that, all of them.
    ///
    /// # Errors
    /// When there are fewer stores than the minimum size of a set.
    pub fn first_set(&self, shard: &ShardId, candidates: &[SetMember]) -> Result<ReplicaSet, TooFewStores> {
        let members = self.choose_members(shard, candidates);
        let needed = self.target.minimum_members();
        if members.len() < needed {
            return Err(TooFewStores { live: members.len(), needed });
        }
        Ok(ReplicaSet { shard: shard.clone(), generation: Generation::FIRST, members })
    }

    /// Returns the number of members that a set chosen from these stores should have.
    pub(crate) fn wanted_members(&self, shard: &ShardId, stores: &[SetMember]) -> usize {
        self.choose_members(shard, stores).len().max(self.target.members())
    }

    /// Returns the losses that these members tolerate.
    pub fn fault_tolerance(&self, members: &[SetMember]) -> FaultTolerance {
        FaultTolerance::of(members, &self.places)
    }

    /// Checks that these members meet the target.
    ///
    /// # Errors
    /// When they tolerate less.
    pub fn check(&self, members: &[SetMember]) -> Result<(), Shortfall> {
        let (tolerance, wanted) = (self.fault_tolerance(members), self.target);
        let shortfall = Shortfall { members: members.len(), tolerance, wanted };
        if tolerance.covers(wanted) { Ok(()) } else { Err(shortfall) }
    }

    /// Returns the best store to add to `members`. The criteria, in order, are the smallest excess over the
    /// target, the region with the most members, the zone with the fewest members, and the highest weight.
    pub fn best_addition(
        &self,
        shard: &ShardId,
        members: &[SetMember],
        candidates: &[SetMember],
    ) -> Option<SetMember> {
        let home = self.home_region(members, candidates);
        let eligible = candidates.iter().filter(|candidate| !has_member(members, candidate));
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

    /// Returns the next change by which a set whose members are all available tolerates more losses. The set
    /// first grows to its wanted size, then members are replaced. A set never shrinks.
    pub fn improvement(&self, set: &ReplicaSet, candidates: &[SetMember]) -> Option<Improvement> {
        let free = candidates.iter().filter(|candidate| !has_member(&set.members, candidate));
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

    /// Returns the region with the most members; without members, the preferred region or the one with the
    /// most stores.
    fn home_region(&self, members: &[SetMember], candidates: &[SetMember]) -> Option<RegionName> {
        let regions = self.regions(if members.is_empty() { candidates } else { members });
        if members.is_empty() && self.home.is_some() {
            return self.home.clone();
        }
        regions.into_iter().next().and_then(|(region, _)| region.cloned())
    }

    /// Groups stores by region, ordered by descending number of stores, with the preferred region first among
    /// equals.
    fn regions<'a>(&'a self, stores: &[SetMember]) -> Vec<(Option<&'a RegionName>, Vec<SetMember>)> {
        let mut regions: BTreeMap<Option<&RegionName>, Vec<SetMember>> = BTreeMap::new();
        for store in stores {
            regions.entry(self.region(&store.zone)).or_default().push(store.clone());
        }
        let mut regions: Vec<_> = regions.into_iter().collect();
        regions.sort_by_key(|(region, stores)| (Reverse(stores.len()), *region != self.home.as_ref()));
        regions
    }

    /// Returns the members of the best set of these stores, fewer than the target requires only if there are
    /// too few stores.
    fn choose_members(&self, shard: &ShardId, candidates: &[SetMember]) -> Vec<SetMember> {
        let stores = best_store_per_node(shard, candidates);
        let mut regions = self.regions(&stores);
        regions.truncate(MAX_REGIONS);
        let by_region: Vec<Vec<SetMember>> =
            regions.into_iter().map(|(_, stores)| interleave_zones(shard, &stores)).collect();
        let available: usize = by_region.iter().map(Vec::len).sum();
        let first = self.target.members().min(available);
        let sizes = (first..=available.min(MAX_MEMBERS)).step_by(2);
        let mut best: Option<(usize, Vec<SetMember>)> = None;
        for members in sizes {
            let Some((excess, chosen)) = self.best_of_size(&by_region, members) else { continue };
            if best.as_ref().is_none_or(|(least, _)| excess < *least) {
                best = Some((excess, chosen));
            }
            if excess == 0 {
                break;
            }
        }
        best.map(|(_, chosen)| chosen).unwrap_or_default()
    }

    /// Returns the best set of a given size with its excess over the target. Within a region, choosing stores
    /// evenly from its zones minimizes the loss with any number of zones, so only the number of members of
    /// each region is searched.
    fn best_of_size(&self, by_region: &[Vec<SetMember>], members: usize) -> Option<(usize, Vec<SetMember>)> {
        let capacities: Vec<usize> = by_region.iter().map(Vec::len).collect();
        let sets = distributions(&capacities, members).into_iter().map(|shares| {
            let taken = by_region.iter().zip(shares).flat_map(|(stores, share)| &stores[..share]);
            let chosen: Vec<SetMember> = taken.cloned().collect();
            let spread = MemberSpread::of(&chosen, &self.places);
            let outside = chosen.iter().filter(|member| self.is_outside_home(&member.zone)).count();
            let cost = (spread.excess(self.target), !spread.has_regional_majority(), outside);
            (cost, spread.excess(self.target.with_zones(1)), chosen)
        });
        // Of equal sets, the first one has the most members in the region with the most stores.
        let best = sets.min_by_key(|(cost, zone_excess, _)| (*cost, *zone_excess));
        best.map(|((excess, ..), _, chosen)| (excess, chosen))
    }

    /// Returns whether a zone is outside the preferred region.
    fn is_outside_home(&self, zone: &ZoneName) -> bool {
        self.home.is_some() && self.region(zone) != self.home.as_ref()
    }
}

/// Chooses the first replica set if all stores are in one region. Returns `None` if there are too few stores.
pub fn first_set(shard: &ShardId, candidates: &[SetMember], size: ToleranceTarget) -> Option<ReplicaSet> {
    let policy = PlacementPolicy { target: size, ..PlacementPolicy::default() };
    policy.first_set(shard, candidates).ok()
}

/// Returns the best store to add to `members` if all stores are in one region: one from the zone with the
/// fewest members, with the highest weight. A set of five in three zones then has at most two members in a
/// zone and tolerates the loss of any zone.
pub fn best_addition(shard: &ShardId, members: &[SetMember], candidates: &[SetMember]) -> Option<SetMember> {
    PlacementPolicy::default().best_addition(shard, members, candidates)
}

/// Returns the weight of a store for a shard, which is the same on every node (highest random weight hashing,
/// Thaler and Ravishankar 1998).
fn weight(shard: &ShardId, candidate: &SetMember) -> u64 {
    xxh3_64(format!("{shard}\n{}", candidate.store).as_bytes())
}

/// Returns whether a store or another store on its node is a member.
fn has_member(members: &[SetMember], candidate: &SetMember) -> bool {
    members.iter().any(|member| member.store == candidate.store || member.node == candidate.node)
}

/// Returns the store with the highest weight of each node, in descending order of weight.
fn best_store_per_node(shard: &ShardId, candidates: &[SetMember]) -> Vec<SetMember> {
    let mut stores = candidates.to_vec();
    stores.sort_by_cached_key(|store| Reverse((weight(shard, store), store.store.clone())));
    let mut seen: BTreeSet<NodeId> = BTreeSet::new();
    stores.retain(|store| seen.insert(store.node.clone()));
    stores
}

/// Returns stores in the order in which they are chosen: evenly from their zones, by weight within a zone.
/// `stores` must be in descending order of weight.
fn interleave_zones(shard: &ShardId, stores: &[SetMember]) -> Vec<SetMember> {
    let mut rounds: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let mut ordered: Vec<(usize, &SetMember)> = Vec::new();
    for store in stores {
        let round = rounds.entry(&store.zone).or_default();
        ordered.push((*round, store));
        *round += 1;
    }
    ordered.sort_by_cached_key(|(round, store)| (*round, Reverse(weight(shard, store)), store.store.clone()));
    ordered.into_iter().map(|(_, store)| store.clone()).collect()
}

/// Returns all ways to choose `members` members from groups of these sizes, starting with those that choose
/// the most from the first group.
fn distributions(capacities: &[usize], members: usize) -> Vec<Vec<usize>> {
    let Some((first, rest)) = capacities.split_first() else {
        return if members == 0 { vec![Vec::new()] } else { Vec::new() };
    };
    let mut found = Vec::new();
    for share in (0..=members.min(*first)).rev() {
        for mut others in distributions(rest, members - share) {
            others.insert(0, share);
            found.push(others);
        }
    }
    found
}
