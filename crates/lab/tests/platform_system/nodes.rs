//! Losses of stores, and replicas beside the simulated ones.

use std::net::SocketAddr;

use lichenpulley_daemon::node::Node;
use lichenpulley_platform::objects;
use serde_json::{Value, json};

use super::{System, until};

/// A majority of the stores of a system that has three.
const MAJORITY: usize = 2;

/// Kills a node and waits until it has ended.
pub(crate) async fn kill(node: Option<Node>) {
    let node = node.expect("a living node");
    node.kill();
    node.stopped().await;
}

impl System {
    /// Returns how many requests the replicas began to run.
    pub(crate) fn runs(&self) -> usize {
        self.replicas.iter().map(|replica| replica.seen().len()).sum()
    }

    /// Kills a majority of the stores, without which nothing is committed.
    pub(crate) async fn kill_majority_of_stores(&mut self) {
        for store in &mut self.stores[..MAJORITY] {
            kill(store.take()).await;
        }
    }

    /// Starts the killed majority of the stores again.
    pub(crate) async fn restart_majority_of_stores(&mut self) {
        for number in 0..MAJORITY {
            self.start_store(number).await;
        }
    }

    /// Puts a configuration in force and lists replicas at these addresses, of so many slots each. Returns once the first
    /// gateway knows both.
    pub(crate) async fn serve_from(&self, configuration: Value, addresses: &[SocketAddr], slots: u32) {
        let version = configuration["version"].as_u64();
        self.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, configuration);
        for (number, address) in addresses.iter().enumerate() {
            let record = json!({"service": "engines", "address": address.to_string(), "zone": "kajang", "version": "v1",
                "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
                "models": [{"name": "pricing", "version": 1, "adapters": []}]});
            self.platform.put(objects::REPLICAS, &format!("other-{number}"), record);
        }
        let metadata = &self.gateways[0].as_ref().expect("a gateway").context().metadata;
        until(|| metadata.replicas.load().records.len() == addresses.len()).await;
        until(|| metadata.routes.load().as_ref().map(|table| table.version) == version).await;
    }
}
