//! The layout by which a node divides the replicas among the gateways that follow it.

use std::sync::{Arc, Mutex, PoisonError};

use lichenpulley_core::ingress::replica_subset::SubsetLayout;
use lichenpulley_core::ingress::replicas::ReplicaTable;

/// The layout for the current replicas and number of gateways, computed once for all followers.
#[derive(Debug, Default)]
pub(super) struct SubsetLayouts {
    latest: Mutex<Option<LatestLayout>>,
}

#[derive(Debug)]
struct LatestLayout {
    replicas: Arc<ReplicaTable>,
    gateways: usize,
    layout: Arc<SubsetLayout>,
}

impl SubsetLayouts {
    /// Returns the layout for these replicas and this number of gateways.
    pub(super) fn layout(&self, replicas: &Arc<ReplicaTable>, gateways: usize) -> Arc<SubsetLayout> {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let is_current =
            |latest: &&LatestLayout| Arc::ptr_eq(&latest.replicas, replicas) && latest.gateways == gateways;
        if let Some(latest) = latest.as_ref().filter(is_current) {
            return Arc::clone(&latest.layout);
        }
        let layout = Arc::new(SubsetLayout::new(replicas, gateways));
        let (replicas, computed) = (Arc::clone(replicas), Arc::clone(&layout));
        *latest = Some(LatestLayout { replicas, gateways, layout: computed });
        layout
    }
}
