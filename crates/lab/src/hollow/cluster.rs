//! A cluster of hollow nodes with the platform's stand-ins.

use std::net::SocketAddr;
use std::ops::Sub;
use std::time::{Duration, Instant};

use lichenpulley_core::identity::{PoolName, Revision, ZoneName};
use lichenpulley_daemon::cluster::Roles;
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::{PlatformAddresses, Settings};
use lichenpulley_protocol::operator::{ChangeConfiguration, ConfigurationChanged};
use lichenpulley_protocol::platform::{Machine, MachineKind, MachineState};

use crate::error::LabError;
use crate::machine_list::{self, MachineListServer};
use crate::object_api::{self, ObjectApi};

/// Zones of the letter.
const ZONES: usize = 7;

/// Nodes that the others are told of at their start.
const SEEDS: usize = 3;

/// Pools among which the replicas are divided.
const POOLS: usize = 4;

/// An address that nobody answers at; hollow nodes have no callers, so nothing is sent there.
const NOBODY: &str = "127.0.0.1:9";

/// How long a cluster may take to form.
const FORM_LIMIT: Duration = Duration::from_secs(180);

/// How long a change may take: the letter's bound is 13 s.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);

const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Nodes, and the platform that they read.
pub(super) struct HollowCluster {
    nodes: Vec<Node>,
    _object_api: ObjectApi,
    _machine_list: MachineListServer,
    formed_after: Duration,
}

/// What the nodes counted, added up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    /// Bytes of membership sent, UDP and IPv4 headers counted.
    pub(super) membership_bytes: f64,
    /// Bytes of requests between nodes and their answers, without TCP and IP headers.
    pub(super) request_bytes: f64,
    /// Requests between nodes and their answers.
    pub(super) request_frames: f64,
    /// Suspicions and failures that members declared or heard of; none is wanted here.
    pub(super) doubts: f64,
}

impl Sub for Traffic {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            membership_bytes: self.membership_bytes - before.membership_bytes,
            request_bytes: self.request_bytes - before.request_bytes,
            request_frames: self.request_frames - before.request_frames,
            doubts: self.doubts - before.doubts,
        }
    }
}

impl HollowCluster {
    pub(super) async fn start(size: usize, replicas: usize) -> Result<Self, LabError> {
        let object_api = object_api::start(object_api::Options::loopback()).await?;
        let mut options = machine_list::Options::loopback();
        options.machines = (0..replicas).map(replica).collect();
        let machine_list = machine_list::start(options).await?;
        let platform = PlatformAddresses {
            object_api: Some(object_api.address),
            machine_list: Some(machine_list.address),
            ..PlatformAddresses::default()
        };
        let begin = Instant::now();
        let mut nodes: Vec<Node> = Vec::with_capacity(size);
        for index in 0..size {
            let seeds = nodes.iter().take(SEEDS).map(|node| node.addresses().peers).collect();
            nodes.push(start_node(index, seeds, platform).await?);
        }
        let mut cluster = Self {
            nodes,
            _object_api: object_api,
            _machine_list: machine_list,
            formed_after: Duration::ZERO,
        };
        cluster.wait_until_formed(begin).await?;
        Ok(cluster)
    }

    /// Time from the first node's start until every node saw all others and knew its configuration.
    pub(super) fn formed_after(&self) -> Duration {
        self.formed_after
    }

    /// What the nodes have counted so far.
    pub(super) fn traffic(&self) -> Traffic {
        let mut traffic = Traffic::default();
        for node in &self.nodes {
            let text = node.context().metrics.encode().unwrap_or_default();
            traffic.membership_bytes += total(&text, "lichenpulley_membership_sent_bytes_total");
            traffic.request_bytes += total(&text, "lichenpulley_peer_bytes_total");
            traffic.request_frames += total(&text, "lichenpulley_peer_frames_total");
            traffic.doubts += total(&text, "lichenpulley_decisions_total{action=\"suspected\"");
            traffic.doubts += total(&text, "lichenpulley_decisions_total{action=\"failed\"");
        }
        traffic
    }

    /// Changes one setting at the first node; gives the time until it is in force on all.
    pub(super) async fn time_one_change(&self) -> Result<Duration, LabError> {
        let first = &self.nodes[0];
        let question = ChangeConfiguration {
            base_revision: first.context().configuration.load().revision,
            change_id: format!("hollow-{}", self.nodes.len()),
            path: "/".to_owned(),
            key: "request_deadline_ms".to_owned(),
            value: Some(serde_json::json!(45_000)),
        };
        let begin = Instant::now();
        let client = HttpClient::new(CHANGE_LIMIT);
        let operators = first.addresses().operators;
        let changed: Result<ConfigurationChanged, _> =
            client.put_json(operators, "/v1/config", &question, CHANGE_LIMIT).await;
        let changed = changed.map_err(|error| LabError::Part {
            part: "change of configuration",
            message: error.to_string(),
        })?;
        while !self.is_in_force(changed.revision) {
            if begin.elapsed() > CHANGE_LIMIT {
                return Err(LabError::CheckFailed(format!(
                    "the change is not in force after {CHANGE_LIMIT:?}"
                )));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(begin.elapsed())
    }

    fn is_in_force(&self, revision: Revision) -> bool {
        self.nodes.iter().all(|node| node.context().configuration.load().revision >= revision)
    }

    async fn wait_until_formed(&mut self, begin: Instant) -> Result<(), LabError> {
        let size = self.nodes.len();
        let is_whole = |node: &Node| {
            let context = node.context();
            context.cluster.load().members.len() == size && context.configuration.load().known
        };
        loop {
            let whole = self.nodes.iter().filter(|node| is_whole(node)).count();
            if whole == size {
                self.formed_after = begin.elapsed();
                return Ok(());
            }
            if begin.elapsed() > FORM_LIMIT {
                let message = format!("after {FORM_LIMIT:?} {whole} of {size} nodes see the whole cluster");
                return Err(LabError::Part { part: "hollow nodes", message });
            }
            tokio::time::sleep(LOOK_INTERVAL * 20).await;
        }
    }
}

async fn start_node(
    index: usize,
    seeds: Vec<SocketAddr>,
    platform: PlatformAddresses,
) -> Result<Node, LabError> {
    let mut settings = Settings::on_loopback(&format!("node-{index:03}"), &format!("zone-{}", index % ZONES));
    settings.roles = Roles { gateway: true, coordinator: true, store: false };
    settings.gateway.traffic_threads = 1;
    settings.platform = platform;
    settings.peers.seeds = seeds;
    let started = Node::start(settings).await;
    started.map_err(|error| LabError::Part { part: "node", message: error.to_string() })
}

fn replica(index: usize) -> Machine {
    Machine {
        id: format!("replica-{index:03}"),
        kind: MachineKind::Engine,
        zone: ZoneName::new(format!("zone-{}", index % ZONES)),
        address: NOBODY.to_owned(),
        pool: Some(PoolName::new(format!("pool-{}", index % POOLS))),
        state: MachineState::Live,
    }
}

/// The sum of the samples of a metric in Prometheus text whose line starts with `prefix`.
fn total(text: &str, prefix: &str) -> f64 {
    let samples = text.lines().filter(|line| line.starts_with(prefix));
    samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
