//! A whole system inside one process: the platform's stand-ins, engines and nodes in several zones.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use lichenpulley_core::identity::{PoolName, ZoneName};
use lichenpulley_daemon::cluster::Roles;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::{ListenAddresses, PlatformAddresses, Settings};
use tempfile::TempDir;

use crate::engine::{self, Engine, EngineOptions};
use crate::error::LabError;
use crate::http::ANY_PORT;
use crate::machine_list::{self, MachineListServer};
use crate::object_api::{self, ObjectApi};
use crate::ports::ReservedPort;
use crate::scorer::{self, Scorer};
use crate::weight_store::{self, WeightStore};

/// How long the nodes may take to find each other and the engines.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time between two polls of readiness.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// A pool of the system.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// Its name.
    pub pool: PoolName,
    /// Its replicas in each zone.
    pub replicas_per_zone: usize,
}

/// What a system consists of.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// The zones; each gets one node with every role.
    pub zones: Vec<ZoneName>,
    /// The pools.
    pub pools: Vec<PoolPlan>,
}

/// A running system. Dropping it ends everything at once.
pub struct System {
    /// The nodes, one for each zone.
    pub nodes: Vec<Node>,
    /// The engines of all pools.
    pub engines: Vec<Engine>,
    /// The platform's object API.
    pub object_api: ObjectApi,
    /// The platform's machine list.
    pub machine_list: MachineListServer,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The service that scores answers.
    pub scorer: Scorer,
    _data_folder: TempDir,
    _ports: Vec<ReservedPort>,
}

impl System {
    /// Starts everything and waits until each node sees all nodes and all replicas.
    ///
    /// # Errors
    /// When a part does not start, or the nodes do not come together in time.
    pub async fn start(plan: &SystemPlan) -> Result<Self, LabError> {
        let data_folder = tempfile::tempdir().map_err(|source| LabError::Io {
            action: "make a folder for the nodes' data".to_owned(),
            remedy: "set TMPDIR to a folder that can be written",
            source,
        })?;
        let object_api = object_api::start(ANY_PORT).await?;
        let machine_list = machine_list::start(ANY_PORT, Vec::new()).await?;
        let weight_store = weight_store::start(ANY_PORT).await?;
        let scorer = scorer::start(ANY_PORT).await?;
        let platform = PlatformAddresses {
            metadata_store: None,
            object_api: Some(object_api.address),
            machine_list: Some(machine_list.address),
            weight_store: Some(weight_store.address()),
            scorer: Some(scorer.address()),
        };
        let engines = start_engines(plan, &platform).await?;
        let mut ports = Vec::new();
        let nodes = start_nodes(plan, platform, data_folder.path(), &mut ports).await?;
        let system = Self {
            nodes,
            engines,
            object_api,
            machine_list,
            weight_store,
            scorer,
            _data_folder: data_folder,
            _ports: ports,
        };
        system.wait_until_ready(plan).await?;
        Ok(system)
    }

    /// The callers' addresses of all nodes.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.addresses().callers).collect()
    }

    /// The addresses of all nodes, one node a line.
    pub fn describe_addresses(&self) -> String {
        let lines = self.nodes.iter().map(|node| {
            let addresses = node.addresses();
            let name = node.context().node.as_str();
            format!("  {name:12} callers {}   operators {}", addresses.callers, addresses.operators)
        });
        format!("Nodes\n{}\n", lines.collect::<Vec<_>>().join("\n"))
    }

    async fn wait_until_ready(&self, plan: &SystemPlan) -> Result<(), LabError> {
        let begin = Instant::now();
        loop {
            let Some(missing) = self.nodes.iter().find_map(|node| missing_at(node, plan)) else {
                return Ok(());
            };
            if begin.elapsed() > READY_LIMIT {
                let message =
                    format!("after {READY_LIMIT:?} {missing}; look into the log with RUST_LOG=info");
                return Err(LabError::Part { part: "nodes", message });
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
    }
}

/// What a node does not see yet.
fn missing_at(node: &Node, plan: &SystemPlan) -> Option<String> {
    let context = node.context();
    let members = context.cluster.load().members.len();
    if members < plan.zones.len() {
        return Some(format!("{} sees {members} of {} nodes", context.node, plan.zones.len()));
    }
    let directory = context.directory.load();
    plan.pools.iter().find_map(|pool| {
        let wanted = pool.replicas_per_zone * plan.zones.len();
        let seen = directory.pools.get(&pool.pool).map_or(0, Vec::len);
        (seen < wanted)
            .then(|| format!("{} sees {seen} of {wanted} replicas of pool {}", context.node, pool.pool))
    })
}

async fn start_engines(plan: &SystemPlan, platform: &PlatformAddresses) -> Result<Vec<Engine>, LabError> {
    let mut engines = Vec::new();
    for pool in &plan.pools {
        for zone in &plan.zones {
            for number in 1..=pool.replicas_per_zone {
                let replica = format!("{}-{zone}-{number}", pool.pool);
                let mut options = EngineOptions::new(replica, pool.pool.clone(), zone.clone());
                options.weight_store = platform.weight_store;
                options.machine_list = platform.machine_list;
                engines.push(engine::start(options).await?);
            }
        }
    }
    Ok(engines)
}

/// The first node is the seed of the others. Their ports are reserved, so that each can be started again at its
/// addresses.
async fn start_nodes(
    plan: &SystemPlan,
    platform: PlatformAddresses,
    data_folder: &Path,
    ports: &mut Vec<ReservedPort>,
) -> Result<Vec<Node>, LabError> {
    let mut nodes: Vec<Node> = Vec::new();
    for zone in &plan.zones {
        let name = format!("node-{zone}");
        let mut settings = Settings::on_loopback(&name, zone.as_str());
        settings.roles = Roles { gateway: true, coordinator: true, store: true };
        settings.addresses = reserve_addresses(ports)?;
        settings.data_folder = Some(data_folder.join(&name));
        settings.platform = platform;
        settings.peers.seeds = nodes.first().map(|node| node.addresses().peers).into_iter().collect();
        let started = Node::start(settings).await;
        nodes.push(started.map_err(|error| LabError::Part { part: "node", message: error.to_string() })?);
    }
    Ok(nodes)
}

fn reserve_addresses(ports: &mut Vec<ReservedPort>) -> Result<ListenAddresses, LabError> {
    let mut reserve = || {
        let port = ReservedPort::reserve()?;
        let address = port.address();
        ports.push(port);
        Ok(address)
    };
    Ok(ListenAddresses { callers: reserve()?, operators: reserve()?, peers: reserve()? })
}
