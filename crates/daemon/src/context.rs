//! What every part of a node can reach: its settings, its snapshots of the cluster, and the handles of its parts.
//!
//! Traffic threads read the snapshots here without a lock; the control thread replaces them as a whole, each from one part,
//! named beside the field.
//!
//! Who may import what, so that the parts stand below and above each other and not in a circle:
//!
//! - below the context, and so importing neither it nor a part's tasks: `boot_clock`, `cluster`, `decisions`, `directory`,
//!   `logging`, `metrics`, `settings`, and the files of the handles that this file imports;
//! - above the context: the tasks of the parts. A task reaches another part through that part's handle in the context, or is
//!   given the handle when it is started (`node::control`);
//! - between the two: `ownership`, which reads the context for the tasks of `batch` and of `metadata` and imports neither;
//! - above all parts: `node`, which starts them, and `operators`, which shows them.
//!
//! `tests/module_imports.rs` reads the sources and fails where a file that this one imports leads back here.

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
use crate::membership::handle::MembershipHandle;
use crate::metadata::handle::MetadataHandle;
use crate::metrics::Metrics;
use crate::peers::PeerClients;
use crate::quarantine::handle::QuarantineHandle;
use crate::settings::Settings;
use crate::store::replica_set_cache::ReplicaSetCache;

/// One node's shared state.
pub struct NodeContext {
    /// This node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// The clock by which an authority is judged.
    pub boot_clock: BootClock,
    /// The checked settings file with flags over it.
    pub settings: Settings,
    /// Decisions, as they are made.
    pub decisions: DecisionLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Live members. Written by `membership` only.
    pub cluster: ArcSwap<ClusterView>,
    /// The way to the membership task; use the functions of [`crate::membership`].
    pub membership: MembershipHandle,
    /// Replicas of each pool. Written by `configuration` only.
    pub directory: ArcSwap<ReplicaDirectory>,
    /// The settings tree in force. Written by `configuration` only.
    pub configuration: ArcSwap<ConfigurationView>,
    /// The way to the tasks that spread the configuration and the directory.
    pub documents: ConfigurationHandle,
    /// Store replicas of shards, as far as this node has met them.
    pub replica_sets: ReplicaSetCache,
    /// The platform's metadata. Written by `metadata` only.
    pub metadata: MetadataHandle,
    /// Requests under which replicas end.
    pub quarantine: QuarantineHandle,
    /// Who owns the batch jobs that may be kept anywhere, as far as this node has heard.
    pub batch_owner: Arc<ArcSwapOption<NodeId>>,
    /// What this node counts for the duty of usage.
    pub usage: NodeUsage,
    /// Connections to other nodes.
    pub peers: PeerClients,
    /// Cancelled when a planned stop begins: refuse new work, finish what runs.
    pub draining: CancellationToken,
    /// Cancelled when what ran has finished: end background work.
    pub stopped: CancellationToken,
}

/// A node's context, shared by its parts.
pub type Context = Arc<NodeContext>;

impl NodeContext {
    /// The context of a node whose control runtime is `control`: no members, replicas or configuration yet.
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
            usage: NodeUsage::new(settings.node.as_str(), settings.duties.usage().is_some()),
            peers: PeerClients::new(control, settings.peers.clone()),
            draining: CancellationToken::new(),
            stopped: CancellationToken::new(),
            settings,
        })
    }
}
