//! Directory of the replicas of each pool and of the nodes, built from the machine list of the product's own
//! interface.
//!
//! The machine list lags behind the real state. The directory is a snapshot of one document and is replaced as a
//! whole by `configuration`. Imports no other module of the node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::identity::{NodeId, PoolName, ReplicaId, Revision, ZoneName};
use lichenpulley_protocol::platform::{Machine, MachineKind, MachineState};

/// A replica in the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Whether the list announces its removal.
    pub leaving: bool,
}

/// Replicas by pool, as a hint: the list lags, so what a replica reports itself takes precedence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaDirectory {
    /// The machine list's revision.
    pub revision: Revision,
    /// Replicas by pool.
    pub pools: BTreeMap<PoolName, Vec<ReplicaEntry>>,
    /// Peer addresses of the nodes that run `lichenpulleyd`, used as seeds for membership.
    pub nodes: BTreeMap<NodeId, SocketAddr>,
}

impl ReplicaDirectory {
    /// Builds the directory from a document of machines. Entries that can't be parsed are logged and skipped.
    pub fn from_document(document: &Document) -> Self {
        let mut directory = Self { revision: document.revision(), ..Self::default() };
        for (id, text) in document.entries() {
            match parse_machine(text) {
                Ok((machine, address)) => directory.add(machine, address),
                Err(reason) => {
                    log::warn!(target: "configuration", "Skipping machine {id} of the machine list: {reason}; correct its entry.");
                }
            }
        }
        directory
    }

    /// Returns whether a list of machines has been read. Until then no pool is known, which does not mean that it
    /// does not exist.
    pub fn is_read(&self) -> bool {
        self.revision > Revision(0)
    }

    fn add(&mut self, machine: Machine, address: SocketAddr) {
        match (machine.kind, machine.pool) {
            (MachineKind::Node, _) => {
                self.nodes.insert(NodeId::new(machine.id), address);
            }
            (MachineKind::Engine, Some(pool)) => {
                let replica = ReplicaId::new(machine.id);
                let leaving = machine.state == MachineState::Leaving;
                let entry = ReplicaEntry { replica, zone: machine.zone, address, leaving };
                self.pools.entry(pool).or_default().push(entry);
            }
            (MachineKind::Engine, None) => {
                log::warn!(target: "configuration", "Skipping engine {} of the machine list: it has no pool; add one to its entry.", machine.id);
            }
        }
    }
}

fn parse_machine(text: &str) -> Result<(Machine, SocketAddr), String> {
    let machine: Machine = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let address =
        machine.address.parse().map_err(|_| format!("`{}` is not of the form IP:PORT", machine.address))?;
    Ok((machine, address))
}
