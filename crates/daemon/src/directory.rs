//! The replicas of each pool, as the lagging machine list gives them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lichenpulley_core::identity::{PoolName, ReplicaId, Revision, ZoneName};

/// A replica in the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Whether the list says that it will be taken away.
    pub leaving: bool,
}

/// Replicas by pool. A hint: the list lags, so the replica itself has the last word.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaDirectory {
    /// The machine list's revision.
    pub revision: Revision,
    /// Replicas by pool.
    pub pools: BTreeMap<PoolName, Vec<ReplicaEntry>>,
}
