//! Every node of a system is restarted in turn, as planned, under live load and a rollout job: no request is cut, and
//! each sample is delivered once (brief points 3, 4, 5 and 8).

use std::collections::BTreeSet;
use std::time::Duration;

use lichenpulley_core::identity::{JobId, PoolName, WeightVersion, ZoneName};
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::demo::system::{PoolPlan, System, SystemPlan};
use lichenpulley_lab::load::{CallOptions, CallOutcome, LoadOptions, LoadReport, Pacing, Target, generate};
use lichenpulley_protocol::caller::{JobSpecification, JobStatus, Priority, PullRequest, PullResponse, Slot};
use tokio_util::sync::CancellationToken;

const POOL: &str = "bench-assistant";
const ZONES: [&str; 3] = ["sando-hall", "couva-room", "pointe-rack"];
const PATIENCE: Duration = Duration::from_secs(120);
const PAUSE: Duration = Duration::from_millis(10);
const CALLERS: u32 = 6;
const SAMPLES: u64 = 64;
/// Requests that engines must have admitted before the next node is restarted.
const REQUESTS_BETWEEN: u64 = 30;

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

fn job() -> JobSpecification {
    JobSpecification {
        job: JobId::new("fault-diagnosis"),
        pool: PoolName::new(POOL),
        prompts: (0..4).map(|number| format!("prompt {number}")).collect(),
        samples_per_prompt: 4,
        steps: 4,
        max_tokens: 64,
        staleness_bound: 2,
        idle_weight_percent: 50,
    }
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let met = async {
        while !condition() {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, met).await.unwrap_or_else(|_| panic!("never came: {what}"));
}

fn admitted(system: &System) -> u64 {
    system.engines.iter().map(|engine| engine.counters().streams_admitted).sum()
}

/// How a node ends before it is started again.
#[derive(Clone, Copy)]
enum End {
    Planned,
    Killed,
}

/// Ends a node and starts it again at the same addresses, with the same disk.
async fn restart(system: &mut System, index: usize, end: End) {
    let node = &system.nodes[index];
    let addresses = node.addresses();
    let mut settings = node.context().settings.clone();
    settings.addresses.callers = addresses.callers;
    settings.addresses.operators = addresses.operators;
    settings.addresses.peers = addresses.peers;
    let others = system.nodes.iter().map(|other| other.addresses().peers);
    settings.peers.seeds = others.filter(|peers| *peers != addresses.peers).collect();
    match end {
        End::Planned => node.begin_drain(),
        End::Killed => node.kill(),
    }
    tokio::time::timeout(PATIENCE, node.stopped()).await.expect("the node ends by itself");
    system.nodes[index] = Node::start(settings).await.expect("the node starts again");
}

fn is_whole(system: &System) -> bool {
    system.nodes.iter().all(|node| {
        let context = node.context();
        context.cluster.load().members.len() == ZONES.len() && !context.directory.load().pools.is_empty()
    })
}

/// Pulls from one gateway after the other until the job has nothing more.
async fn pull_all(gateways: &[std::net::SocketAddr]) -> Vec<Slot> {
    let client = HttpClient::new(Duration::from_secs(2));
    let path = format!("/v1/jobs/{}/pull", job().job);
    let mut slots = Vec::new();
    let mut cursor = 0;
    for gateway in gateways.iter().cycle() {
        let pull = PullRequest { cursor, max_samples: 3, trainer_version: WeightVersion(1) };
        // A refused or lost pull is repeated with the same cursor.
        let pulled: Result<PullResponse, _> = client.post_json(*gateway, &path, &pull, PATIENCE).await;
        if let Ok(pulled) = pulled {
            slots.extend(pulled.samples.iter().map(|sample| sample.slot));
            cursor = pulled.next_cursor;
            if pulled.finished {
                break;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    slots
}

/// Requests that were cut or ended in doubt.
fn cut(report: &LoadReport) -> u64 {
    let kept = [CallOutcome::Completed, CallOutcome::NotRun];
    report.outcomes.iter().filter(|(outcome, _)| !kept.contains(outcome)).map(|(_, count)| count).sum()
}

/// Restarts every node in turn under load; gives what became of the live requests and the samples delivered.
async fn restart_all(end: End) -> (LoadReport, Vec<Slot>) {
    let mut system = start_system().await;
    let gateways = system.gateways();
    let client = HttpClient::new(Duration::from_secs(2));
    let _: JobStatus =
        client.post_json(gateways[0], "/v1/jobs", &job(), PATIENCE).await.expect("the job is accepted");
    let stop = CancellationToken::new();
    let load = tokio::spawn({
        let (options, stop) = (live_load(&system), stop.clone());
        async move { generate(options, &stop).await }
    });
    let pulls = tokio::spawn(async move { pull_all(&gateways).await });

    for index in 0..ZONES.len() {
        let before = admitted(&system);
        wait_for("more requests", || admitted(&system) > before + REQUESTS_BETWEEN).await;
        restart(&mut system, index, end).await;
        wait_for("all nodes see each other again", || is_whole(&system)).await;
    }

    let slots = tokio::time::timeout(PATIENCE, pulls).await.expect("the job ends").expect("no panic");
    stop.cancel();
    let report = tokio::time::timeout(PATIENCE, load).await.expect("the load ends").expect("no panic");
    (report, slots)
}

/// Kills, too, must not lose or double a sample.
fn assert_exactly_once(slots: &[Slot]) {
    let distinct: BTreeSet<Slot> = slots.iter().copied().collect();
    assert_eq!(slots.len() as u64, SAMPLES, "lost or doubled: {slots:?}");
    assert_eq!(distinct.len(), slots.len(), "doubled: {slots:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_restarts_of_every_node_cut_nothing() {
    let (report, slots) = restart_all(End::Planned).await;
    assert_eq!(cut(&report), 0, "{:?}", report.outcomes);
    assert!(report.count(CallOutcome::Completed) > 0);
    assert_exactly_once(&slots);
}

/// The proof's other half: the same restarts with the planned stop switched off. Requests are cut, and are told as
/// cut: none is dressed as a wrong or short success.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killing_every_node_cuts_requests_and_says_so() {
    let (report, slots) = restart_all(End::Killed).await;
    assert!(cut(&report) > 0, "{:?}", report.outcomes);
    assert_eq!(report.count(CallOutcome::Wrong), 0, "{:?}", report.outcomes);
    assert_exactly_once(&slots);
}
