//! What a node knows of the platform's metadata, as its other parts read it: without a lock, at any time.
//!
//! Owns the copies of all kinds and what was read from them. Invariant: the copy of a kind never goes back to an earlier
//! revision.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind};
use tokio::sync::watch;

use super::copy;
use super::evacuations::EvacuationTimes;
use super::freshness::Freshness;
use super::history::CopyHistory;
use super::kind_index::kind_index;
use crate::boot_clock::BootClock;
use crate::quarantine::records::QuarantineRecords;

/// What this node knows of the platform's metadata. Traffic threads read it without a lock.
#[derive(Debug)]
pub struct MetadataHandle {
    /// The operator's configuration; none until the first has come.
    pub routes: ArcSwapOption<RouteTable>,
    /// Replicas.
    pub replicas: ArcSwap<ReplicaTable>,
    /// Versions that trainers named, by model.
    pub versions: ArcSwap<BTreeMap<String, u64>>,
    /// Zones that are evacuated.
    pub evacuated: ArcSwap<EvacuatedZones>,
    /// What nodes told of requests under which replicas ended.
    pub(crate) quarantine: ArcSwap<QuarantineRecords>,
    pub(super) evacuation_times: EvacuationTimes,
    copies: [ArcSwapOption<CopyHistory>; MetadataKind::ALL.len()],
    pub(super) freshness: Freshness,
    changes: watch::Sender<u64>,
    pub(super) rereads: [watch::Sender<u64>; MetadataKind::ALL.len()],
}

impl MetadataHandle {
    /// Nothing is known yet.
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
            changes: watch::Sender::new(0),
            rereads: std::array::from_fn(|_| watch::Sender::new(0)),
        }
    }

    /// Wakes whenever anything changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes whoever waits for a change: what follows from the metadata has changed.
    pub(crate) fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Has a kind listed anew: what its watch waits for may have been answered, and the answer lost.
    pub(crate) fn request_relist(&self, kind: MetadataKind) {
        self.rereads[kind_index(kind)].send_modify(|count| *count += 1);
    }

    /// Whether the platform's store gave no answer when this node last asked it.
    pub fn is_store_unreachable(&self) -> bool {
        self.freshness.is_away()
    }

    /// Whether this node reads nothing from the platform for itself.
    pub fn is_follower(&self) -> bool {
        !self.freshness.needs_platform()
    }

    /// Whether this node may send to replicas: it knows which zones are evacuated.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.slot(MetadataKind::Evacuations).load().is_some()
    }

    /// Whether a replica must be sent nothing now. A request asks once more by this just before its first byte.
    pub(crate) fn is_closed(&self, replica: &ReplicaRecord) -> bool {
        self.evacuated.load().is_evacuated(replica)
    }

    /// How long ago the platform last confirmed what this node holds of a kind; [`Duration::MAX`] where it never did.
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
        self.history(kind).map(|history| history.copy.revision)
    }

    /// Takes a copy unless a later one is held; tells whether anything changed.
    pub(super) fn put(&self, kind: MetadataKind, copy: MetadataCopy) -> bool {
        let held = self.history(kind);
        let held_copy = held.as_ref().map(|held| &held.copy);
        if held_copy.is_some_and(|held| held.revision > copy.revision) {
            return false;
        }
        let is_same = held_copy.is_some_and(|held| held.objects == copy.objects);
        if !is_same {
            copy::apply(self, kind, held_copy, &copy);
        }
        let history = match &held {
            Some(held) => held.followed_by(copy),
            None => CopyHistory::begin(copy),
        };
        self.slot(kind).store(Some(Arc::new(history)));
        if !is_same {
            self.notify();
        }
        !is_same
    }
}
