//! What nodes tell each other of the platform's metadata, for those that can't reach the platform.

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
}

impl MetadataKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Replicas, Self::Versions];
}

/// Asks for a copy of a kind that is newer than the sender's.
#[derive(Clone, Debug, Readable, Writable)]
pub struct MetadataRequest {
    /// The kind.
    pub kind: MetadataKind,
    /// The platform's revision that the sender's copy is of.
    pub newer_than: Option<u64>,
}

/// A copy of all objects of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MetadataCopy {
    /// The platform's revision that it is of.
    pub revision: u64,
    /// Names, and what stands in each object as JSON.
    pub objects: Vec<(String, String)>,
}

/// A newer copy, where the receiver has one.
#[derive(Clone, Debug, Readable, Writable)]
pub struct MetadataResponse {
    /// The copy.
    pub copy: Option<MetadataCopy>,
}
