//! What nodes report to each other of replicas that ended. Stored data: the order of the fields is fixed.

use speedy::{Readable, Writable};

use super::Fingerprint;

/// The most requests that one report names: more than one node has running at a replica at a time. Chosen,
/// not measured: a smaller one could leave out the guilty request.
pub const MAX_REPORTED_REQUESTS: usize = 64;

/// A replica ended: what one node had running there.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CrashReport {
    /// The incarnation of the replica that ended.
    pub replica: String,
    /// Requests that ran there when it ended and have not run to an end anywhere since.
    pub suspects: Vec<Suspect>,
    /// Requests that earlier reports name and that ran to an end since, or that an operator released: none of
    /// them ended it.
    pub cleared: Vec<Fingerprint>,
}

/// A request that ran where a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether this run began after the node knew of another replica that had ended under the request.
    pub is_repeated: bool,
}
