//! What losses a replica set tolerates: how many disks, zones or regions may be lost while the others still
//! decide.
//!
//! Computed from the members and the regions of their zones alone; [`placement`](super::placement) chooses
//! members by it.

use std::collections::BTreeMap;
use std::fmt;

use super::quorum::majority;
use super::replica_set::SetMember;
use crate::identity::RegionName;
use crate::ingress::places::ZoneMap;

/// The losses that a replica set should tolerate, each by itself.
///
/// Invariant: where a set tolerates them, that many members may lose their disks at once, or so many zones or
/// regions, and the members that are left are a majority, which holds each decided entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToleranceTarget {
    disks: usize,
    zones: usize,
    regions: usize,
}

impl ToleranceTarget {
    /// The smallest set that tolerates the loss of this many disks at once.
    pub const fn tolerating(disks: usize) -> Self {
        Self { disks, zones: 0, regions: 0 }
    }

    /// The same set, which should also tolerate the loss of this many zones.
    #[must_use]
    pub const fn with_zones(self, zones: usize) -> Self {
        Self { zones, ..self }
    }

    /// The same set, which should also tolerate the loss of this many regions.
    #[must_use]
    pub const fn with_regions(self, regions: usize) -> Self {
        Self { regions, ..self }
    }

    /// Members that the loss of disks asks for; zones and regions may ask for more.
    pub const fn members(self) -> usize {
        2 * self.disks + 1
    }

    /// Members that decide together in a set of so many as the loss of disks asks for. Where fewer stores
    /// stand, the majority of a set follows from its own members.
    pub const fn majority(self) -> usize {
        self.disks + 1
    }

    /// The fewest members of a set that is made where fewer stores stand than are wanted: with one more than
    /// the disks that may be lost, a copy of what all members hold outlives the loss.
    pub const fn minimum_members(self) -> usize {
        self.disks + 1
    }
}

impl Default for ToleranceTarget {
    /// Three members, of which one may be lost.
    fn default() -> Self {
        Self::tolerating(1)
    }
}

impl fmt::Display for ToleranceTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} disks, {} zones or {} regions", self.disks, self.zones, self.regions)
    }
}

/// Why a set tolerates less than it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "its {members} members tolerate the loss of {tolerance}, and {wanted} are wanted; start stores in other zones or \
     regions, or lower store.tolerated_losses, store.tolerated_zones or store.tolerated_regions"
)]
pub struct Shortfall {
    /// How many members it has.
    pub members: usize,
    /// What it tolerates.
    pub tolerance: FaultTolerance,
    /// What it should tolerate.
    pub wanted: ToleranceTarget,
}

/// What a set tolerates, each loss by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Disks, or machines.
    pub disks: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

impl FaultTolerance {
    /// What these members tolerate.
    pub fn of(members: &[SetMember], places: &ZoneMap) -> Self {
        let spread = MemberSpread::of(members, places);
        let spare = spread.spare();
        Self {
            disks: spare,
            zones: groups_within(&spread.in_zones, spare),
            regions: groups_within(&spread.in_regions, spare),
        }
    }

    /// Whether every loss that is asked for is tolerated.
    pub const fn covers(self, target: ToleranceTarget) -> bool {
        self.disks >= target.disks && self.zones >= target.zones && self.regions >= target.regions
    }
}

impl fmt::Display for FaultTolerance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} disks, {} zones or {} regions", self.disks, self.zones, self.regions)
    }
}

/// How members are spread over zones and regions.
pub(super) struct MemberSpread {
    members: usize,
    /// Members in each zone, the most first.
    in_zones: Vec<usize>,
    /// Members in each region, the most first.
    in_regions: Vec<usize>,
}

impl MemberSpread {
    /// The spread of these members. Zones that the map does not name count as one region.
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
            in_zones: most_first(zones.into_values()),
            in_regions: most_first(regions.into_values()),
        }
    }

    /// How many members more than may be lost would go with the greatest zones or regions that should be
    /// tolerated; 0 where all of these are.
    pub(super) fn excess(&self, target: ToleranceTarget) -> usize {
        let beyond = |groups: &[usize], lost: usize| {
            groups.iter().take(lost).sum::<usize>().saturating_sub(self.spare())
        };
        beyond(&self.in_zones, target.zones) + beyond(&self.in_regions, target.regions)
    }

    /// Whether a majority stands in one region.
    pub(super) fn has_regional_majority(&self) -> bool {
        self.in_regions.first().is_some_and(|most| *most >= majority(self.members))
    }

    /// Members that may be lost.
    const fn spare(&self) -> usize {
        self.members.saturating_sub(majority(self.members))
    }
}

fn most_first(counts: impl Iterator<Item = usize>) -> Vec<usize> {
    let mut counts: Vec<usize> = counts.collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    counts
}

/// How many of the greatest groups hold no more than `spare` members together.
fn groups_within(groups: &[usize], spare: usize) -> usize {
    let mut lost = 0;
    let is_tolerated = |count: &&usize| {
        lost += **count;
        lost <= spare
    };
    groups.iter().take_while(is_tolerated).count()
}
