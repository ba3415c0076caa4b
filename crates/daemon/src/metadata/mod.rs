//! The platform's metadata on this node: the operator's configuration, replicas, and versions that trainers named.
//!
//! In a small deployment every node watches it for itself; in a large one a few do, and the others follow them (see
//! `lichenpulley_core::relay`). A node that can't reach the platform takes a peer's copy. Invariant: the
//! copy of a kind never goes back to an earlier revision, nor the configuration to an earlier version, within the life
//! of a process.

mod announcements;
pub mod client;
mod copy;
mod freshness;
pub mod history;
pub(crate) mod peers;
mod reachability;
mod relay;
pub mod retirements;
mod watcher;
pub mod zones;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::RouteTable;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataKind, MetadataRequest, MetadataResponse};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::boot_clock::BootClock;
use crate::context::Context;
use crate::quarantine::{self, QuarantineRecords};
use freshness::Freshness;
use history::CopyHistory;

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
    evacuation_news: zones::EvacuationNews,
    copies: [ArcSwapOption<CopyHistory>; MetadataKind::ALL.len()],
    freshness: Freshness,
    changes: watch::Sender<u64>,
    rereads: [watch::Sender<u64>; MetadataKind::ALL.len()],
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
            evacuation_news: zones::EvacuationNews::default(),
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
    pub(crate) fn read_anew(&self, kind: MetadataKind) {
        self.rereads[kind_index(kind)].send_modify(|count| *count += 1);
    }

    /// Whether the platform's store gave no answer when this node last asked it.
    pub fn is_store_away(&self) -> bool {
        self.freshness.is_away()
    }

    /// Whether this node reads nothing from the platform for itself.
    pub fn follows(&self) -> bool {
        !self.freshness.needs_platform()
    }

    /// Whether this node may send to replicas: it knows which zones are evacuated.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.slot(MetadataKind::Evacuations).load().is_some()
    }

    /// Whether a replica must be sent nothing now. A request asks once more by this just before its first byte.
    pub(crate) fn is_closed(&self, replica: &ReplicaRecord) -> bool {
        self.evacuated.load().closes(replica)
    }

    /// How long ago the platform last confirmed what this node holds of a kind; [`Duration::MAX`] where it never did.
    pub fn age(&self, kind: MetadataKind) -> Duration {
        self.freshness.age(kind)
    }

    fn slot(&self, kind: MetadataKind) -> &ArcSwapOption<CopyHistory> {
        &self.copies[kind_index(kind)]
    }

    fn history(&self, kind: MetadataKind) -> Option<Arc<CopyHistory>> {
        self.slot(kind).load_full()
    }

    fn revision(&self, kind: MetadataKind) -> Option<u64> {
        self.history(kind).map(|history| history.copy.revision)
    }

    /// Takes a copy unless a later one is held; tells whether anything changed.
    fn put(&self, kind: MetadataKind, copy: MetadataCopy) -> bool {
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

const fn kind_index(kind: MetadataKind) -> usize {
    match kind {
        MetadataKind::Configuration => 0,
        MetadataKind::Replicas => 1,
        MetadataKind::Versions => 2,
        MetadataKind::Evacuations => 3,
        MetadataKind::Quarantine => 4,
    }
}

/// Starts to watch on the current runtime, where a metadata store is named in the settings. Nodes that serve no callers
/// and own no control work need none of it.
pub fn start(context: &Context) {
    let roles = context.settings.roles;
    if !roles.gateway && !roles.coordinator {
        return;
    }
    let Some(client) = client::MetadataClient::from_settings(&context.settings) else { return };
    let reach = reachability::start(Arc::clone(context), client.clone());
    quarantine::start(context, client.clone());
    for kind in MetadataKind::ALL {
        tokio::spawn(watcher::run(Arc::clone(context), client.clone(), kind, reach.clone()));
    }
}

/// The longest that an answer to a peer waits for a change.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// Answers a peer that follows this node, or can't reach the platform.
pub async fn answer(context: &Context, request: &MetadataRequest) -> MetadataResponse {
    let metadata = &context.metadata;
    let until = Instant::now() + MAX_ANSWER_WAIT.min(Duration::from_millis(request.wait_ms));
    let mut changes = metadata.watch();
    let update = loop {
        let history = metadata.history(request.kind);
        let update = history.and_then(|history| history.update_since(request.newer_than));
        if update.is_some() || Instant::now() >= until {
            break update;
        }
        // Neither a time-out nor the end of the handle is anything but a reason to look once more.
        let _ = tokio::time::timeout_at(until, changes.changed()).await;
    };
    let age = metadata.freshness.age(request.kind);
    MetadataResponse { update, age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX) }
}
