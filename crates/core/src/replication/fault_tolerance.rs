//! Fault tolerance of a replica set: how many disks, zones or regions may be lost while a majority remains.
//!
//! Computed from the members and the regions of their zones only. [`placement`](super::placement) uses it to
//! choose members.

use std::collections::BTreeMap;
use std::fmt;

use super::quorum::majority;
use super::replica_set::SetMember;
use crate::identity::RegionName;
use crate::ingress::places::ZoneMap;

/// The losses that a replica set should tolerate, each on its own.
///
/// Invariant: if a set meets the target, then after the loss of that many disks, zones or regions at once,
/// the remaining members are a majority, so they include a copy of every decided entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToleranceTarget {
    disks: usize,
    zones: usize,
    regions: usize,
}

impl ToleranceTarget {
    /// Creates a target that tolerates the loss of this many disks at once.
    pub const fn tolerating(disks: usize) -> Self {
        Self { disks, zones: 0, regions: 0 }
    }

    /// Sets how many zones may be lost.
    #[must_use]
    pub const fn with_zones(self, zones: usize) -> Self {
        Self { zones, ..self }
    }

    /// Sets how many regions may be lost.
    #[must_use]
    pub const fn with_regions(self, regions: usize) -> Self {
        Self { regions, ..self }
    }

    /// Returns the number of members required by the loss of disks. Zones and regions may require more.
    pub const fn members(self) -> usize {
        2 * self.disks + 1
    }

    /// Returns the majority of a set of [`members`](Self::members) members. A set of another size has another
    /// majority.
    pub const fn majority(self) -> usize {
        self.disks + 1
    }

    /// Returns the minimum size of a new set when there are fewer stores than the target requires. With one
    /// member more than the disks that may be lost, one copy of what all members hold survives the loss.
    pub const fn minimum_members(self) -> usize {
        self.disks + 1
    }
}

impl Default for ToleranceTarget {
    /// Returns the target of three members, of which one may be lost.
    fn default() -> Self {
        Self::tolerating(1)
    }
}

impl fmt::Display for ToleranceTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} disks, {} zones or {} regions", self.disks, self.zones, self.regions)
    }
}

/// The error of a set that does not meet its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "its {members} members tolerate the loss of {tolerance}, and {wanted} are wanted; start stores in other zones or \
     regions, or lower store.tolerated_losses, store.tolerated_zones or store.tolerated_regions"
)]
pub struct Shortfall {
    /// The number of members.
    pub members: usize,
    /// The losses that the set tolerates.
    pub tolerance: FaultTolerance,
    /// The losses that the set should tolerate.
    pub wanted: ToleranceTarget,
}

/// The losses that a set tolerates, each on its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of disks or machines.
    pub disks: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
}

impl FaultTolerance {
    /// Computes the tolerance of these members.
    pub fn of(members: &[SetMember], places: &ZoneMap) -> Self {
        let spread = MemberSpread::of(members, places);
        let spare = spread.spare();
        Self {
            disks: spare,
            zones: tolerated_groups(&spread.zone_sizes, spare),
            regions: tolerated_groups(&spread.region_sizes, spare),
        }
    }

    /// Returns whether the tolerance meets the target.
    pub const fn covers(self, target: ToleranceTarget) -> bool {
        self.disks >= target.disks && self.zones >= target.zones && self.regions >= target.regions
    }
}

impl fmt::Display for FaultTolerance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} disks, {} zones or {} regions", self.disks, self.zones, self.regions)
    }
}

/// The distribution of members over zones and regions.
pub(super) struct MemberSpread {
    members: usize,
    /// The number of members in each zone, in descending order.
    zone_sizes: Vec<usize>,
    /// The number of members in each region, in descending order.
    region_sizes: Vec<usize>,
}

impl MemberSpread {
    /// Computes the distribution of these members. All zones without a known region count as one region.
    pub(super) fn of(members: &[SetMember], places: &ZoneMap) -> Self {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        let mut regions: BTreeMap<Option<&RegionName>, usize> = BTreeMap::new();
        for member in members {
            let zone = member.zone.as_str();
            *zones.entry(zone).or_default() += 1;
            *regions.entry(places.region(zone)).or_default() += 1;
        }
        Self {
            members: members.len(),
            zone_sizes: sorted_descending(zones.into_values()),
            region_sizes: sorted_descending(regions.into_values()),
        }
    }

    /// Returns how many members too many are lost with the largest zones or regions whose loss the target
    /// requires to be tolerated; 0 if the target for zones and regions is met.
    pub(super) fn excess(&self, target: ToleranceTarget) -> usize {
        let excess_of = |groups: &[usize], lost: usize| {
            groups.iter().take(lost).sum::<usize>().saturating_sub(self.spare())
        };
        excess_of(&self.zone_sizes, target.zones) + excess_of(&self.region_sizes, target.regions)
    }

    /// Returns whether one region has a majority of the members.
    pub(super) fn has_regional_majority(&self) -> bool {
        self.region_sizes.first().is_some_and(|most| *most >= majority(self.members))
    }

    /// Returns the number of members that may be lost.
    const fn spare(&self) -> usize {
        self.members.saturating_sub(majority(self.members))
    }
}

fn sorted_descending(counts: impl Iterator<Item = usize>) -> Vec<usize> {
    let mut counts: Vec<usize> = counts.collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    counts
}

/// Returns how many of the largest groups have at most `spare` members together. `groups` is in descending
/// order.
fn tolerated_groups(groups: &[usize], spare: usize) -> usize {
    let mut lost = 0;
    let is_tolerated = |count: &&usize| {
        lost += **count;
        lost <= spare
    };
    groups.iter().take_while(is_tolerated).count()
}
