//! The platform's metadata on this node: the operator's configuration, replicas, and versions that trainers named.
//!
//! Every node watches it for itself, and takes a peer's copy only while it can't reach the platform. Invariant: the
//! copy of a kind never goes back to an earlier revision, nor the configuration to an earlier version, within the life
//! of a process.

pub mod client;
mod copy;
mod reachability;
pub mod retirements;
mod watcher;

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use lichenpulley_core::ingress::replicas::ReplicaTable;
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind, MetadataRequest, MetadataResponse};
use tokio::sync::watch;

use crate::context::Context;

/// What this node knows of the platform's metadata. Traffic threads read it without a lock.
#[derive(Debug)]
pub struct MetadataHandle {
    /// The operator's configuration; none until the first has come.
    pub routes: ArcSwapOption<RouteTable>,
    /// Replicas.
    pub replicas: ArcSwap<ReplicaTable>,
    /// Versions that trainers named, by model.
    pub versions: ArcSwap<BTreeMap<String, u64>>,
    copies: [ArcSwapOption<MetadataCopy>; MetadataKind::ALL.len()],
    changes: watch::Sender<u64>,
}

impl Default for MetadataHandle {
    fn default() -> Self {
        Self {
            routes: ArcSwapOption::empty(),
            replicas: ArcSwap::default(),
            versions: ArcSwap::default(),
            copies: Default::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl MetadataHandle {
    /// Wakes whenever anything changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn slot(&self, kind: MetadataKind) -> &ArcSwapOption<MetadataCopy> {
        match kind {
            MetadataKind::Configuration => &self.copies[0],
            MetadataKind::Replicas => &self.copies[1],
            MetadataKind::Versions => &self.copies[2],
        }
    }

    fn copy(&self, kind: MetadataKind) -> Option<Arc<MetadataCopy>> {
        self.slot(kind).load_full()
    }

    /// Takes a copy unless a later one is held.
    fn put(&self, kind: MetadataKind, copy: MetadataCopy) {
        let held = self.copy(kind);
        if held.as_ref().is_some_and(|held| held.revision > copy.revision) {
            return;
        }
        let is_same = held.as_ref().is_some_and(|held| held.objects == copy.objects);
        if !is_same {
            copy::apply(self, kind, held.as_deref(), &copy);
        }
        self.slot(kind).store(Some(Arc::new(copy)));
        if !is_same {
            self.changes.send_modify(|count| *count += 1);
        }
    }
}

/// The name under which the version of the configuration rides on the heartbeats.
const ANNOUNCED_NAME: &str = "routes";

/// Starts to watch on the current runtime, where a metadata store is named in the settings. Nodes that serve no callers
/// and own no control work need none of it.
pub fn start(context: &Context) {
    let roles = context.settings.roles;
    if !roles.gateway && !roles.coordinator {
        return;
    }
    let Some(client) = client::MetadataClient::from_settings(&context.settings) else { return };
    let recoveries = reachability::start(client.clone());
    for kind in MetadataKind::ALL {
        tokio::spawn(watcher::run(Arc::clone(context), client.clone(), kind, recoveries.clone()));
    }
}

/// Answers a peer that can't reach the platform.
pub fn answer(context: &Context, request: &MetadataRequest) -> MetadataResponse {
    let copy = context.metadata.copy(request.kind);
    let copy = copy.filter(|copy| request.newer_than.is_none_or(|revision| copy.revision > revision));
    MetadataResponse { copy: copy.map(|copy| MetadataCopy::clone(&copy)) }
}
