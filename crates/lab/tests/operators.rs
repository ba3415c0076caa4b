//! The operators' interface of a system of three nodes: drains, pools, decisions, and shards handed over by a node
//! that stops.

use std::collections::BTreeSet;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::{JobId, PoolName, ReplicaId, ShardId, WeightVersion, ZoneName};
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::demo::system::{PoolPlan, System, SystemPlan};
use lichenpulley_lab::engine::faults::EngineFault;
use lichenpulley_protocol::caller::{JobSpecification, JobStatus, PullRequest, PullResponse, Slot};
use lichenpulley_protocol::engine::{EngineRole, LoadReport, OrderAccepted};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::operator::{DecisionEvent, PoolStatus};

const POOL: &str = "bench-assistant";
const ZONES: [&str; 3] = ["sando-hall", "couva-room", "pointe-rack"];
const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(10);

async fn start_system() -> System {
    let pools = vec![PoolPlan { pool: PoolName::new(POOL), replicas_per_zone: 1 }];
    let plan = SystemPlan { zones: ZONES.map(ZoneName::new).to_vec(), pools };
    System::start(&plan).await.expect("the system starts")
}

fn client() -> HttpClient {
    HttpClient::new(Duration::from_secs(5))
}

async fn drain(node: &Node, replica: &str) -> Result<OrderAccepted, ClientError> {
    order(node, replica, "drain").await
}

async fn order(node: &Node, replica: &str, order: &str) -> Result<OrderAccepted, ClientError> {
    let path = format!("/v1/replicas/{replica}/{order}");
    client().post_json(node.addresses().operators, &path, &(), PATIENCE).await
}

async fn role(system: &System, engine: usize) -> EngineRole {
    let address = system.engines[engine].address();
    let load: LoadReport = client().get_json(address, "/v1/load", PATIENCE).await.expect("a load report");
    load.role
}

#[tokio::test]
async fn any_node_drains_a_replica_by_a_fenced_order() {
    let system = start_system().await;
    let replica = format!("{POOL}-{}-1", ZONES[1]);
    let operators = system.nodes[0].addresses().operators;
    let mut decisions = client().get_events(operators, "/v1/decisions", PATIENCE).await.expect("a stream");

    let accepted = drain(&system.nodes[0], &replica).await.expect("the order is taken");
    assert_eq!(accepted.replica, ReplicaId::new(replica.as_str()));
    assert_eq!(role(&system, 1).await, EngineRole::Draining);
    drain(&system.nodes[2], &replica).await.expect("repeating it through another node changes nothing");
    order(&system.nodes[1], &replica, "undrain").await.expect("the order is taken back");
    assert_eq!(role(&system, 1).await, EngineRole::Serving);

    let told = async {
        while let Some(event) = decisions.next().await.expect("the stream holds") {
            let event: DecisionEvent = event.json().expect("a decision");
            if event.decision.action == "drained" && event.decision.subject == replica {
                return;
            }
        }
        panic!("the stream ended before the drain was told");
    };
    tokio::time::timeout(PATIENCE, told).await.expect("the drain is told");
}

#[tokio::test]
async fn a_drain_of_an_unknown_replica_is_refused() {
    let system = start_system().await;
    let error = drain(&system.nodes[0], "nobody").await.expect_err("an unknown replica");
    assert_eq!(error.status(), Some(StatusCode::NOT_FOUND));
    assert_eq!(error.body::<ErrorBody>().expect("a typed error").kind, "unknown_replica");
}

/// The answer must not say that a replica drains before the replica itself says so.
#[tokio::test]
async fn a_drain_that_the_engine_has_not_taken_is_not_told_as_done() {
    let system = start_system().await;
    let replica = format!("{POOL}-{}-1", ZONES[1]);
    system.engines[1].inject(EngineFault::Freeze { for_ms: 600_000 }).await;
    let error = drain(&system.nodes[0], &replica).await.expect_err("the engine answers nothing");
    assert_eq!(error.status(), Some(StatusCode::GATEWAY_TIMEOUT));
    assert_eq!(error.body::<ErrorBody>().expect("a typed error").kind, "not_confirmed");
}

#[tokio::test]
async fn pools_and_unknown_paths_are_answered() {
    let system = start_system().await;
    let operators = system.nodes[0].addresses().operators;
    let pools: Vec<PoolStatus> =
        client().get_json(operators, "/v1/pools", PATIENCE).await.expect("the pools");
    assert_eq!(pools.len(), 1);
    assert_eq!(pools[0].replicas.len(), ZONES.len());
    let error = client().get_bytes(operators, "/v1/nothing", PATIENCE).await.expect_err("nothing there");
    assert_eq!(error.status(), Some(StatusCode::NOT_FOUND));
}

/// Operators can't tell replicas that admit no rollouts from ones that admit no requests at all.
#[tokio::test]
async fn pools_show_the_limit_up_to_which_rollouts_are_admitted() {
    let system = start_system().await;
    let operators = system.nodes[0].addresses().operators;
    let pools: Vec<PoolStatus> =
        client().get_json(operators, "/v1/pools", PATIENCE).await.expect("the pools");
    for replica in &pools[0].replicas {
        assert!((1..replica.concurrency_limit).contains(&replica.rollout_limit), "{replica:?}");
    }
}

const SAMPLES: u64 = 48;

fn job() -> JobSpecification {
    JobSpecification {
        job: JobId::new("fault-diagnosis"),
        pool: PoolName::new(POOL),
        prompts: (0..4).map(|number| format!("prompt {number}")).collect(),
        samples_per_prompt: 4,
        steps: 3,
        max_tokens: 64,
        staleness_bound: 2,
        idle_weight_percent: 50,
    }
}

/// Pulls through one node until the job has nothing more, and gives the slots in the order of their delivery. While
/// a shard changes hands a pull may be refused and is repeated, as a trainer would.
async fn pull_all(node: &Node, mut halfway: impl FnMut()) -> Vec<Slot> {
    let path = format!("/v1/jobs/{}/pull", job().job);
    let mut slots = Vec::new();
    let mut cursor = 0;
    loop {
        let pull = PullRequest { cursor, max_samples: 5, trainer_version: WeightVersion(1) };
        let pulled: Result<PullResponse, _> =
            client().post_json(node.addresses().callers, &path, &pull, PATIENCE).await;
        let Ok(pulled) = pulled else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let before = slots.len();
        slots.extend(pulled.samples.iter().map(|sample| sample.slot));
        cursor = pulled.next_cursor;
        let half = usize::try_from(SAMPLES / 2).expect("few samples");
        if before < half && slots.len() >= half {
            halfway();
        }
        if pulled.finished {
            return slots;
        }
        if pulled.samples.is_empty() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// A node that owns a job is told to stop in the middle of it: the job goes on under another owner, and the trainer
/// gets each sample exactly once.
#[tokio::test]
async fn a_stopping_owner_hands_its_job_over() {
    let system = start_system().await;
    let shard = ShardId::new(format!("job/{}", job().job));
    let owner = system.nodes[0].context().cluster.load().owner_of(&shard).expect("an owner").node.clone();
    let is_owner = |node: &&Node| node.context().node == owner;
    let stopping = system.nodes.iter().find(is_owner).expect("the owner is one of the nodes");
    let other = system.nodes.iter().find(|node| !is_owner(node)).expect("there are other nodes");
    let callers = other.addresses().callers;
    let _: JobStatus = client().post_json(callers, "/v1/jobs", &job(), PATIENCE).await.expect("accepted");

    let pulled = tokio::time::timeout(PATIENCE, pull_all(other, || stopping.begin_drain())).await;
    let slots = pulled.expect("the job ends under its new owner");
    let distinct: BTreeSet<Slot> = slots.iter().copied().collect();
    assert_eq!(slots.len() as u64, SAMPLES, "lost or doubled: {slots:?}");
    assert_eq!(distinct.len(), slots.len(), "doubled: {slots:?}");
    tokio::time::timeout(PATIENCE, stopping.stopped()).await.expect("the node ends by itself");
}
