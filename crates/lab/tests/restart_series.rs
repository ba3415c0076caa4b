//! Nodes are restarted in a series, as planned, under many callers that keep their connections.

use std::time::Duration;

use lichenpulley_core::identity::{PoolName, ZoneName};
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::demo::system::{PoolPlan, System, SystemPlan};
use lichenpulley_lab::load::{CallOptions, CallOutcome, LoadOptions, Pacing, Target, generate};
use lichenpulley_protocol::caller::Priority;
use tokio_util::sync::CancellationToken;

const POOL: &str = "bench-assistant";
const ZONES: [&str; 3] = ["sando-hall", "couva-room", "pointe-rack"];
const PATIENCE: Duration = Duration::from_secs(120);
const PAUSE: Duration = Duration::from_millis(10);
const CALLERS: u32 = 40;
const ROUNDS: usize = 4;
const NOTICE: Duration = Duration::from_millis(50);
/// Time in which callers fill their pools between two restarts.
const TIME_BETWEEN: Duration = Duration::from_millis(700);

async fn start_system() -> System {
    let pools = vec![PoolPlan { pool: PoolName::new(POOL), replicas_per_zone: 1 }];
    let plan = SystemPlan { zones: ZONES.map(ZoneName::new).to_vec(), pools };
    System::start(&plan).await.expect("the system starts")
}

fn live_load(system: &System) -> LoadOptions {
    LoadOptions {
        targets: system.gateways().into_iter().map(Target::GatewayStream).collect(),
        call: CallOptions {
            pool: PoolName::new(POOL),
            max_tokens: 64,
            priority: Priority::Live,
            deadline: PATIENCE,
        },
        pacing: Pacing::Closed { callers: CALLERS },
        duration: PATIENCE,
    }
}

/// Restarts a node at the same addresses, with the same disk.
async fn restart(system: &mut System, index: usize) {
    let node = &system.nodes[index];
    let addresses = node.addresses();
    let mut settings = node.context().settings.clone();
    settings.addresses.callers = addresses.callers;
    settings.addresses.operators = addresses.operators;
    settings.addresses.peers = addresses.peers;
    settings.stop.notice = NOTICE;
    let others = system.nodes.iter().map(|other| other.addresses().peers);
    settings.peers.seeds = others.filter(|peers| *peers != addresses.peers).collect();
    node.begin_drain();
    tokio::time::timeout(PATIENCE, node.stopped()).await.expect("the node ends by itself");
    system.nodes[index] = Node::start(settings).await.expect("the node starts again");
}

async fn wait_until_whole(system: &System) {
    let is_whole =
        || system.nodes.iter().all(|node| node.context().cluster.load().members.len() == ZONES.len());
    let whole = async {
        while !is_whole() {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, whole).await.expect("all nodes see each other again");
}

/// Guards against closing a kept connection, idle or at the end of a stream, as its next request arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_series_of_planned_restarts_leaves_no_request_without_an_answer() {
    let mut system = start_system().await;
    let stop = CancellationToken::new();
    let load = tokio::spawn({
        let (options, stop) = (live_load(&system), stop.clone());
        async move { generate(options, &stop).await }
    });
    for _ in 0..ROUNDS {
        for index in 0..ZONES.len() {
            tokio::time::sleep(TIME_BETWEEN).await;
            restart(&mut system, index).await;
            wait_until_whole(&system).await;
        }
    }
    stop.cancel();
    let report = tokio::time::timeout(PATIENCE, load).await.expect("the load ends").expect("no panic");
    let told = [CallOutcome::Completed, CallOutcome::NotRun];
    let untold: Vec<_> = report.outcomes.iter().filter(|(outcome, _)| !told.contains(outcome)).collect();
    assert!(untold.is_empty(), "{:?}", report.outcomes);
    assert!(report.count(CallOutcome::Completed) > 0);
}
