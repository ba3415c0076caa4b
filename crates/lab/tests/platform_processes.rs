//! The platform's path over real processes that are stopped and go on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_daemon::http::client::{HttpClient, build};
use lichenpulley_lab::metadata_store::{self, MetadataStore};
use lichenpulley_lab::platform_replica::{self, Replica, ReplicaPlan};
use lichenpulley_lab::soak::node::{NodePlan, NodeProcess};
use lichenpulley_platform::objects;
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bounds a test that would fail anyway.
const PATIENCE: Duration = Duration::from_secs(60);
const HOST: &str = "shop.example";

/// Three stores and one gateway as processes, and the stand-ins that they need.
struct Processes {
    folder: TempDir,
    gateway: NodeProcess,
    _stores: Vec<NodeProcess>,
    _platform: MetadataStore,
    _replica: Replica,
}

impl Processes {
    async fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let platform = metadata_store::start().await.expect("a metadata store");
        platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, configuration());
        let replica = platform_replica::start(endless_replica()).await.expect("a replica");
        platform.put(objects::REPLICAS, "replica", replica.record("engines", "zone-a"));
        let mut stores: Vec<NodeProcess> = Vec::new();
        for number in 0..3 {
            let plan = node_plan(&format!("store-{number}"), true, platform.address);
            let node = spawn(&folder, plan, stores.first()).await;
            stores.push(node);
        }
        let gateway = spawn(&folder, node_plan("gateway", false, platform.address), stores.first()).await;
        Self { folder, gateway, _stores: stores, _platform: platform, _replica: replica }
    }

    fn callers(&self) -> SocketAddr {
        self.gateway.address("callers").expect("a port for callers")
    }

    /// Hands a job in until it is taken. Its one item runs for longer than any test.
    async fn submit(&self, job: &str) {
        let item = json!({"id": "item", "path": "/stream/x", "headers": {"Model": "m"}, "body": "Ym9keQ==",
            "tokens": 100, "group": "g"});
        let body = json!({"step": 0, "model": "m", "min_version": 1, "desired": 1, "items": [item]});
        let body = serde_json::to_vec(&body).expect("a body");
        let http = HttpClient::new(Duration::from_secs(1));
        let taken = async {
            loop {
                let mut request = build(Method::POST, self.callers(), "/rollouts/x", body.clone().into())
                    .expect("a request");
                request.headers_mut().insert("host", HOST.parse().expect("a host"));
                request.headers_mut().insert("attempt-id", job.parse().expect("an id"));
                let answer = http.send(self.callers(), request, Instant::now() + PATIENCE).await;
                if answer.is_ok_and(|answer| answer.status() == StatusCode::ACCEPTED) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(PATIENCE, taken).await.expect("the job is taken");
    }

    /// Waits until the gateway's log has a line of this decision about a job.
    async fn wait_for(&self, message: &str, job: &str) {
        let log = self.folder.path().join("gateway.log");
        let written = async {
            loop {
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                let is_it = |line: &str| {
                    let line: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
                    line["message"] == message && line["id"] == job
                };
                if text.lines().any(is_it) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(PATIENCE, written).await.expect("the line in time");
    }
}

async fn spawn(folder: &TempDir, plan: NodePlan, seed: Option<&NodeProcess>) -> NodeProcess {
    let binary = Path::new(env!("CARGO_BIN_EXE_lichenpulley-lab")).with_file_name("lichenpulleyd");
    let seeds: Vec<SocketAddr> = seed.and_then(|node| node.address("peers")).into_iter().collect();
    NodeProcess::spawn(&binary, folder.path(), plan, &seeds).await.expect("a node")
}

fn node_plan(name: &str, is_store: bool, platform: SocketAddr) -> NodePlan {
    NodePlan { name: name.to_owned(), zone: "zone-a".to_owned(), is_store, platform }
}

fn endless_replica() -> ReplicaPlan {
    let models = BTreeMap::from([("m".to_owned(), 1)]);
    ReplicaPlan {
        id: "replica".to_owned(),
        events: 1_000_000,
        pause: Duration::from_millis(20),
        models,
        crash_on_body: None,
    }
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{"name": "rollouts", "host": HOST, "path_prefix": "/rollouts/", "kind": "rollout",
            "timeout_ms": 3_000, "target_ms": 300, "service": "engines", "max_attempts": 3, "resumable": false,
            "max_queue_s": 300.0, "due_ms": 7_500}],
        "services": [{"name": "engines", "engine": {"slots": 4, "kv_cap_tokens": 100_000,
            "models": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 2_000_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
    })
}

/// A gateway that stood still found an end and the close of its connection at the same time, and dropped the request without a look at
/// it: of the ends in 24 soaks the five that were not kept although a gateway lived are of this kind.
#[tokio::test]
async fn an_end_whose_caller_left_before_the_gateway_read_it_ends_the_job() {
    let processes = Processes::start().await;
    processes.submit("job").await;
    processes.gateway.signal(Signal::STOP);
    let mut caller = TcpStream::connect(processes.callers()).await.expect("a connection");
    let head = format!("DELETE /-/lots/job HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("a request");
    drop(caller);
    processes.gateway.signal(Signal::CONT);
    processes.wait_for("end_kept", "job").await;
}
