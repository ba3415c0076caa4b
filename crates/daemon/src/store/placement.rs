//! Placement of a shard's replica set: inputs from settings and live members, and reports of the fault
//! tolerance of the chosen set.
//!
//! The core's `replication::placement` makes the choice.

use std::collections::BTreeMap;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{RegionName, ShardId, ZoneName};
use lichenpulley_core::replication::placement::PlacementPolicy;
use lichenpulley_core::replication::quorum::majority;
use lichenpulley_core::replication::replica_set::ReplicaSet;

use crate::context::{Context, NodeContext};

/// Returns the placement policy from the settings, which prefers members in the region with the most live
/// stores.
pub(crate) fn policy(context: &NodeContext) -> PlacementPolicy {
    let places = &context.settings.places;
    let home = region_of_most_stores(context).or_else(|| places.region.clone());
    PlacementPolicy { target: context.settings.store.set_size, places: places.zones.clone(), home }
}

/// Returns the region that should own a shard: the one with a majority of the set's members, so that appends
/// need not cross regions, or, if the set is unknown, the one with the most stores. Returns `None` if there
/// is no such region.
pub(crate) fn home_region(context: &NodeContext, shard: &ShardId) -> Option<RegionName> {
    match context.replica_sets.get(shard) {
        Some(set) => {
            let (region, members) =
                most_common_region(context, set.members.iter().map(|member| &member.zone))?;
            (members >= majority(set.members.len())).then_some(region)
        }
        None => region_of_most_stores(context),
    }
}

/// Records the fault tolerance of a set in a decision, and logs a warning if it is lower than the settings
/// require.
pub(crate) fn record_placement(context: &Context, set: &ReplicaSet, action: &str, reason: &str) {
    let policy = policy(context);
    let tolerance = policy.fault_tolerance(&set.members);
    let wanted = policy.target.members();
    let nodes: Vec<&str> = set.members.iter().map(|member| member.node.as_str()).collect();
    let decision = Decision::new(Component::Replication, action, reason, &set.shard);
    let decision = decision.with("nodes", nodes.join(" ")).with("members", nodes.len());
    let decision = decision.with("least_wanted", wanted).with("bears_disks", tolerance.disks);
    let decision = decision.with("bears_zones", tolerance.zones).with("bears_regions", tolerance.regions);
    context.decisions.record(decision);
    if let Err(shortfall) = policy.check(&set.members) {
        log::warn!(target: "store", "Shard {}: {shortfall}.", set.shard);
    }
}

/// Returns the region with more live stores than any other.
fn region_of_most_stores(context: &NodeContext) -> Option<RegionName> {
    let cluster = context.cluster.load();
    let stores = cluster.members.iter().filter(|member| member.roles.store);
    most_common_region(context, stores.map(|member| &member.zone)).map(|(region, _)| region)
}

/// Returns the region with the most of these zones and their number; `None` if two regions are tied.
fn most_common_region<'a>(
    context: &NodeContext,
    zones: impl Iterator<Item = &'a ZoneName>,
) -> Option<(RegionName, usize)> {
    let places = &context.settings.places.zones;
    let mut counts: BTreeMap<&RegionName, usize> = BTreeMap::new();
    for region in zones.filter_map(|zone| places.region(zone.as_str())) {
        *counts.entry(region).or_default() += 1;
    }
    let most = counts.values().copied().max()?;
    let mut greatest = counts.into_iter().filter(|(_, count)| *count == most);
    let (region, _) = greatest.next()?;
    greatest.next().is_none().then(|| (region.clone(), most))
}
