//! Requests that share the platform's metadata between nodes, so that not every node has to reach the platform.
//!
//! Objects are sent as the platform's original JSON; the receiver decodes them with the `platform` crate.

use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::replica_subset::LayoutId;
use lichenpulley_core::quarantine::CrashReport;
use speedy::{Readable, Writable};

/// A kind of platform object that nodes watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum MetadataKind {
    /// Configuration set by the operator.
    Configuration,
    /// Replicas.
    Replicas,
    /// Weight versions that trainers announced.
    Versions,
    /// Zones to be evacuated.
    Evacuations,
    /// Reports of requests during which replicas crashed.
    Quarantine,
}

impl MetadataKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Configuration, Self::Replicas, Self::Versions, Self::Evacuations, Self::Quarantine];
}

/// Asks a node that reaches the platform's store to write a crash report to it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct KeepReport {
    /// The report's unique name, which makes the write idempotent.
    pub name: String,
    /// The crash report.
    pub report: CrashReport,
}

/// The response to a [`KeepReport`] request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum KeepResponse {
    /// The receiver retries the write on the sender's behalf.
    Taken,
    /// The receiver can't reach the store, or its write queue is full.
    Refused,
}

/// Requests changes to the objects of a kind.
#[derive(Clone, Debug, Readable, Writable)]
pub struct MetadataRequest {
    /// The kind of objects.
    pub kind: MetadataKind,
    /// The platform revision of the sender's copy, if it has one.
    pub newer_than: Option<u64>,
    /// Longest wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The difference between a copy and a later one.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MetadataUpdate {
    /// The platform revision after the update.
    pub revision: u64,
    /// Whether `objects` contains all objects instead of the changed ones only.
    pub is_whole: bool,
    /// The name and JSON text of each object.
    pub objects: Vec<(String, String)>,
    /// Names of deleted objects.
    pub removed: Vec<String>,
}

/// The response to a [`MetadataRequest`].
#[derive(Clone, Debug, Readable, Writable)]
pub struct MetadataResponse {
    /// The changes, if the responding node has a later copy.
    pub update: Option<MetadataUpdate>,
    /// Time since the platform last confirmed the responding node's copy, in milliseconds.
    pub age_ms: u64,
}

/// Requests changes to the subset of the replicas that a gateway uses.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaSubsetRequest {
    /// The gateway.
    pub gateway: NodeId,
    /// The platform revision of its subset, if it has one.
    pub newer_than: Option<u64>,
    /// The layout of its subset; `None` if it holds all replicas.
    pub layout: Option<LayoutId>,
    /// Longest wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The response to a [`ReplicaSubsetRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReplicaSubsetResponse {
    /// The changes, if the responding node holds all replicas, and at a later revision or in another layout.
    pub update: Option<MetadataUpdate>,
    /// The layout after the update; `None` if every gateway holds all replicas.
    pub layout: Option<LayoutId>,
    /// Time since the platform last confirmed the responding node's copy, in milliseconds.
    pub age_ms: u64,
}
