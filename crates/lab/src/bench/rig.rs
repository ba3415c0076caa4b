//! Engines, a node and a caller in one process, each with threads of its own, over loopback.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lichenpulley_core::identity::{PoolName, ZoneName};
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;
use tokio::runtime::{Builder, Runtime};

use crate::engine::{self, Engine, EngineOptions};
use crate::error::LabError;
use crate::machine_list::{self, MachineListServer};
use crate::object_api::{self, ObjectApi};

/// The pool of the benchmark.
pub const POOL: &str = "bench-assistant";
const ZONE: &str = "sando-hall";
/// How long the node may take to list every engine.
const LISTED_LIMIT: Duration = Duration::from_secs(20);
/// How long ended streams are kept: short, so that a long run does not fill the memory.
const RETENTION: Duration = Duration::from_millis(500);

/// How the rig is built.
#[derive(Clone, Copy, Debug)]
pub struct RigOptions {
    /// Engines.
    pub engines: usize,
    /// Streams that each engine runs at once.
    pub capacity: u32,
    /// Time of one step of an engine.
    pub step_time: Duration,
    /// Threads of all engines together.
    pub engine_threads: usize,
    /// Threads that carry the gateway's traffic.
    pub gateway_threads: usize,
}

/// A running rig.
pub struct Rig {
    engines: Vec<Engine>,
    node: Node,
    runtime: Option<Runtime>,
    _object_api: ObjectApi,
    _machine_list: MachineListServer,
}

impl Rig {
    /// Starts everything.
    ///
    /// # Errors
    /// When a part does not start.
    pub async fn start(options: RigOptions) -> Result<Self, LabError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(options.engine_threads)
            .thread_name("engines")
            .enable_all()
            .build()
            .map_err(|source| LabError::Io {
                action: "start the engines' threads".to_owned(),
                remedy: "raise the limit of threads",
                source,
            })?;
        let object_api = object_api::start(object_api::Options::loopback()).await?;
        let machine_list = machine_list::start(machine_list::Options::loopback()).await?;
        let mut engines = Vec::new();
        for number in 0..options.engines {
            let engine = engine_options(number, &options, machine_list.address);
            let started = runtime.spawn(engine::start(engine)).await;
            engines.push(started.map_err(|error| failed("engine", &error))??);
        }
        let mut settings = Settings::on_loopback("bench", ZONE);
        settings.gateway.traffic_threads = options.gateway_threads;
        settings.platform.object_api = Some(object_api.address);
        settings.platform.machine_list = Some(machine_list.address);
        let node = Node::start(settings).await.map_err(|error| failed("node", &error))?;
        let rig = Self {
            engines,
            node,
            runtime: Some(runtime),
            _object_api: object_api,
            _machine_list: machine_list,
        };
        rig.wait_until_listed().await?;
        Ok(rig)
    }

    /// Where the gateway listens.
    pub fn gateway(&self) -> SocketAddr {
        self.node.addresses().callers
    }

    /// Where the engines listen.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(Engine::address).collect()
    }

    /// Whether each engine has had work.
    pub fn all_used(&self) -> bool {
        self.engines.iter().all(|engine| engine.counters().streams_admitted > 0)
    }

    /// Waits until the node's directory holds every engine.
    async fn wait_until_listed(&self) -> Result<(), LabError> {
        let begin = Instant::now();
        let pool = PoolName::new(POOL);
        loop {
            let directory = self.node.context().directory.load();
            let listed = directory.pools.get(&pool).map_or(0, Vec::len);
            if listed == self.engines.len() {
                return Ok(());
            }
            if begin.elapsed() > LISTED_LIMIT {
                let message =
                    format!("it lists {listed} of {} engines; look into the log", self.engines.len());
                return Err(LabError::Part { part: "node", message });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn engine_options(number: usize, options: &RigOptions, machine_list: SocketAddr) -> EngineOptions {
    let mut engine = EngineOptions::new(format!("bench-{number}"), PoolName::new(POOL), ZoneName::new(ZONE));
    engine.model.capacity = options.capacity;
    engine.model.step_time = options.step_time;
    engine.model.retention = RETENTION;
    engine.count_by_name = false;
    engine.machine_list = Some(machine_list);
    engine
}

fn failed(part: &'static str, error: &dyn std::error::Error) -> LabError {
    LabError::Part { part, message: error.to_string() }
}
