//! Whether a batch job can be kept and run in its allowed regions, and which shard keeps it.
//!
//! Relies on the route table for regions, on the metadata for replicas and on `batch` for the shards.

use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::routes::{Route, RouteTable};

use super::Ingress;
use super::refusal::Refusal;
use crate::batch::JobShard;

/// The shard that keeps a job of these regions.
///
/// # Errors
/// Where no replica, coordinator or store stands in them, or a scorer may be served in fewer of them.
pub(super) fn shard(
    ingress: &Ingress,
    table: &RouteTable,
    route: &Route,
    regions: &AllowedRegions,
    job: &BatchJob,
) -> Result<JobShard, Refusal> {
    if !scorers_fit(table, regions, job) {
        return Err(Refusal::ScorerRegions);
    }
    if !regions.is_all() && !has_replica(ingress, route, regions) {
        return Err(Refusal::OutsideRegions);
    }
    let shard = ingress.batch.shard(regions).ok_or(Refusal::NoPlace)?;
    let shortage = if regions.is_all() { None } else { shard.scope.shortage() };
    match shortage {
        None => Ok(shard),
        Some(shortage) => {
            ::log::warn!(target: "batch", "Batch job {} can't be kept in {regions}: {shortage}.", job.id);
            Err(Refusal::NoPlace)
        }
    }
}

/// Whether what a job keeps for its scorers may be kept wherever the job is. Invariant: a request of a bound
/// route is never kept by a job that is bound less.
fn scorers_fit(table: &RouteTable, regions: &AllowedRegions, job: &BatchJob) -> bool {
    job.items.iter().filter_map(|item| item.scorer.as_ref()).all(|scorer| {
        let route = table.find(&scorer.host, &scorer.path);
        let allowed = route.map(|route| table.allowed_regions(route, job.tenant.as_ref()));
        allowed.is_none_or(|allowed| allowed.includes(regions))
    })
}

fn has_replica(ingress: &Ingress, route: &Route, regions: &AllowedRegions) -> bool {
    let zones = &ingress.context.settings.places.zones;
    let replicas = ingress.context.metadata.replicas.load();
    let mut services = route.services.iter();
    services.any(|part| replicas.ready(&part.service).any(|record| regions.allows_zone(zones, &record.zone)))
}
