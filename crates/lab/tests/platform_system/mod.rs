//! A whole system on the users' platform in one process: stand-ins of the platform, stores and gateways.

pub(crate) mod nodes;
pub(crate) mod plan;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use lichenpulley_core::ingress::places::ZoneMap;
use lichenpulley_core::replication::placement::ToleranceTarget;
use lichenpulley_daemon::cluster::Roles;
use lichenpulley_daemon::http::client::{HttpClient, build};
use lichenpulley_daemon::logging;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::{DutySettings, Settings};
use lichenpulley_lab::metadata_store::{self, MetadataStore};
use lichenpulley_lab::platform_duties::PlatformDuties;
use lichenpulley_lab::platform_replica::{self, Replica, ReplicaPlan};
use lichenpulley_platform::objects;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::Instant;

pub(crate) use plan::{SystemPlan, configuration};

/// Bounds a test that would fail anyway.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
pub(crate) const ZONES: [&str; 3] = ["kajang", "shah-alam", "ampang"];
pub(crate) const STORES: usize = 3;

/// Stores, gateways, replicas and the platform's stand-in.
pub(crate) struct System {
    pub(crate) platform: MetadataStore,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) stores: Vec<Option<Node>>,
    pub(crate) gateways: Vec<Option<Node>>,
    pub(crate) folders: Vec<TempDir>,
    pub(crate) http: HttpClient,
    pub(crate) plan: SystemPlan,
    /// Replicas that were started anew.
    lives: usize,
}

/// Waits until something holds, looking often.
pub(crate) async fn until(mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.expect("it holds in time");
}

/// Writes the nodes' log lines and the status of each call to standard output if `RUST_LOG` is set.
fn log_on_request() {
    if std::env::var_os("RUST_LOG").is_some() {
        // Only the first system of a process starts the log; later ones share it.
        let _ = logging::start();
    }
}

pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

impl System {
    pub(crate) async fn start(replicas: usize, events: u64) -> Self {
        Self::with_plan(SystemPlan::default(), replicas, events).await
    }

    /// A system that keeps entries of replicas so long which vanished while the platform's store was away.
    pub(crate) async fn with_lapse_grace(lapse_grace: Duration, replicas: usize) -> Self {
        Self::with_plan(SystemPlan { lapse_grace, ..SystemPlan::default() }, replicas, 3).await
    }

    /// A system that has duties towards the platform.
    pub(crate) async fn with_duties(duties: PlatformDuties, replicas: usize) -> Self {
        Self::with_plan(SystemPlan { duties: Some(duties), ..SystemPlan::default() }, replicas, 3).await
    }

    /// A system whose stores bear the loss of so many disks at once.
    pub(crate) async fn tolerating(tolerated_losses: usize, replicas: usize, events: u64) -> Self {
        Self::with_plan(SystemPlan { tolerated_losses, ..SystemPlan::default() }, replicas, events).await
    }

    /// A system with so many stores, which should bear the loss of so many disks at once.
    pub(crate) async fn with_stores(stores: usize, tolerated_losses: usize) -> Self {
        let plan = SystemPlan { tolerated_losses, stores: Some(stores), ..SystemPlan::default() };
        Self::with_plan(plan, 2, 3).await
    }

    /// A system in which no node follows the log of the batch jobs.
    pub(crate) async fn without_follower(replicas: usize, events: u64) -> Self {
        let follow_after = Duration::from_secs(3_600);
        Self::with_plan(SystemPlan { follow_after, ..SystemPlan::default() }, replicas, events).await
    }

    /// A system whose zones lie in these regions.
    pub(crate) async fn in_regions(zones: ZoneMap, replicas: usize, events: u64) -> Self {
        Self::with_plan(SystemPlan { zones, ..SystemPlan::default() }, replicas, events).await
    }

    /// A system whose replicas end under requests with this body.
    pub(crate) async fn ending_on(body: &'static str, replicas: usize, events: u64) -> Self {
        let crash_on_body = Some(Bytes::from_static(body.as_bytes()));
        Self::with_plan(SystemPlan { crash_on_body, ..SystemPlan::default() }, replicas, events).await
    }

    pub(crate) async fn with_plan(plan: SystemPlan, replicas: usize, events: u64) -> Self {
        log_on_request();
        let platform = metadata_store::start().await.expect("a metadata store");
        platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, configuration(1));
        let mut system = Self {
            platform,
            replicas: Vec::new(),
            stores: Vec::new(),
            gateways: Vec::new(),
            folders: Vec::new(),
            http: HttpClient::new(Duration::from_secs(1)),
            plan,
            lives: 0,
        };
        for number in 0..replicas {
            system.add_replica(number, events).await;
        }
        let wanted = ToleranceTarget::tolerating(system.plan.tolerated_losses).members();
        for number in 0..system.plan.stores.unwrap_or(wanted) {
            system.folders.push(TempDir::new().expect("a folder"));
            system.start_store(number).await;
        }
        for number in 0..2 {
            system.start_gateway(number).await;
        }
        system
    }

    pub(crate) async fn add_replica(&mut self, number: usize, events: u64) {
        let plan = self.replica_plan(format!("replica-{number}"), events);
        let replica = platform_replica::start(plan).await.expect("a replica");
        let record = replica.record("engines", ZONES[number % ZONES.len()]);
        self.platform.put(objects::REPLICAS, &format!("replica-{number}"), record);
        self.replicas.push(replica);
    }

    fn replica_plan(&self, id: String, events: u64) -> ReplicaPlan {
        let models = BTreeMap::from([("pricing".to_owned(), 1)]);
        ReplicaPlan {
            id,
            events,
            pause: Duration::from_millis(5),
            models,
            crash_on_body: self.plan.crash_on_body.clone(),
        }
    }

    /// Starts a replica that has ended anew, at its address and under a new id unless ids are kept, and lists it in place of the old one.
    pub(crate) async fn revive_replica(&mut self, number: usize) {
        if self.plan.keeps_ids {
            return self.restart_replica(number).await;
        }
        let ended = &self.replicas[number];
        let (address, ended_id, events) = (ended.address, ended.id(), ended.events());
        self.lives += 1;
        let id = format!("replica-{number}-{}", self.lives);
        let plan = self.replica_plan(id.clone(), events);
        let replica = platform_replica::start_at(address, plan).await.expect("its address");
        self.platform.put(objects::REPLICAS, &id, replica.record("engines", ZONES[number % ZONES.len()]));
        self.platform.remove(objects::REPLICAS, &ended_id);
        self.replicas[number] = replica;
    }

    /// Starts a replica that has ended anew under its own id: it holds and knows nothing of before.
    pub(crate) async fn restart_replica(&mut self, number: usize) {
        let ended = &self.replicas[number];
        let (address, id, events) = (ended.address, ended.id(), ended.events());
        let plan = self.replica_plan(id.clone(), events);
        let started = async {
            loop {
                // The port is free once the last connection of the life before is closed.
                if let Ok(replica) = platform_replica::start_at(address, plan.clone()).await {
                    return replica;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let replica = tokio::time::timeout(PATIENCE, started).await.expect("its address");
        self.platform.put(objects::REPLICAS, &id, replica.record("engines", ZONES[number % ZONES.len()]));
        self.replicas[number] = replica;
    }

    pub(crate) fn settings(&self, name: &str, number: usize) -> Settings {
        let mut settings = Settings::on_loopback(name, ZONES[number % ZONES.len()]);
        if let Some(duties) = &self.plan.duties {
            settings.duties = DutySettings::on_loopback(duties.address);
        }
        if let Some(memory_bytes) = self.plan.memory_bytes {
            settings.machine.memory_bytes = memory_bytes;
        }
        settings.places.zones = self.plan.zones.clone();
        settings.platform.metadata_store = Some(self.platform.address);
        settings.configuration.platform_timeout = Duration::from_millis(500);
        settings.configuration.watch_hold = Duration::from_secs(2);
        settings.configuration.lapse_grace = self.plan.lapse_grace;
        settings.membership.probe_interval = Duration::from_millis(200);
        settings.membership.probe_timeout = Duration::from_millis(100);
        settings.batch.order_lease = Duration::from_millis(500);
        settings.batch.follow_after = self.plan.follow_after;
        settings.store.small_set_after = Duration::from_millis(500);
        settings.store.replace_after = Duration::from_secs(3_600);
        settings.store.capacity_bytes = self.plan.store_capacity_bytes;
        settings.store.set_size = ToleranceTarget::tolerating(self.plan.tolerated_losses);
        let seeds = self.stores.iter().flatten().map(|node| node.addresses().peers);
        settings.peers.seeds = seeds.take(1).collect();
        settings
    }

    pub(crate) async fn start_store(&mut self, number: usize) {
        let mut settings = self.settings(&format!("store-{number}"), number);
        settings.roles = Roles { gateway: false, coordinator: false, store: true };
        settings.data_folder = Some(self.folders[number].path().join("store"));
        let node = Node::start(settings).await.expect("a store");
        if number < self.stores.len() {
            self.stores[number] = Some(node);
        } else {
            self.stores.push(Some(node));
        }
    }

    pub(crate) async fn start_gateway(&mut self, number: usize) {
        let settings = self.settings(&format!("gateway-{number}"), number);
        self.gateways.push(Some(Node::start(settings).await.expect("a gateway")));
    }

    pub(crate) fn gateway(&self, number: usize) -> SocketAddr {
        self.gateways[number].as_ref().expect("a living gateway").addresses().callers
    }

    pub(crate) async fn call(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        fields: &[(&'static str, &str)],
        body: impl Into<Bytes>,
    ) -> Answer {
        let request = self.request(gateway, method, path, fields, body.into());
        let began = Instant::now();
        let response = self.http.send(self.gateway(gateway), request, Instant::now() + PATIENCE).await;
        let (head, body) = response.expect("an answer").into_parts();
        let body = body.collect().await.expect("a whole answer").to_bytes();
        log::info!(
            target: "test", status = head.status.as_u16(), gateway, milliseconds = began.elapsed().as_millis() as u64;
            "{path}"
        );
        Answer { status: head.status, headers: head.headers, body }
    }

    pub(crate) fn request(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        fields: &[(&'static str, &str)],
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut request = build(method, self.gateway(gateway), path, body).expect("a request");
        request.headers_mut().insert("host", "Shop.Example:80".parse().expect("a host"));
        for (name, value) in fields {
            request.headers_mut().insert(*name, value.parse().expect("a value"));
        }
        request
    }

    /// Asks again until the answer has this status.
    pub(crate) async fn call_until(&self, status: StatusCode, gateway: usize, path: &str) -> Answer {
        let asked = async {
            loop {
                let answer = self.call(gateway, Method::GET, path, &[("attempt-id", "probe")], "").await;
                if answer.status == status {
                    return answer;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, asked).await.expect("the status in time")
    }

    pub(crate) async fn submit(&self, gateway: usize, id: &str, items: usize, min_version: u64) {
        self.submit_bodies(gateway, id, items, min_version, "Ym9keQ==").await;
    }

    /// One item with a body of so many bytes of text.
    pub(crate) async fn submit_long(&self, gateway: usize, id: &str, body_bytes: usize) {
        self.submit_bodies(gateway, id, 1, 1, &"Ym9k".repeat(body_bytes / 4)).await;
    }

    pub(crate) async fn submit_bodies(
        &self,
        gateway: usize,
        id: &str,
        items: usize,
        min_version: u64,
        body: &str,
    ) {
        let item = |number: usize| {
            json!({"id": format!("{id}-{number}"), "path": "/stream/x", "headers": {"Model": "pricing"},
                "body": body, "tokens": 100, "group": format!("g{}", number / 2)})
        };
        let items: Vec<Value> = (0..items).map(item).collect();
        self.submit_items(gateway, id, min_version, items).await;
    }

    /// Items that each name a scorer.
    pub(crate) async fn submit_scored(&self, gateway: usize, id: &str, items: usize) {
        let item = |number: usize| {
            let scorer = json!({"id": format!("score-{id}-{number}"), "host": "Shop.Example",
                "path": "/read/score", "body": "c2NvcmU="});
            json!({"id": format!("{id}-{number}"), "path": "/stream/x", "headers": {"Model": "pricing"},
                "body": "Ym9keQ==", "tokens": 100, "group": format!("g{}", number / 2), "scorer": scorer})
        };
        self.submit_items(gateway, id, 1, (0..items).map(item).collect()).await;
    }

    pub(crate) async fn submit_items(&self, gateway: usize, id: &str, min_version: u64, items: Vec<Value>) {
        let job =
            json!({"step": 0, "model": "pricing", "min_version": min_version, "desired": 1, "items": items});
        let taken = async {
            loop {
                let body = serde_json::to_vec(&job).expect("a body");
                let answer =
                    self.call(gateway, Method::POST, "/rollouts/x", &[("attempt-id", id)], body).await;
                if answer.status == StatusCode::ACCEPTED {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(PATIENCE, taken).await.expect("the job is taken");
    }

    /// Reads until the list is whole.
    pub(crate) async fn results(&self, gateway: usize, id: &str) -> Vec<Value> {
        let read = async {
            let mut results: Vec<Value> = Vec::new();
            loop {
                let path = format!("/-/lots/{id}?after_rev={}", results.len());
                let answer = self.call(gateway, Method::GET, &path, &[("wait-ms", "200")], "").await;
                if answer.status == StatusCode::OK {
                    let page = answer.json();
                    results.extend(page["results"].as_array().expect("results").iter().cloned());
                    if results.len() as u64 == page["total"].as_u64().expect("a total") {
                        return results;
                    }
                } else {
                    assert_eq!(
                        answer.status,
                        StatusCode::SERVICE_UNAVAILABLE,
                        "no job is ever unknown again"
                    );
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        tokio::time::timeout(PATIENCE, read).await.expect("the list is whole in time")
    }

    /// How many nodes follow others, once all know of each other.
    pub(crate) async fn followers(&self) -> usize {
        let live = self.gateways.iter().flatten().count();
        let known = async {
            loop {
                let nodes = self.gateways.iter().flatten();
                let knows_all = |node: &Node| {
                    let cluster = node.context().cluster.load();
                    cluster.members.iter().filter(|member| member.roles.gateway).count() == live
                };
                if nodes.into_iter().all(knows_all) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, known).await.expect("all nodes know of each other");
        // The last watch that began before is held so long.
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        let nodes = self.gateways.iter().flatten();
        nodes.filter(|node| node.context().metadata.is_follower()).count()
    }

    pub(crate) fn owner(&self) -> usize {
        self.find_owner().expect("an owner")
    }

    /// The node that owns the batch jobs; none while the ownership moves.
    pub(crate) fn find_owner(&self) -> Option<usize> {
        let owns = |node: &Option<Node>| {
            node.as_ref().is_some_and(|node| {
                let owner = node.context().batch_owner.load();
                owner.as_ref().is_some_and(|owner| **owner == node.context().node)
            })
        };
        self.gateways.iter().position(owns)
    }
}
