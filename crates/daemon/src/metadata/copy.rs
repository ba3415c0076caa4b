//! Decodes a copy of the platform's objects and publishes the result through the handle.
//!
//! The `platform` crate defines the formats. An object that can't be decoded is skipped with a log line. The
//! version of the configuration in force never decreases.

use std::collections::BTreeMap;
use std::sync::Arc;

use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_platform::{configuration, objects, quarantine, replica};
use lichenpulley_protocol::internal::MetadataKind;
use serde_json::Value;

use super::handle::MetadataHandle;
use super::history::CopyHistory;
use crate::quarantine::records::QuarantineRecords;

/// Applies a copy of the replicas. Decodes only the changed records, since typically few of thousands change at a
/// time. Returns whether a name now stands for a replica of another service or zone.
pub(super) fn apply_replicas(handle: &MetadataHandle, copy: &CopyHistory, changed: &[Arc<str>]) -> bool {
    let mut has_moved = false;
    let mut table = ReplicaTable::clone(&handle.replicas.load());
    table.layout = copy.layout();
    for name in changed {
        let before = table.remove_named(name);
        let record = copy.objects().get(name).and_then(|text| read_replica(name, text));
        let Some(record) = record else { continue };
        has_moved |=
            before.is_some_and(|before| before.service != record.service || before.zone != record.zone);
        table.insert(record);
    }
    handle.replicas.store(Arc::new(table));
    has_moved
}

fn read_replica(name: &str, text: &str) -> Option<ReplicaRecord> {
    let record = serde_json::from_str(text).map_err(|error| error.to_string());
    match record.and_then(|spec| replica::read_record(name, &spec).map_err(|error| error.to_string())) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(target: "metadata", "Entry {name} is not a valid replica and is ignored; correct it in the metadata store: {error}.");
            None
        }
    }
}

/// Decodes a copy of another kind than replicas and publishes it. Objects that can't be decoded are skipped and logged.
pub(super) fn apply(handle: &MetadataHandle, kind: MetadataKind, copy: &CopyHistory) {
    let objects = copy.objects().iter().filter_map(|(name, text)| match serde_json::from_str(text) {
        Ok(spec) => Some((&**name, spec)),
        Err(error) => {
            log::warn!(target: "metadata", "Object {name} is not JSON and is ignored; correct it in the metadata store: {error}.");
            None
        }
    });
    let objects: Vec<(&str, Value)> = objects.collect();
    match kind {
        MetadataKind::Configuration => apply_configuration(handle, &objects),
        MetadataKind::Replicas => {}
        MetadataKind::Versions => apply_versions(handle, &objects),
        MetadataKind::Evacuations => apply_evacuations(handle, &objects),
        MetadataKind::Quarantine => apply_quarantine(handle, &objects),
    }
}

/// Applies the evacuations. Each object names a zone, which is evacuated while the object exists.
fn apply_evacuations(handle: &MetadataHandle, objects: &[(&str, Value)]) {
    let zones = objects.iter().map(|(zone, _)| (*zone).to_owned()).collect();
    handle.evacuated.store(Arc::new(EvacuatedZones { zones }));
}

fn apply_quarantine(handle: &MetadataHandle, objects: &[(&str, Value)]) {
    let mut records = BTreeMap::new();
    for (name, spec) in objects {
        match quarantine::read_record(spec) {
            Ok(record) => {
                records.insert((*name).to_owned(), record);
            }
            Err(error) => log::warn!(target: "metadata", "Quarantine record {name} is ignored: {error}."),
        }
    }
    handle.quarantine.store(Arc::new(QuarantineRecords::new(records)));
}

/// Applies the configuration unless a later version is in force: the version never decreases.
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
        Err(error) => log::error!(target: "metadata", "The invalid configuration is ignored: {error}."),
    }
}

fn apply_versions(handle: &MetadataHandle, objects: &[(&str, Value)]) {
    let mut versions = BTreeMap::clone(&handle.versions.load());
    for (name, spec) in objects {
        match objects::read_version(spec) {
            Ok(named) => {
                let held = versions.entry(named.model).or_default();
                *held = named.version.max(*held);
            }
            Err(error) => log::warn!(target: "metadata", "Version {name} is ignored: {error}."),
        }
    }
    handle.versions.store(Arc::new(versions));
}
