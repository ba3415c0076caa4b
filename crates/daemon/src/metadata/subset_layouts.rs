//! How a node divides the replicas among the gateways that follow it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use lichenpulley_core::ingress::replica_subset::{PartitionKey, SubsetLayout};
use lichenpulley_core::ingress::replicas::ReplicaTable;

/// The division of the current replicas, computed once for all followers.
#[derive(Debug, Default)]
pub(super) struct SubsetLayouts {
    latest: Mutex<Option<Arc<DividedTable>>>,
}

/// A table of all replicas and its division among the gateways.
#[derive(Debug)]
pub(super) struct DividedTable {
    /// The replicas.
    pub(super) table: Arc<ReplicaTable>,
    /// The layout.
    pub(super) layout: SubsetLayout,
    /// Binary logarithm of the number of gateways. The layout is the same for all numbers with this logarithm.
    gateways_log2: u32,
    /// The names of the replicas by partition.
    partitions: HashMap<PartitionKey, Vec<String>>,
}

impl SubsetLayouts {
    /// Returns the division of these replicas for this number of gateways.
    pub(super) fn divide(&self, table: &Arc<ReplicaTable>, gateways: usize) -> Arc<DividedTable> {
        let gateways_log2 = gateways.checked_ilog2().unwrap_or(0);
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let is_current = |latest: &&Arc<DividedTable>| {
            Arc::ptr_eq(&latest.table, table) && latest.gateways_log2 == gateways_log2
        };
        if let Some(latest) = latest.as_ref().filter(is_current) {
            return Arc::clone(latest);
        }
        let divided = Arc::new(DividedTable::new(Arc::clone(table), gateways_log2));
        *latest = Some(Arc::clone(&divided));
        divided
    }
}

impl DividedTable {
    fn new(table: Arc<ReplicaTable>, gateways_log2: u32) -> Self {
        let layout = SubsetLayout::new(&table, 1 << gateways_log2);
        let mut partitions: HashMap<PartitionKey, Vec<String>> = HashMap::new();
        for record in table.records.values() {
            partitions.entry(layout.partition_of(record)).or_default().push(record.name.clone());
        }
        Self { table, layout, gateways_log2, partitions }
    }

    /// Returns the names of the replicas in some partitions.
    pub(super) fn names_in<'a>(&'a self, keys: &'a [PartitionKey]) -> impl Iterator<Item = &'a str> {
        let partitions = keys.iter().filter_map(|key| self.partitions.get(key));
        partitions.flatten().map(String::as_str)
    }
}
