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

/// The number of partitions of each service and zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubsetLayout {
    /// Binary logarithm of the number of partitions, by service and zone. One partition is left out.
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
                if exponent > 0 {
                    layout.exponents.entry(service.to_owned()).or_default().insert(zone.to_owned(), exponent);
                }
            }
        }
        layout
    }

    /// Returns the id of this layout, or `None` if every gateway holds all replicas.
    pub fn id(&self) -> Option<LayoutId> {
        if self.exponents.is_empty() {
            return None;
        }
        let zones = |(service, zones): (&String, &BTreeMap<String, u32>)| format!("{service}: {zones:?}");
        let text: Vec<String> = self.exponents.iter().map(zones).collect();
        Some(xxh3_64(text.join("\n").as_bytes()))
    }

    /// Returns whether a replica belongs to the subset of a gateway.
    pub fn includes(&self, gateway: &NodeId, replica: &ReplicaRecord) -> bool {
        let zones = self.exponents.get(&replica.service);
        let Some(exponent) = zones.and_then(|zones| zones.get(&replica.zone)) else { return true };
        let seed = xxh3_64_with_seed(replica.zone.as_bytes(), xxh3_64(replica.service.as_bytes()));
        let partition = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed) & ((1 << exponent) - 1);
        partition(gateway.as_str()) == partition(&replica.name)
    }
}
