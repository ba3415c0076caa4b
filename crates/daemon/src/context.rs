//! Shared state of a node: its settings, snapshots of the cluster, and handles of its modules' tasks.
//!
//! Traffic threads read the snapshots without a lock. The control thread replaces each snapshot as a whole; the only
//! module that writes it is named at the field.
//!
//! The modules are layered to avoid import cycles, from the lowest layer to the highest:
//!
//! - `boot_clock`, `cluster`, `decisions`, `directory`, `logging`, `metrics`, `settings` and the files of the handles
//!   that this file imports. They import neither the context nor any module's tasks.
//! - The context.
//! - `ownership`, which reads the context for the tasks of `batch` and `metadata` and imports neither.
//! - The tasks of the modules. A task reaches another module through that module's handle in the context, or
//!   receives the handle when it is started (`node::control`).
//! - `node`, which starts all tasks, and `operators`, which reports their state.
//!
//! `tests/module_imports.rs` checks that no file imported here imports the context, directly or indirectly.

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use lichenpulley_core::identity::{NodeId, ZoneName};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::boot_clock::BootClock;
use crate::cluster::ClusterView;
use crate::configuration::handle::ConfigurationHandle;
use crate::configuration::view::ConfigurationView;
use crate::decisions::DecisionLog;
use crate::directory::ReplicaDirectory;
use crate::duties::node_usage::NodeUsage;
use crate::http::body_memory::BodyMemory;
use crate::membership::handle::MembershipHandle;
use crate::metadata::handle::MetadataHandle;
use crate::metrics::Metrics;
use crate::peers::PeerClients;
use crate::quarantine::handle::QuarantineHandle;
use crate::settings::Settings;
use crate::store::replica_set_cache::ReplicaSetCache;

/// Shared state of one node.
pub struct NodeContext {
    /// This node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// The clock that times an owner's authority.
    pub boot_clock: BootClock,
    /// The validated settings: the settings file, overridden by flags.
    pub settings: Settings,
    /// Records decisions and publishes them to watchers.
    pub decisions: DecisionLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Live members. Written by `membership` only.
    pub cluster: ArcSwap<ClusterView>,
    /// Handle of the membership task, used through the functions of [`crate::membership`].
    pub membership: MembershipHandle,
    /// Replicas of each pool. Written by `configuration` only.
    pub directory: ArcSwap<ReplicaDirectory>,
    /// The settings tree in force. Written by `configuration` only.
    pub configuration: ArcSwap<ConfigurationView>,
    /// Handle of the tasks that disseminate the configuration and the directory.
    pub documents: ConfigurationHandle,
    /// Cached replica sets of shards.
    pub replica_sets: ReplicaSetCache,
    /// The platform's metadata. Written by `metadata` only.
    pub metadata: MetadataHandle,
    /// Requests that are suspected of crashing replicas.
    pub quarantine: QuarantineHandle,
    /// The last known owner of the batch jobs that are not bound to regions.
    pub batch_owner: Arc<ArcSwapOption<NodeId>>,
    /// The memory for request bodies.
    pub body_memory: BodyMemory,
    /// The memory for frames of other nodes that are not complete.
    pub frame_memory: BodyMemory,
    /// Usage counted by this node for the usage report.
    pub usage: NodeUsage,
    /// Clients for requests to other nodes.
    pub peers: PeerClients,
    /// Cancelled when a planned stop begins: new work is refused and running work finishes.
    pub draining: CancellationToken,
    /// Cancelled when the running work has finished: background tasks end.
    pub stopped: CancellationToken,
}

/// A node's context, shared by its modules.
pub type Context = Arc<NodeContext>;

impl NodeContext {
    /// Creates the context of a node whose control runtime is `control`, without members, replicas or configuration.
    pub fn new(settings: Settings, control: Handle) -> Context {
        let metrics = Metrics::new();
        let boot_clock = BootClock::default();
        Arc::new(Self {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            metadata: MetadataHandle::new(boot_clock.clone()),
            quarantine: QuarantineHandle::new(boot_clock.clone()),
            boot_clock,
            decisions: DecisionLog::new(settings.node.clone(), metrics.clone()),
            metrics,
            cluster: ArcSwap::default(),
            membership: MembershipHandle::new(),
            directory: ArcSwap::default(),
            configuration: ArcSwap::default(),
            documents: ConfigurationHandle::new(),
            replica_sets: ReplicaSetCache::default(),
            batch_owner: Arc::default(),
            body_memory: BodyMemory::for_machine(settings.machine.memory_bytes as u64),
            frame_memory: BodyMemory::for_machine(settings.machine.memory_bytes as u64),
            usage: NodeUsage::new(settings.node.as_str(), settings.duties.usage().is_some()),
            peers: PeerClients::new(control, settings.peers.clone()),
            draining: CancellationToken::new(),
            stopped: CancellationToken::new(),
            settings,
        })
    }
}
