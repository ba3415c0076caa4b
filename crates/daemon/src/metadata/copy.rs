//! From the objects of a kind to the product's own types.

use std::collections::BTreeMap;
use std::sync::Arc;

use lichenpulley_core::ingress::replicas::ReplicaTable;
use lichenpulley_platform::{configuration, objects, replica};
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind};
use serde_json::Value;

use super::MetadataHandle;

/// Puts a copy into force. An object that can't be read is left out, with a line in the log.
pub(super) fn apply(handle: &MetadataHandle, kind: MetadataKind, copy: &MetadataCopy) {
    let objects = copy.objects.iter().filter_map(|(name, text)| match serde_json::from_str(text) {
        Ok(spec) => Some((name.as_str(), spec)),
        Err(error) => {
            log::warn!(target: "metadata", "The object {name} is not JSON: {error}.");
            None
        }
    });
    let objects: Vec<(&str, Value)> = objects.collect();
    match kind {
        MetadataKind::Configuration => apply_configuration(handle, &objects),
        MetadataKind::Replicas => apply_replicas(handle, &objects),
        MetadataKind::Versions => apply_versions(handle, &objects),
    }
}

/// Invariant: the version in force never goes down.
fn apply_configuration(handle: &MetadataHandle, objects: &[(&str, Value)]) {
    let main = objects.iter().find(|(name, _)| *name == objects::CONFIGURATION_NAME);
    let Some((_, spec)) = main else { return };
    match configuration::read(spec) {
        Ok(table) => {
            let held = handle.routes.load().as_ref().map(|held| held.version);
            if held.is_some_and(|held| held > table.version) {
                return;
            }
            log::info!(target: "metadata", "Configuration {} is in force.", table.version);
            handle.routes.store(Some(Arc::new(table)));
        }
        Err(error) => log::error!(target: "metadata", "The configuration is not taken: {error}."),
    }
}

fn apply_replicas(handle: &MetadataHandle, objects: &[(&str, Value)]) {
    let mut table = ReplicaTable::default();
    for (id, spec) in objects {
        match replica::read_record(id, spec) {
            Ok(record) => drop(table.records.insert((*id).to_owned(), record)),
            Err(error) => log::warn!(target: "metadata", "Replica {id} is left out: {error}."),
        }
    }
    handle.replicas.store(Arc::new(table));
}

fn apply_versions(handle: &MetadataHandle, objects: &[(&str, Value)]) {
    let mut versions = BTreeMap::clone(&handle.versions.load());
    for (name, spec) in objects {
        match objects::read_version(spec) {
            Ok(named) => {
                let held = versions.entry(named.model).or_default();
                *held = named.version.max(*held);
            }
            Err(error) => log::warn!(target: "metadata", "Version {name} is left out: {error}."),
        }
    }
    handle.versions.store(Arc::new(versions));
}
