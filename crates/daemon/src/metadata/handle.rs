//! Lock-free access of a node's other parts to its copy of the platform's metadata.
//!
//! Holds the copies of all kinds and the tables decoded from them. Invariant: the copy of a kind never goes
//! back to an earlier revision.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_protocol::internal::MetadataKind;
use tokio::sync::watch;

use super::copy;
use super::evacuations::EvacuationTimes;
use super::freshness::Freshness;
use super::history::{CopyChange, CopyHistory};
use super::kind_index::kind_index;
use super::subset_layouts::SubsetLayouts;
use crate::boot_clock::BootClock;
use crate::quarantine::records::QuarantineRecords;

/// This node's copy of the platform's metadata. Traffic threads read it without a lock.
#[derive(Debug)]
pub struct MetadataHandle {
    /// The operator's configuration; `None` until the first one is read.
    pub routes: ArcSwapOption<RouteTable>,
    /// The replicas.
    pub replicas: ArcSwap<ReplicaTable>,
    /// The latest version published by trainers, by model.
    pub versions: ArcSwap<BTreeMap<String, u64>>,
    /// The evacuated zones.
    pub evacuated: ArcSwap<EvacuatedZones>,
    /// Reports of requests during which replicas ended.
    pub(crate) quarantine: ArcSwap<QuarantineRecords>,
    pub(super) evacuation_times: EvacuationTimes,
    copies: [ArcSwapOption<CopyHistory>; MetadataKind::ALL.len()],
    pub(super) freshness: Freshness,
    /// Divides the replicas among the gateways that follow this node.
    pub(super) subset_layouts: SubsetLayouts,
    /// Number of tasks on this node that need all replicas.
    complete_list_users: AtomicUsize,
    changes: watch::Sender<u64>,
    pub(super) relist_requests: [watch::Sender<u64>; MetadataKind::ALL.len()],
}

impl MetadataHandle {
    /// Creates a handle without any metadata.
    pub fn new(clock: BootClock) -> Self {
        Self {
            routes: ArcSwapOption::empty(),
            replicas: ArcSwap::default(),
            versions: ArcSwap::default(),
            evacuated: ArcSwap::default(),
            quarantine: ArcSwap::default(),
            evacuation_times: EvacuationTimes::default(),
            copies: Default::default(),
            freshness: Freshness::new(clock),
            subset_layouts: SubsetLayouts::default(),
            complete_list_users: AtomicUsize::new(0),
            changes: watch::Sender::new(0),
            relist_requests: std::array::from_fn(|_| watch::Sender::new(0)),
        }
    }

    /// Subscribes to changes of any kind.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes all subscribers after a change of the metadata or of state derived from it.
    pub(crate) fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Requests that a kind is listed again, because its watch may have lost an answer.
    pub(crate) fn request_relist(&self, kind: MetadataKind) {
        self.relist_requests[kind_index(kind)].send_modify(|count| *count += 1);
    }

    /// Returns whether this node's last probe of the metadata store got no answer.
    pub fn is_store_unreachable(&self) -> bool {
        self.freshness.is_unreachable()
    }

    /// Returns whether this node reads all kinds from peers and none from the platform.
    pub fn is_follower(&self) -> bool {
        !self.freshness.needs_platform()
    }

    /// Returns whether the evacuated zones are known. Until then no request may be sent to a replica.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.slot(MetadataKind::Evacuations).load().is_some()
    }

    /// Returns whether the list of replicas is known. An unread list is empty like one without replicas.
    pub(crate) fn knows_replicas(&self) -> bool {
        self.slot(MetadataKind::Replicas).load().is_some()
    }

    /// Returns whether all metadata is known that the choice of a replica depends on.
    pub(crate) fn is_routable(&self) -> bool {
        self.knows_replicas() && self.knows_evacuations()
    }

    /// Returns whether a replica may receive no requests. Checked again just before a request's first byte is
    /// sent.
    pub(crate) fn is_closed(&self, replica: &ReplicaRecord) -> bool {
        self.evacuated.load().is_evacuated(replica)
    }

    /// Returns how long ago the platform last confirmed the copy of a kind; [`Duration::MAX`] if it never
    /// did.
    pub fn age(&self, kind: MetadataKind) -> Duration {
        self.freshness.age(kind)
    }

    fn slot(&self, kind: MetadataKind) -> &ArcSwapOption<CopyHistory> {
        &self.copies[kind_index(kind)]
    }

    pub(super) fn history(&self, kind: MetadataKind) -> Option<Arc<CopyHistory>> {
        self.slot(kind).load_full()
    }

    pub(super) fn revision(&self, kind: MetadataKind) -> Option<u64> {
        self.history(kind).map(|history| history.revision())
    }

    /// Makes this node read all replicas until the returned guard is dropped.
    pub(crate) fn require_all_replicas(&self) -> CompleteListGuard<'_> {
        self.complete_list_users.fetch_add(1, Ordering::Relaxed);
        CompleteListGuard { metadata: self }
    }

    /// Returns whether a task on this node needs all replicas.
    pub(super) fn needs_all_replicas(&self) -> bool {
        self.complete_list_users.load(Ordering::Relaxed) > 0
    }

    /// Applies a change unless a later copy is held.
    pub(super) fn apply(&self, kind: MetadataKind, change: CopyChange) -> ApplyOutcome {
        let held = self.history(kind);
        if held.as_ref().is_some_and(|held| held.revision() > change.revision) {
            return ApplyOutcome::Outdated;
        }
        let has_same_layout = held.as_ref().is_some_and(|held| held.layout() == change.layout);
        let (mut next, changed) = held.as_deref().cloned().unwrap_or_default().with_change(change);
        let is_changed = !has_same_layout || !changed.is_empty();
        if is_changed && kind != MetadataKind::Replicas {
            copy::apply(self, kind, &next);
        } else if is_changed && copy::apply_replicas(self, &next, &changed) {
            // Followers can't tell from an update that the replica has left their subsets.
            next = next.without_earlier_revisions();
        }
        self.slot(kind).store(Some(Arc::new(next)));
        if !is_changed {
            return ApplyOutcome::Unchanged;
        }
        self.notify();
        ApplyOutcome::Changed
    }
}

/// Result of a change of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// Objects have changed.
    Changed,
    /// The copy has a later revision and the same objects.
    Unchanged,
    /// A later copy is held, and the change was ignored.
    Outdated,
}

/// Makes a node read all replicas while it exists.
pub(crate) struct CompleteListGuard<'a> {
    metadata: &'a MetadataHandle,
}

impl Drop for CompleteListGuard<'_> {
    fn drop(&mut self) {
        self.metadata.complete_list_users.fetch_sub(1, Ordering::Relaxed);
    }
}
