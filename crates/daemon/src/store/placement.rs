//! By what this node chooses the stores of a shard, and how it reports which losses the chosen ones tolerate.
//!
//! Relies on the core's `replication::placement` for the choice; here are its inputs from settings and live
//! members.

use std::collections::BTreeMap;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{RegionName, ShardId, ZoneName};
use lichenpulley_core::replication::placement::PlacementPolicy;
use lichenpulley_core::replication::quorum::majority;
use lichenpulley_core::replication::replica_set::ReplicaSet;

use crate::context::{Context, NodeContext};

/// The policy of this node: what the settings want, with members near the stores that are most.
pub(crate) fn policy(context: &NodeContext) -> PlacementPolicy {
    let places = &context.settings.places;
    let home = region_of_most_stores(context).or_else(|| places.region.clone());
    PlacementPolicy { target: context.settings.store.set_size, places: places.zones.clone(), home }
}

/// The region from which a shard is best owned: the one where a majority of its members stands, so that
/// appends don't cross to another; before the set is known, the one with the most stores. `None` where there
/// is no such region.
pub(crate) fn home_region(context: &NodeContext, shard: &ShardId) -> Option<RegionName> {
    match context.replica_sets.get(shard) {
        Some(set) => {
            let (region, members) = most_common(context, set.members.iter().map(|member| &member.zone))?;
            (members >= majority(set.members.len())).then_some(region)
        }
        None => region_of_most_stores(context),
    }
}

/// Records which losses a set tolerates in a decision and, where it is less than the settings want, in the log.
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

/// The region with more live stores than any other.
fn region_of_most_stores(context: &NodeContext) -> Option<RegionName> {
    let cluster = context.cluster.load();
    let stores = cluster.members.iter().filter(|member| member.roles.store);
    most_common(context, stores.map(|member| &member.zone)).map(|(region, _)| region)
}

/// The region that most of these zones lie in; `None` where two have as many.
fn most_common<'a>(
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
