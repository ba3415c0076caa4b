//! A gateway on the users' platform as a process, with stand-ins of the platform and of replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_daemon::http::client::{HttpClient, build};
use lichenpulley_lab::metadata_store::{self, MetadataStore};
use lichenpulley_lab::platform_replica::{self, Replica, ReplicaBehaviour, ReplicaPlan};
use lichenpulley_platform::objects;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;

use super::MEMORY_MB;
use super::usage::{MemoryWatch, open_descriptors};
use crate::processes::{Process, wait_for};

pub const HOST: &str = "shop.example";
/// Longest body of a request, where a test doesn't set another.
pub const BODY_LIMIT_BYTES: usize = 8_000_000;
/// Deadline of a crowd's requests. An ordinary caller does not wait for it.
const CROWD_DEADLINE_MS: u64 = 600_000;
/// Deadline of an ordinary caller's request.
const DEADLINE: Duration = Duration::from_secs(20);
/// Tries of an ordinary caller.
const TRIES: usize = 3;
const STORES: usize = 3;

/// The processes of a test and what they talk to.
pub struct Edge {
    pub gateway: Process,
    pub stores: Vec<Process>,
    memory: MemoryWatch,
    _platform: MetadataStore,
    _replicas: Vec<Replica>,
    _folder: TempDir,
}

impl Edge {
    /// Starts a gateway on the smallest machine.
    pub async fn start() -> Self {
        Self::with_plan(BODY_LIMIT_BYTES, false).await
    }

    /// Starts a gateway that may have so many descriptors.
    pub async fn with_descriptors(descriptors: u64) -> Self {
        let own = getrlimit(Resource::Nofile);
        let lowered = Rlimit { current: Some(descriptors), maximum: own.maximum };
        // Processes take over the limit of the one that starts them.
        setrlimit(Resource::Nofile, lowered).expect("the limit is lowered");
        let edge = Self::start().await;
        setrlimit(Resource::Nofile, own).expect("the limit is raised");
        edge
    }

    /// Starts a gateway, and stores that keep batch jobs.
    pub async fn with_stores() -> Self {
        Self::with_plan(BODY_LIMIT_BYTES, true).await
    }

    pub async fn with_plan(body_limit_bytes: usize, has_stores: bool) -> Self {
        let folder = TempDir::new().expect("a folder");
        let platform = metadata_store::start().await.expect("a metadata store");
        let document = configuration(body_limit_bytes);
        platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, document);
        let well = start_replica(&platform, "well").await;
        well.set_behaviour(ReplicaBehaviour::AnswersBriefly);
        let silent = start_replica(&platform, "silent").await;
        silent.set_behaviour(ReplicaBehaviour::LosesAnswers);
        let mut stores: Vec<Process> = Vec::new();
        for number in 0..if has_stores { STORES } else { 0 } {
            let name = format!("store-{number}");
            let seed = stores.first().map(|store| store.address("peers"));
            let store = start_node(&folder, &name, true, platform.address, seed).await;
            stores.push(store);
        }
        let seed = stores.first().map(|store| store.address("peers"));
        let gateway = start_node(&folder, "gateway", false, platform.address, seed).await;
        let memory = MemoryWatch::start(gateway.id(), gateway.address("callers"));
        let replicas = vec![well, silent];
        let edge =
            Self { gateway, stores, memory, _platform: platform, _replicas: replicas, _folder: folder };
        wait_for("the gateway serves", || async { (edge.read(100).await == StatusCode::OK).then_some(()) })
            .await;
        if has_stores {
            let small = job(1, 100);
            wait_for("a job is taken", || async {
                (edge.post("/rollouts/x", &small).await == Some(StatusCode::ACCEPTED)).then_some(())
            })
            .await;
        }
        edge
    }

    pub fn callers(&self) -> SocketAddr {
        self.gateway.address("callers")
    }

    /// Sends a request once; `None` if the connection failed.
    pub async fn post(&self, path: &str, body: &[u8]) -> Option<StatusCode> {
        let http = HttpClient::new(DEADLINE);
        let mut request = build(Method::POST, self.callers(), path, body.to_vec().into()).expect("a request");
        let headers = request.headers_mut();
        headers.insert("host", HOST.parse().expect("a host"));
        headers.insert("attempt-id", format!("{:x}", rand::random::<u64>()).parse().expect("an id"));
        headers.insert("deadline-ms", DEADLINE.as_millis().to_string().parse().expect("a deadline"));
        http.send(self.callers(), request, Instant::now() + DEADLINE).await.ok().map(|answer| answer.status())
    }

    async fn read(&self, body_bytes: usize) -> StatusCode {
        let body = vec![b'o'; body_bytes];
        self.post("/read/x", &body).await.unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Sends an ordinary request as a caller does, which tries again after a refusal.
    pub async fn ordinary_request(&self, body_bytes: usize) -> StatusCode {
        let mut status = StatusCode::BAD_GATEWAY;
        for _ in 0..TRIES {
            status = self.read(body_bytes).await;
            if status == StatusCode::OK {
                break;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        status
    }

    /// Asserts that the gateway lives within its machine, and that ordinary callers are served.
    pub async fn assert_bears(&mut self, when: &str) {
        self.assert_within_machine(when);
        for body_bytes in [1_000, 1_000_000] {
            assert_eq!(self.ordinary_request(body_bytes).await, StatusCode::OK, "{when}: {body_bytes} bytes");
        }
        self.assert_within_machine(when);
    }

    pub fn assert_within_machine(&mut self, when: &str) {
        assert!(self.gateway.is_running(), "{when}: the gateway has ended");
        assert!(self.stores.iter_mut().all(Process::is_running), "{when}: a store has ended");
        self.memory.assert_within_machine(when);
    }

    pub fn descriptors(&self) -> usize {
        open_descriptors(self.gateway.id())
    }
}

/// The head of a request whose framing follows.
pub fn head(path: &str) -> String {
    let id = rand::random::<u64>();
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id:x}\r\ndeadline-ms: {CROWD_DEADLINE_MS}")
}

/// A batch job of so many items whose bodies have this length, before they are encoded.
pub fn job(items: usize, body_bytes: usize) -> Vec<u8> {
    let body = "YWFh".repeat(body_bytes.div_ceil(3));
    let item = |number: usize| {
        json!({"id": format!("{:x}-{number}", rand::random::<u32>()), "path": "/stream/x",
            "headers": {"Model": "m"}, "body": body, "tokens": 100, "group": "g"})
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    let job = json!({"step": 0, "model": "m", "min_version": 1, "desired": 1, "items": items});
    serde_json::to_vec(&job).expect("JSON")
}

async fn start_replica(platform: &MetadataStore, name: &str) -> Replica {
    let plan = ReplicaPlan {
        id: name.to_owned(),
        events: 1_000_000,
        pause: Duration::from_millis(100),
        models: BTreeMap::from([("m".to_owned(), 1)]),
        crash_on_body: None,
    };
    let replica = platform_replica::start(plan).await.expect("a replica");
    platform.put(objects::REPLICAS, name, replica.record(name, "zone-a"));
    replica
}

async fn start_node(
    folder: &TempDir,
    name: &str,
    is_store: bool,
    platform: SocketAddr,
    seed: Option<SocketAddr>,
) -> Process {
    let settings = folder.path().join(format!("{name}.toml"));
    let (roles, memory_mb) =
        if is_store { ("[\"store\"]", 130) } else { ("[\"gateway\", \"coordinator\"]", MEMORY_MB) };
    let data = folder.path().join(format!("{name}.data"));
    let data = if is_store { format!("data_folder = \"{}\"\n", data.display()) } else { String::new() };
    let seeds = seed.map(|seed| format!("\"{seed}\"")).unwrap_or_default();
    let text = format!(
        "node = \"{name}\"\nzone = \"zone-a\"\nroles = {roles}\n{data}\
         [addresses]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [machine]\nmemory_mb = {memory_mb}\n\
         [gateway]\ntraffic_threads = 1\n\
         [peers]\nseeds = [{seeds}]\n\
         [platform]\nmetadata_store = \"{platform}\"\n\
         [store]\ntolerated_losses = 1\n"
    );
    std::fs::write(&settings, text).expect("a settings file");
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    Process::start(folder.path(), name, "lichenpulleyd", &arguments).await
}

fn configuration(body_limit_bytes: usize) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": CROWD_DEADLINE_MS, "target_ms": 300, "service": service, "max_attempts": 1, "resumable": false,
            "max_queue_s": 300.0, "due_ms": 7_500})
    };
    json!({
        "version": 1,
        "routes": [route("read", "idempotent", "well"), route("silent", "non_idempotent", "silent"),
            route("stream", "streaming", "well"), route("rollouts", "rollout", "well")],
        "services": [
            {"name": "well", "engine": {"slots": 4, "kv_cap_tokens": 100_000, "models": [{"name": "m"}]}},
            {"name": "silent"}
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": body_limit_bytes, "header_timeout_ms": 30_000,
            "idle_timeout_ms": 30_000},
    })
}
