//! What nodes tell each other of the platform's metadata, for those that can't reach the platform
//! or need not.
//!
//! Objects travel as the platform's JSON, unread: each node reads them by the `platform` crate for itself.

use lichenpulley_core::quarantine::CrashReport;
use speedy::{Readable, Writable};

/// Objects of the platform that nodes watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum MetadataKind {
    /// The operator's configuration.
    Configuration,
    /// Replicas.
    Replicas,
    /// Versions that trainers named.
    Versions,
    /// Zones that the operator wants evacuated.
    Evacuations,
    /// What nodes told of requests under which replicas ended.
    Quarantine,
}

impl MetadataKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Configuration, Self::Replicas, Self::Versions, Self::Evacuations, Self::Quarantine];
}

/// Asks a node that reaches the platform's store to keep a report there.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct KeepReport {
    /// The name under which it is kept, once.
    pub name: String,
    /// The report.
    pub report: CrashReport,
}

/// What becomes of a report that is to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum KeepResponse {
    /// The receiver keeps trying in the sender's place.
    Taken,
    /// The receiver has no way to the store, or too much to write already.
    Refused,
}

/// Asks for what changed in a kind.
#[derive(Clone, Debug, Readable, Writable)]
pub struct MetadataRequest {
    /// The kind.
    pub kind: MetadataKind,
    /// The platform's revision that the sender's copy is of.
    pub newer_than: Option<u64>,
    /// How long the answer may wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// A copy of all objects of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MetadataCopy {
    /// The platform's revision that it is of.
    pub revision: u64,
    /// Names, and what stands in each object as JSON; in rising order of names.
    pub objects: Vec<(String, String)>,
}

/// What turns a copy into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MetadataUpdate {
    /// The platform's revision that results.
    pub revision: u64,
    /// Whether `objects` are all there are; otherwise those that changed.
    pub is_whole: bool,
    /// Names, and what stands in each object as JSON.
    pub objects: Vec<(String, String)>,
    /// Names of objects that are gone.
    pub removed: Vec<String>,
}

/// What a node knows beyond the sender.
#[derive(Clone, Debug, Readable, Writable)]
pub struct MetadataResponse {
    /// What changed, where the receiver has a later copy.
    pub update: Option<MetadataUpdate>,
    /// How long ago the platform last confirmed the receiver's copy, in milliseconds.
    pub age_ms: u64,
}
