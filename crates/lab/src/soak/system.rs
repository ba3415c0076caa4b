//! The system under test: daemon processes, simulated platform and replicas, and the proxies between them.

mod injection;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use lichenpulley_platform::objects;
use serde_json::{Value, json};

use super::caller::{CRASHING_BODY, Callers, HOST};
use super::fault::{PlannedFault, SystemSize};
use super::history::EVENTS;
use super::node::{NodePlan, NodeProcess};
use super::proxy::LoopbackProxy;
use crate::error::LabError;
use crate::metadata_store::{self, MetadataStore};
use crate::platform_replica::{self, Replica, ReplicaBehaviour, ReplicaPlan, SeenRequest};
pub(super) use injection::OBSERVATION_PERIOD;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const SIZE: SystemSize = SystemSize { gateways: 3, stores: 3, replicas: 3, zones: ZONES.len() };
/// Time after which every running node that reaches the platform or a peer obeys an evacuation (`evac_ms` of the
/// platform's pages).
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);
/// Time after which all nodes know of the ended replicas that one node has seen (`contact_ms` of the platform's pages).
const PROPAGATED_WITHIN: Duration = Duration::from_secs(3);
/// Maximum number of further replicas that a request may end after that, once three have ended while they ran it.
const MAX_REPLICAS_ENDED: usize = 3;
/// How many times the final check sends the request to each gateway.
const QUARANTINE_CHECK_ROUNDS: usize = 3;
/// Time limit of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Daemon binaries that the nodes run. With a previous release, each node starts with it and alternates at each restart, so
/// that both releases run side by side and take over each other's data.
#[derive(Clone, Debug)]
pub struct DaemonBuilds {
    /// Binary of the current release.
    pub current: PathBuf,
    /// Binary of the previous release, if any.
    pub previous: Option<PathBuf>,
}

impl DaemonBuilds {
    /// Returns the binary for a node that has started `earlier_starts` times before.
    fn for_start(&self, earlier_starts: usize) -> &Path {
        match &self.previous {
            Some(previous) if earlier_starts.is_multiple_of(2) => previous,
            _ => &self.current,
        }
    }
}

/// The running system of a soak.
pub(super) struct SoakSystem {
    builds: DaemonBuilds,
    /// Number of starts, by node name.
    starts: BTreeMap<String, usize>,
    folder: PathBuf,
    platform: MetadataStore,
    replicas: Vec<Replica>,
    /// Replicas that have ended, each with the index of its successor in `replicas`.
    ended_replicas: Vec<(usize, Replica)>,
    replica_proxies: Vec<LoopbackProxy>,
    platform_proxies: Vec<LoopbackProxy>,
    stores: Vec<Option<NodeProcess>>,
    gateways: Vec<Option<NodeProcess>>,
    callers: Callers,
    /// Replicas without injected faults, which serve jobs that are ended while they are open.
    fault_free_replicas: Vec<Replica>,
}

impl SoakSystem {
    /// Starts the metadata store, the replicas and all nodes.
    ///
    /// # Errors
    /// When a port can't be bound or a process can't be started.
    pub(super) async fn spawn(builds: &DaemonBuilds, folder: &Path) -> Result<Self, LabError> {
        let platform = metadata_store::start().await?;
        platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, configuration());
        let mut system = Self {
            builds: builds.clone(),
            starts: BTreeMap::new(),
            folder: folder.to_owned(),
            platform,
            replicas: Vec::new(),
            ended_replicas: Vec::new(),
            replica_proxies: Vec::new(),
            platform_proxies: Vec::new(),
            stores: Vec::new(),
            gateways: Vec::new(),
            callers: Callers::new(SIZE.gateways),
            fault_free_replicas: Vec::new(),
        };
        for number in 0..SIZE.replicas {
            system.add_replica(number).await?;
        }
        for number in 0..SIZE.stores {
            system.stores.push(None);
            system.start_store(number).await?;
        }
        for number in 0..SIZE.gateways {
            system.platform_proxies.push(LoopbackProxy::bind(system.platform.address).await?);
            system.gateways.push(None);
            system.start_gateway(number).await?;
        }
        Ok(system)
    }

    async fn add_replica(&mut self, number: usize) -> Result<(), LabError> {
        let id = format!("replica-{number}");
        let replica = platform_replica::start(replica_plan(&id)).await?;
        let proxy = LoopbackProxy::bind(replica.address).await?;
        self.register_replica(number, &replica, &proxy);
        self.replicas.push(replica);
        self.replica_proxies.push(proxy);
        Ok(())
    }

    fn register_replica(&self, number: usize, replica: &Replica, proxy: &LoopbackProxy) {
        let mut record = replica.record("engines", ZONES[number % ZONES.len()]);
        record["address"] = json!(proxy.address.to_string());
        self.platform.put(objects::REPLICAS, &replica.id(), record);
    }

    /// Restarts the replicas that have ended, each at its address and every second one with its former id. Returns their number.
    ///
    /// # Errors
    /// When an address can't be bound again.
    pub(super) async fn restart_ended_replicas(&mut self) -> Result<usize, LabError> {
        let ended: Vec<usize> =
            (0..self.replicas.len()).filter(|number| self.replicas[*number].has_ended()).collect();
        for number in &ended {
            let ended_id = self.replicas[*number].id();
            let keeps_id = self.ended_replicas.len() % 2 == 1;
            let new_id = || format!("replica-{number}-{}", self.ended_replicas.len());
            let id = if keeps_id { ended_id.clone() } else { new_id() };
            let replica =
                platform_replica::start_at(self.replicas[*number].address, replica_plan(&id)).await?;
            if !keeps_id {
                self.platform.remove(objects::REPLICAS, &ended_id);
            }
            self.register_replica(*number, &replica, &self.replica_proxies[*number]);
            let before = std::mem::replace(&mut self.replicas[*number], replica);
            self.ended_replicas.push((*number, before));
        }
        Ok(ended.len())
    }

    /// Ends a replica, together with the requests that run on it.
    pub(super) fn end_replica(&self, number: usize) {
        self.replicas[number].end();
    }

    /// Checks, once all faults are undone, that the request that ends replicas ends at most [`MAX_REPLICAS_ENDED`] more of them
    /// through all gateways together, and that no other request is in quarantine.
    ///
    /// # Errors
    /// When a replica can't be restarted.
    pub(super) async fn check_quarantine(&mut self) -> Result<(), LabError> {
        self.restart_ended_replicas().await?;
        tokio::time::sleep(PROPAGATED_WITHIN).await;
        let mut ended = 0;
        for turn in 0..QUARANTINE_CHECK_ROUNDS * self.gateways.len() {
            self.callers.send_crashing_request(turn).await;
            ended += self.restart_ended_replicas().await?;
        }
        if ended > MAX_REPLICAS_ENDED {
            let seen = format!("{ended} more replicas ended");
            self.record_violation(
                "a request under which replicas end is kept from all others",
                "ending",
                seen,
            );
        }
        for number in 0..self.gateways.len() {
            let Some(operators) = self.gateways[number].as_ref().and_then(|node| node.address("operators"))
            else {
                continue;
            };
            for fingerprint in self.callers.quarantined_at(operators).await {
                if fingerprint != Callers::crashing_request_fingerprint().to_string() {
                    self.record_violation(
                        "no other request is held back",
                        &fingerprint,
                        format!("held at gateway {number}"),
                    );
                }
            }
        }
        Ok(())
    }

    fn record_violation(&self, promise: &'static str, id: &str, seen: String) {
        let at_ms = self.callers.now_ms();
        self.callers.history().record_violation(at_ms, promise, id, seen);
    }

    /// Returns the peer addresses of up to three running nodes.
    fn seeds(&self) -> Vec<SocketAddr> {
        let running = self.stores.iter().chain(&self.gateways).flatten();
        running.filter_map(|node| node.address("peers")).take(3).collect()
    }

    /// Starts a store unless it runs.
    async fn start_store(&mut self, number: usize) -> Result<(), LabError> {
        if self.stores[number].is_some() {
            return Ok(());
        }
        let (name, zone) = (format!("store-{number}"), ZONES[number].to_owned());
        let plan = NodePlan { name, zone, is_store: true, platform: self.platform.address };
        let node = self.start_node(plan).await?;
        self.stores[number] = Some(node);
        Ok(())
    }

    /// Starts a gateway unless it runs.
    async fn start_gateway(&mut self, number: usize) -> Result<(), LabError> {
        if self.gateways[number].is_some() {
            return Ok(());
        }
        let (name, zone) = (format!("gateway-{number}"), ZONES[number].to_owned());
        let platform = self.platform_proxies[number].address;
        let plan = NodePlan { name, zone, is_store: false, platform };
        let node = self.start_node(plan).await?;
        self.callers.set_gateway(number, node.address("callers"));
        self.gateways[number] = Some(node);
        Ok(())
    }

    async fn start_node(&mut self, plan: NodePlan) -> Result<NodeProcess, LabError> {
        let starts = self.starts.entry(plan.name.clone()).or_default();
        let binary = self.builds.for_start(*starts);
        *starts += 1;
        NodeProcess::spawn(binary, &self.folder, plan, &self.seeds()).await
    }

    /// Returns the jobs whose end a gateway has read, according to the gateways' logs.
    pub(super) fn jobs_with_read_end(&self) -> BTreeSet<String> {
        let logs = (0..SIZE.gateways).map(|number| self.folder.join(format!("gateway-{number}.log")));
        logs.filter_map(|log| std::fs::read_to_string(log).ok()).flat_map(|log| read_ends(&log)).collect()
    }

    /// Returns the callers of this system's gateways.
    pub(super) fn callers(&self) -> Callers {
        self.callers.clone()
    }

    /// Returns the number of processes of each kind.
    pub(super) const fn size(&self) -> SystemSize {
        SIZE
    }

    /// Starts the replicas for jobs that are ended while they are open: engines, and a scorer whose responses are all lost.
    ///
    /// # Errors
    /// When no port can be bound.
    pub(super) async fn start_fault_free_replicas(&mut self) -> Result<(), LabError> {
        for (number, service) in ["ended", "ended", "lossy"].into_iter().enumerate() {
            let id = format!("spared-{number}");
            let replica = platform_replica::start(replica_plan(&id)).await?;
            if service == "lossy" {
                replica.set_behaviour(ReplicaBehaviour::LosesAnswers);
            }
            self.platform.put(objects::REPLICAS, &id, replica.record(service, ZONES[number]));
            self.fault_free_replicas.push(replica);
        }
        Ok(())
    }

    /// Returns the requests that all replicas began to run, including replicas that have ended.
    pub(super) fn seen(&self) -> Vec<SeenRequest> {
        let ended = self.ended_replicas.iter().map(|(_, replica)| replica);
        self.replicas.iter().chain(ended).chain(&self.fault_free_replicas).flat_map(Replica::seen).collect()
    }

    /// Injects a fault and undoes it, with a zone evacuated meanwhile if the plan has one.
    ///
    /// # Errors
    /// When a process exited unexpectedly or can't be restarted.
    pub(super) async fn inject(&mut self, planned: PlannedFault) -> Result<(), LabError> {
        let Some(zone) = planned.evacuated else { return self.inject_overlapping(&[planned]).await };
        self.platform.put(objects::EVACUATIONS, ZONES[zone], json!({}));
        tokio::time::sleep(EVACUATED_WITHIN).await;
        let before = self.requests_in_zone(zone);
        let result = self.inject_overlapping(&[planned]).await;
        self.check_evacuated(zone, before);
        self.platform.remove(objects::EVACUATIONS, ZONES[zone]);
        result
    }

    /// Returns the number of requests that the replicas of a zone have begun to run.
    fn requests_in_zone(&self, zone: usize) -> usize {
        let ended = self.ended_replicas.iter().map(|(number, replica)| (*number, replica));
        let replicas = self.replicas.iter().enumerate().chain(ended);
        let replicas = replicas.filter(|(number, _)| number % ZONES.len() == zone);
        replicas.map(|(_, replica)| replica.seen().len()).sum()
    }

    /// Records a violation if the replicas of a zone have begun to run more than `before` requests.
    fn check_evacuated(&self, zone: usize, before: usize) {
        let later = self.requests_in_zone(zone) - before;
        if later > 0 {
            let seen = format!("{later} requests began there");
            self.record_violation("nothing goes to an evacuated zone", ZONES[zone], seen);
        }
    }

    /// Returns an error if a process has exited unexpectedly.
    fn check_processes_alive(&mut self) -> Result<(), LabError> {
        for node in self.stores.iter_mut().chain(&mut self.gateways).flatten() {
            if node.has_ended() {
                let message = format!("{} exited unexpectedly; see its log", node.plan.name);
                return Err(LabError::CheckFailed(message));
            }
        }
        Ok(())
    }

    /// Reads the results of every job again from the first, to check that they have not changed.
    pub(super) async fn recheck_all_jobs(&self) {
        let jobs = self.callers.history().jobs();
        for job in jobs {
            self.callers.read_all_results(&job, Duration::from_secs(60)).await;
        }
    }
}

/// Returns the jobs whose end was read according to a node's log.
fn read_ends(log: &str) -> Vec<String> {
    let decisions = log.lines().filter(|line| line.contains("end_read"));
    let decisions = decisions.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let reads = decisions.filter(|decision| decision["message"] == "end_read");
    reads.filter_map(|decision| decision["id"].as_str().map(str::to_owned)).collect()
}

fn replica_plan(id: &str) -> ReplicaPlan {
    let models = BTreeMap::from([("m".to_owned(), 1)]);
    let crash_on_body = Some(Bytes::from_static(CRASHING_BODY));
    ReplicaPlan { id: id.to_owned(), events: EVENTS, pause: Duration::from_millis(20), models, crash_on_body }
}

fn configuration() -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 3_000,
            "target_ms": 300, "service": service, "max_attempts": 3, "resumable": false, "max_queue_s": 300.0,
            "due_ms": 7_500})
    };
    let engines = |name: &str| {
        json!({"name": name,
            "engine": {"slots": 4, "kv_cap_tokens": 100_000, "models": [{"name": "m"}]}})
    };
    json!({
        "version": 1,
        "routes": [route("read", "/read/", "idempotent", "engines"),
            route("write", "/write/", "non_idempotent", "engines"),
            route("rollouts", "/rollouts/", "rollout", "engines"),
            route("ended", "/ended/", "rollout", "ended"), route("lossy", "/lossy/", "idempotent", "lossy")],
        "services": [engines("engines"), engines("ended"), {"name": "lossy"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 2_000_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
    })
}
