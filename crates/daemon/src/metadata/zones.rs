//! Evacuated zones as known to this node, and the operator's changes of them.
//!
//! Reads the evacuations in force from the node's metadata and writes changes to the metadata store.

use std::collections::BTreeMap;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_platform::objects;
use lichenpulley_protocol::internal::MetadataKind;
use lichenpulley_protocol::operator::{ZoneState, ZoneStatus};
use tokio::time::Instant;

use super::client::MetadataClient;
use crate::configuration::platform::{PlatformError, WriteError};
use crate::context::Context;
use lichenpulley_core::time::whole_millis;

/// Records decisions and metrics for zones that have been evacuated or returned, once that is in force on
/// this node.
pub(super) fn record_changes(context: &Context, before: &EvacuatedZones, revision: u64, through: &str) {
    let after = context.metadata.evacuated.load();
    context.metrics.set_evacuated_zones(after.zones.len());
    let times = &context.metadata.evacuation_times;
    for zone in after.zones.difference(&before.zones) {
        times.by_zone().insert(zone.clone(), (Instant::now(), through.to_owned()));
        record(context, "zone_evacuated", zone, revision, through);
        if !is_known(context, zone) {
            log::warn!(target: "metadata", "Zone {zone} is evacuated, but no replica or node is in it: check the zone's name.");
        }
    }
    for zone in before.zones.difference(&after.zones) {
        times.by_zone().remove(zone);
        record(context, "zone_returned", zone, revision, through);
    }
}

fn record(context: &Context, action: &str, zone: &str, revision: u64, through: &str) {
    let decision = Decision::new(Component::Routing, action, "operator", zone)
        .with("replicas", replicas_in(context, zone))
        .with("revision", revision)
        .with("through", through);
    context.decisions.record(decision);
}

fn replicas_in(context: &Context, zone: &str) -> usize {
    let replicas = context.metadata.replicas.load();
    replicas.records.values().filter(|record| record.zone == zone).count()
}

/// Returns whether any replica or node is in a zone.
pub(crate) fn is_known(context: &Context, zone: &str) -> bool {
    let cluster = context.cluster.load();
    replicas_in(context, zone) > 0 || cluster.members.iter().any(|member| member.zone.as_str() == zone)
}

/// Returns the status of all zones that this node knows.
pub fn list(context: &Context) -> Vec<ZoneStatus> {
    let metadata = &context.metadata;
    let (evacuated, replicas) = (metadata.evacuated.load(), metadata.replicas.load());
    let mut zones: BTreeMap<String, ZoneStatus> = BTreeMap::new();
    let mut names: Vec<String> = evacuated.zones.iter().cloned().collect();
    names.extend(replicas.records.values().map(|record| record.zone.clone()));
    names.extend(context.cluster.load().members.iter().map(|member| member.zone.to_string()));
    let age = u64::try_from(metadata.age(MetadataKind::Evacuations).as_millis()).ok();
    let learned = metadata.evacuation_times.by_zone();
    for name in names {
        let since = learned.get(&name);
        let state = if !metadata.knows_evacuations() {
            ZoneState::Unknown
        } else if evacuated.zones.contains(&name) {
            ZoneState::Evacuated
        } else {
            ZoneState::Open
        };
        zones.entry(name.clone()).or_insert_with(|| ZoneStatus {
            replicas: replicas.records.values().filter(|record| record.zone == name).count(),
            state,
            evacuated_for_ms: since.map(|(at, _)| whole_millis(at.elapsed())),
            through: since.map(|(_, through)| through.clone()),
            age_ms: age,
            zone: name,
        });
    }
    zones.into_values().collect()
}

/// Writes an evacuation of a zone to the metadata store.
///
/// # Errors
/// As for [`MetadataClient::write`]; a conflict means that the evacuation exists already.
pub async fn evacuate(client: &MetadataClient, zone: &str) -> Result<(), WriteError> {
    client.write(objects::EVACUATIONS, zone, None, objects::evacuation_spec()).await
}

/// Removes the evacuation of a zone from the metadata store.
///
/// # Errors
/// As for [`MetadataClient::delete`].
pub async fn readmit(client: &MetadataClient, zone: &str) -> Result<(), WriteError> {
    client.delete(objects::EVACUATIONS, zone).await
}

/// Returns whether the metadata store holds an evacuation of a zone.
///
/// # Errors
/// When no answer comes in time.
pub(crate) async fn is_evacuation_requested(
    client: &MetadataClient,
    zone: &str,
) -> Result<bool, PlatformError> {
    client.read(objects::EVACUATIONS, zone).await.map(|object| object.is_some())
}
