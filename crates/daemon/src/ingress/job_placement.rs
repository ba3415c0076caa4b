//! Selects the shard that stores a batch job, and checks that the job can be stored and run in its allowed
//! regions.

use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::routes::{Route, RouteTable};

use super::Ingress;
use super::refusal::Refusal;
use crate::batch::JobShard;

/// Selects the shard that stores a job with these allowed regions.
///
/// # Errors
/// Returns the refusal if the replicas are not known yet, if the regions lack a replica, a coordinator or
/// enough stores, or if a scorer's route doesn't allow all of them.
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
    if !regions.is_all() && !ingress.context.metadata.knows_replicas() {
        return Err(Refusal::ReplicasUnknown);
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

/// Whether the routes of all scorers allow every region of the job. The job stores the scorers' requests, so
/// it must not be stored in a region that a scorer's route excludes.
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
