//! Endpoint that lists the regions with their nodes and replicas, the shards of batch jobs and their stores, and the requests
//! refused because of their regions.
//!
//! Shows the view of this node; the owner of each shard is queried from the stores.

use futures::future::join_all;
use hyper::{Response, StatusCode};
use lichenpulley_core::ingress::places::ZoneMap;
use lichenpulley_protocol::operator::{BatchShardStatus, RegionStatus, RegionsDocument};

use crate::batch::BatchJobs;
use crate::batch::candidate;
use crate::context::Context;
use crate::http::{Body, response};
use crate::ownership::scope::Scope;
use crate::store::replica_sets;

/// Name that groups nodes and replicas of zones without a region.
const NO_REGION: &str = "-";

/// Lists the regions, the shards of batch jobs and the refusals.
pub(super) async fn list(context: &Context, batch: &BatchJobs) -> Response<Body> {
    let scopes = batch.scopes();
    let shards = join_all(scopes.iter().map(shard_status)).await;
    let refusals = context.metrics.region_refusals();
    let document = RegionsDocument { regions: region_statuses(context), shards, refusals };
    response::json(StatusCode::OK, &document)
}

fn region_statuses(context: &Context) -> Vec<RegionStatus> {
    let map = &context.settings.places.zones;
    let mut regions: Vec<RegionStatus> =
        map.regions().into_iter().map(|region| empty_status(region.as_str())).collect();
    regions.push(empty_status(NO_REGION));
    for status in &mut regions {
        let zones = map.zones().filter(|(_, region)| region.as_str() == status.region);
        status.zones = zones.map(|(zone, _)| zone.to_owned()).collect();
        let is_in_region = |zone: &str| region_of(map, zone) == status.region;
        let cluster = context.cluster.load();
        for member in cluster.members.iter().filter(|member| is_in_region(member.zone.as_str())) {
            status.nodes += 1;
            status.coordinators += usize::from(member.roles.coordinator);
            status.stores += usize::from(member.roles.store);
        }
        let replicas = context.metadata.replicas.load();
        let ready = replicas.records.values().filter(|record| !record.is_draining);
        status.replicas = ready.filter(|record| is_in_region(&record.zone)).count();
    }
    regions.retain(|status| status.region != NO_REGION || status.nodes + status.replicas > 0);
    regions
}

fn region_of<'a>(map: &'a ZoneMap, zone: &str) -> &'a str {
    map.region(zone).map_or(NO_REGION, |region| region.as_str())
}

fn empty_status(region: &str) -> RegionStatus {
    let region = region.to_owned();
    RegionStatus { region, zones: Vec::new(), nodes: 0, coordinators: 0, stores: 0, replicas: 0 }
}

async fn shard_status(scope: &Scope) -> BatchShardStatus {
    let owner = candidate::ask_stores(scope).await.owner().cloned();
    let set = replica_sets::find_among_stores(&scope.context, &scope.shard).await;
    let stores = set.into_iter().flat_map(|set| set.members).map(|member| member.node);
    BatchShardStatus {
        shard: scope.shard.to_string(),
        regions: scope.regions.to_string(),
        owner,
        stores: stores.collect(),
        shortage: scope.shortage().map(|shortage| shortage.to_string()),
    }
}
