//! Batch jobs that may be kept in some regions only: which shard keeps them.
//!
//! Each set of allowed regions has a shard of its own, whose log, owner and followers stand in these regions.
//! The name of the shard tells the regions, so that whoever meets the name, a store that chooses members
//! among them, knows the bounds without the configuration in force.

use std::collections::BTreeSet;

use crate::identity::{RegionName, ShardId};
use crate::ingress::places::{AllowedRegions, ZoneMap};
use crate::ingress::routes::{RouteKind, RouteTable};

/// The shard of the jobs that may be kept anywhere.
const MAIN: &str = "batch/main";
/// The beginning of the names of the others.
const REGIONAL_PREFIX: &str = "batch/in/";
/// More shards than these are not kept at a time: each has an owner and a log of its own. Chosen, not
/// measured: more cost every coordinator memory and questions to stores.
pub const MAX_SHARDS: usize = 16;

/// The shard of the jobs that may be kept in these regions.
pub fn shard_of(regions: &AllowedRegions) -> ShardId {
    if regions.is_all() {
        return ShardId::new(MAIN);
    }
    let names: Vec<String> = regions.named().map(|region| escape(region.as_str())).collect();
    ShardId::new(format!("{REGIONAL_PREFIX}{}", names.join("/")))
}

/// Where what a shard keeps may stand. Every region for shards that are none of batch jobs.
pub fn regions_of(shard: &ShardId) -> AllowedRegions {
    let Some(names) = shard.as_str().strip_prefix(REGIONAL_PREFIX) else { return AllowedRegions::all() };
    AllowedRegions::of(names.split('/').map(|name| RegionName::new(unescape(name))))
}

/// The sets of regions, besides that of all, that batch jobs may be bound to by a configuration: those of its
/// routes, each together with those of each tenant. In the order of their names; more than [`MAX_SHARDS`] may
/// come back.
pub fn region_sets(routes: &RouteTable) -> BTreeSet<AllowedRegions> {
    let batch = routes.routes.iter().filter(|route| route.kind == RouteKind::Batch);
    let tenants = routes.tenants.as_ref().map_or(&[][..], |directory| directory.tenants());
    let sets = batch.flat_map(|route| {
        let of_tenants = tenants.iter().map(|tenant| route.regions.intersect(&tenant.regions));
        // Callers without a tenant are bound by the route alone.
        let alone = (routes.tenants.is_none() || route.is_public).then(|| route.regions.clone());
        of_tenants.chain(alone).collect::<Vec<_>>()
    });
    sets.filter(|regions| !regions.is_all() && !regions.is_nowhere()).collect()
}

/// Regions that routes or tenants name and that hold no zone: nothing is served or kept there.
pub fn unknown_regions<'a>(routes: &'a RouteTable, zones: &ZoneMap) -> BTreeSet<&'a RegionName> {
    let tenants = routes.tenants.as_ref().map_or(&[][..], |directory| directory.tenants());
    let of_tenants = tenants.iter().flat_map(|tenant| tenant.regions.named());
    let named = routes.routes.iter().flat_map(|route| route.regions.named()).chain(of_tenants);
    let known = zones.regions();
    named.filter(|region| !known.contains(region)).collect()
}

/// The name with every sign that is no letter, digit or hyphen as its number, so that names can be told apart
/// again.
fn escape(name: &str) -> String {
    let is_plain = |sign: char| sign.is_ascii_alphanumeric() || sign == '-';
    name.chars()
        .map(|sign| if is_plain(sign) { sign.to_string() } else { format!("_{:x}_", u32::from(sign)) })
        .collect()
}

fn unescape(name: &str) -> String {
    let number = |part: &str| u32::from_str_radix(part, 16).ok().and_then(char::from_u32);
    let parts = name.split('_').enumerate();
    let parts = parts.map(|(position, part)| match number(part).filter(|_| position % 2 == 1) {
        Some(sign) => sign.to_string(),
        None => part.to_owned(),
    });
    parts.collect()
}
