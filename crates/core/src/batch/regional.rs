//! Assigns batch jobs that are restricted to certain regions to shards.
//!
//! Each set of allowed regions has its own shard, whose log, owner and followers are located in these
//! regions. The name of the shard encodes the regions, so that a store can choose members for it without the
//! current configuration.

use std::collections::BTreeSet;

use crate::identity::{RegionName, ShardId};
use crate::ingress::places::{AllowedRegions, ZoneMap};
use crate::ingress::routes::{RouteKind, RouteTable};

/// Name of the shard for jobs without regional restrictions.
const MAIN_SHARD: &str = "batch/main";
/// Prefix of the names of regional shards.
const REGIONAL_PREFIX: &str = "batch/in/";
/// Maximum number of regional shards; each has its own owner and log and costs every coordinator memory and
/// requests.
pub const MAX_SHARDS: usize = 16;

/// Returns the shard for jobs that are restricted to these regions.
pub fn shard_of(regions: &AllowedRegions) -> ShardId {
    if regions.is_all() {
        return ShardId::new(MAIN_SHARD);
    }
    let names: Vec<String> = regions.named().map(|region| escape(region.as_str())).collect();
    ShardId::new(format!("{REGIONAL_PREFIX}{}", names.join("/")))
}

/// Returns the regions in which a shard's data may be stored. Shards of other kinds are unrestricted.
pub fn regions_of(shard: &ShardId) -> AllowedRegions {
    let Some(names) = shard.as_str().strip_prefix(REGIONAL_PREFIX) else { return AllowedRegions::all() };
    AllowedRegions::of(names.split('/').map(|name| RegionName::new(unescape(name))))
}

/// Returns the region sets that batch jobs may be restricted to: those of each batch route, intersected with
/// those of each tenant. The unrestricted set is omitted. Sorted; may return more than [`MAX_SHARDS`].
pub fn region_sets(routes: &RouteTable) -> BTreeSet<AllowedRegions> {
    let batch = routes.routes.iter().filter(|route| route.kind == RouteKind::Batch);
    let tenants = routes.tenants.as_ref().map_or(&[][..], |directory| directory.tenants());
    let sets = batch.flat_map(|route| {
        let of_tenants = tenants.iter().map(|tenant| route.regions.intersect(&tenant.regions));
        // Callers without a tenant are restricted by the route only.
        let route_only = (routes.tenants.is_none() || route.is_public).then(|| route.regions.clone());
        of_tenants.chain(route_only).collect::<Vec<_>>()
    });
    sets.filter(|regions| !regions.is_all() && !regions.allows_none()).collect()
}

/// Returns the regions named by routes or tenants that contain no zone. Nothing is served or stored there.
pub fn unknown_regions<'a>(routes: &'a RouteTable, zones: &ZoneMap) -> BTreeSet<&'a RegionName> {
    let tenants = routes.tenants.as_ref().map_or(&[][..], |directory| directory.tenants());
    let of_tenants = tenants.iter().flat_map(|tenant| tenant.regions.named());
    let named = routes.routes.iter().flat_map(|route| route.regions.named()).chain(of_tenants);
    let known = zones.regions();
    named.filter(|region| !known.contains(region)).collect()
}

/// Escapes every character that is not a letter, digit or hyphen as its code point, so that names stay
/// distinct.
fn escape(name: &str) -> String {
    let is_plain = |character: char| character.is_ascii_alphanumeric() || character == '-';
    name.chars()
        .map(|character| {
            if is_plain(character) { character.to_string() } else { format!("_{:x}_", u32::from(character)) }
        })
        .collect()
}

fn unescape(name: &str) -> String {
    let number = |part: &str| u32::from_str_radix(part, 16).ok().and_then(char::from_u32);
    let parts = name.split('_').enumerate();
    let parts = parts.map(|(position, part)| match number(part).filter(|_| position % 2 == 1) {
        Some(character) => character.to_string(),
        None => part.to_owned(),
    });
    parts.collect()
}
