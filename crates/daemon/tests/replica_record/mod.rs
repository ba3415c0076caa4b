//! A replica that a test listens for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::ReplicaRecord;

/// Returns the record of the replica at an address, with the id of its life.
pub fn replica(address: SocketAddr, incarnation: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: incarnation.to_owned(),
        name: "replica".to_owned(),
        service: "engines".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: 4,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}
