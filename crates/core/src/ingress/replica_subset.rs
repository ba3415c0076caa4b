//! Divides the replicas of a large deployment among its gateways.
//!
//! If every gateway held every replica, its memory and the updates sent to it would grow with the deployment, and
//! their sum with the product of gateways and replicas. Instead the replicas of each service and zone are divided into
//! partitions by a hash of their names, and a gateway holds one partition of each. It therefore has replicas of every
//! service in every zone, and a lost or evacuated zone affects all gateways alike.
//!
//! The number of partitions is a power of two, so that it rarely changes and a partition is split or joined as a whole.
//! A small deployment has one partition, which contains all replicas.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::replicas::{ReplicaRecord, ReplicaTable};
use crate::identity::NodeId;

/// Minimum average size of a partition, in replicas.
const MIN_REPLICAS: usize = 16;
/// Minimum average number of gateways that hold the same partition. Their requests reach a replica from several sides,
/// so that its load stays even.
const MIN_GATEWAYS: usize = 8;

/// Identifies a layout. Updates of a subset apply only to a subset of the same layout.
pub type LayoutId = u64;

/// Identifies a partition of the replicas of a service and zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionKey {
    /// Hash of the service and zone.
    group: u64,
    /// Index of the partition among those of the service and zone.
    partition: u64,
}

/// The number of partitions of each service and zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubsetLayout {
    /// Binary logarithm of the number of partitions, by service and zone.
    exponents: BTreeMap<String, BTreeMap<String, u32>>,
}

impl SubsetLayout {
    /// Returns the layout for all replicas of a deployment and the number of its gateways.
    pub fn new(all_replicas: &ReplicaTable, gateways: usize) -> Self {
        let mut counts: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
        for record in all_replicas.records.values() {
            *counts.entry(&record.service).or_default().entry(&record.zone).or_default() += 1;
        }
        let mut layout = Self::default();
        for (service, zones) in counts {
            for (zone, replicas) in zones {
                let partitions = (replicas / MIN_REPLICAS).min(gateways / MIN_GATEWAYS);
                let exponent = partitions.checked_ilog2().unwrap_or(0);
                layout.exponents.entry(service.to_owned()).or_default().insert(zone.to_owned(), exponent);
            }
        }
        layout
    }

    /// Returns the id of this layout, or `None` if every gateway holds all replicas.
    pub fn id(&self) -> Option<LayoutId> {
        let zones = self
            .exponents
            .iter()
            .flat_map(|(service, zones)| zones.iter().map(move |(zone, exponent)| (service, zone, exponent)));
        let divided = zones.filter(|(_, _, exponent)| **exponent > 0);
        let parts: Vec<String> =
            divided.map(|(service, zone, exponent)| format!("{service} {zone} {exponent}")).collect();
        (!parts.is_empty()).then(|| xxh3_64(parts.join("\n").as_bytes()))
    }

    /// Returns the partition that a replica is in.
    pub fn partition_of(&self, replica: &ReplicaRecord) -> PartitionKey {
        self.key(&replica.service, &replica.zone, &replica.name)
    }

    /// Returns whether a replica belongs to the subset of a gateway.
    pub fn includes(&self, gateway: &NodeId, replica: &ReplicaRecord) -> bool {
        self.partition_of(replica) == self.key(&replica.service, &replica.zone, gateway.as_str())
    }

    /// Returns the partitions that form the subset of a gateway.
    pub fn partitions_for(&self, gateway: &NodeId) -> Vec<PartitionKey> {
        let zones = |(service, zones): (&'_ String, &'_ BTreeMap<String, u32>)| {
            let keys = zones.keys().map(|zone| self.key(service, zone, gateway.as_str()));
            keys.collect::<Vec<PartitionKey>>()
        };
        self.exponents.iter().flat_map(zones).collect()
    }

    /// Returns the partition of a service and zone that the hash of a name selects.
    fn key(&self, service: &str, zone: &str, name: &str) -> PartitionKey {
        let exponent = self.exponents.get(service).and_then(|zones| zones.get(zone)).copied().unwrap_or(0);
        let seed = xxh3_64_with_seed(zone.as_bytes(), xxh3_64(service.as_bytes()));
        let mask = (1 << exponent) - 1;
        PartitionKey { group: seed, partition: xxh3_64_with_seed(name.as_bytes(), seed) & mask }
    }
}
