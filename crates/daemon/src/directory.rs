//! The replicas of each pool and the nodes, as the lagging machine list of the product's own interface gives them.
//!
//! A snapshot that `configuration` replaces as a whole, made from one document. Imports no other part of the node.

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
    /// Nodes that run `lichenpulleyd`, with their peer addresses: seeds for membership.
    pub nodes: BTreeMap<NodeId, SocketAddr>,
}

impl ReplicaDirectory {
    /// The directory that a document of machines holds. Machines that can't be read are left out and logged.
    pub fn from_document(document: &Document) -> Self {
        let mut directory = Self { revision: document.revision(), ..Self::default() };
        for (id, text) in document.entries() {
            match parse_machine(text) {
                Ok((machine, address)) => directory.add(machine, address),
                Err(reason) => {
                    log::warn!(target: "configuration", "Machine {id} of the list is left out: {reason}.");
                }
            }
        }
        directory
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
                log::warn!(target: "configuration", "Engine {} of the list has no pool and is left out.", machine.id);
            }
        }
    }
}

fn parse_machine(text: &str) -> Result<(Machine, SocketAddr), String> {
    let machine: Machine = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let address = machine.address.parse().map_err(|_| format!("`{}` is no address", machine.address))?;
    Ok((machine, address))
}
