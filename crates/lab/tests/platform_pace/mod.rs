//! Replicas that report how long work takes there at present, and the base latencies that the owner of the batch jobs
//! shares with the gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_daemon::cluster::{ClusterView, Member};
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::platform_replica::{HEALTH_PATH, Replica, ReplicaBehaviour};
use lichenpulley_platform::objects;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::platform_system::{PATIENCE, System, configuration, until};

/// Items of a job whose score requests measure each of two replicas often enough.
const ITEMS: usize = 40;

async fn system(pace_percent: Option<u32>) -> System {
    let system = System::start(2, 3).await;
    for replica in &system.replicas {
        replica.report_load(Some(ReplicaLoad { running: 1, waiting: 0, slots: 4, pace_percent }));
    }
    system
}

fn node(system: &System, gateway: usize) -> &Node {
    system.gateways[gateway].as_ref().expect("a gateway")
}

/// Returns how many questions for base latencies a gateway has asked that got this answer.
fn questions(system: &System, gateway: usize, answer: &str) -> usize {
    let metrics = node(system, gateway).context().metrics.encode().expect("metrics");
    let name = format!("lichenpulley_shared_base_latency_questions_total{{answer=\"{answer}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.parse().expect("a count"))
}

/// Has the owner measure the replicas, and both gateways see their load.
async fn measure(system: &System) {
    system.submit_scored(0, "job", ITEMS).await;
    assert_eq!(system.results(0, "job").await.len(), ITEMS);
    for gateway in 0..system.gateways.len() {
        system.call_until(StatusCode::OK, gateway, "/read/warm").await;
    }
}

/// Guards against base latencies that the owner measures and no gateway gets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateways_get_the_base_latencies_that_the_owner_measured() {
    let system = system(Some(100)).await;
    measure(&system).await;
    until(|| (0..2).all(|gateway| questions(&system, gateway, "some") > 0)).await;
}

/// Guards against questions where no replica reports a pace.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_asked_where_replicas_report_three_figures() {
    let system = system(None).await;
    measure(&system).await;
    // Longer than the interval between questions, with its jitter.
    tokio::time::sleep(Duration::from_secs(7)).await;
    for answer in ["some", "empty", "not_owner", "none"] {
        assert_eq!((0..2).map(|gateway| questions(&system, gateway, answer)).sum::<usize>(), 0, "{answer}");
    }
}

/// A peer that closes the connection over requests that the previous release can't decode, and forwards the others.
struct PreviousRelease {
    address: SocketAddr,
    /// Requests that it could not decode.
    undecodable: Arc<AtomicUsize>,
    /// Connections closed over such a request that had carried others.
    interrupted: Arc<AtomicUsize>,
}

/// Position of `batch` among the requests between nodes.
const BATCH_REQUEST: u32 = 3;
/// Number of variants of `BatchRequest` in the previous release.
const KNOWN_BATCH_REQUESTS: u32 = 6;
/// Length of the header of a request frame: its tag, the request's id, and the time left.
const FRAME_HEADER_BYTES: usize = 4 + 8 + 8;

/// Whether a frame holds a request that the previous release can decode.
fn is_known(frame: &[u8]) -> bool {
    let number = |at: usize| {
        let bytes = frame.get(at..at + 4).map(|bytes| <[u8; 4]>::try_from(bytes).expect("four bytes"));
        bytes.map(u32::from_le_bytes)
    };
    let is_request = number(0) == Some(0);
    let is_batch = number(FRAME_HEADER_BYTES) == Some(BATCH_REQUEST);
    let kind = number(FRAME_HEADER_BYTES + 4);
    !(is_request && is_batch && kind.is_some_and(|kind| kind >= KNOWN_BATCH_REQUESTS))
}

impl PreviousRelease {
    async fn start(forward_to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (undecodable, interrupted) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counters = (Arc::clone(&undecodable), Arc::clone(&interrupted));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, forward_to, counters.clone()));
            }
        });
        Self { address, undecodable, interrupted }
    }
}

/// Forwards frames in both directions until one can't be decoded.
async fn serve(
    stream: TcpStream,
    forward_to: SocketAddr,
    (undecodable, interrupted): (Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let Ok(onward) = TcpStream::connect(forward_to).await else { return };
    let (mut from_gateway, mut to_gateway) = stream.into_split();
    let (mut from_owner, mut to_owner) = onward.into_split();
    let answers =
        tokio::spawn(async move { tokio::io::copy(&mut from_owner, &mut to_gateway).await.unwrap_or(0) });
    let mut forwarded = 0;
    while let Ok(length) = from_gateway.read_u32().await {
        let mut frame = vec![0; length as usize];
        if from_gateway.read_exact(&mut frame).await.is_err() {
            break;
        }
        if !is_known(&frame) {
            undecodable.fetch_add(1, Ordering::Relaxed);
            interrupted.fetch_add(usize::from(forwarded > 0), Ordering::Relaxed);
            break;
        }
        forwarded += 1;
        if to_owner.write_u32(length).await.is_err() || to_owner.write_all(&frame).await.is_err() {
            break;
        }
    }
    // Dropping both halves closes the connection.
    answers.abort();
}

/// Makes a gateway reach another node at this address.
fn redirect(system: &System, gateway: usize, other: usize, address: SocketAddr) {
    let other = &node(system, other).context().node;
    let cluster = &node(system, gateway).context().cluster;
    let redirected = |member: &Arc<Member>| {
        if member.node != *other {
            return Arc::clone(member);
        }
        Arc::new(Member { peer_address: address, ..Member::clone(member) })
    };
    let members = cluster.load().members.iter().map(redirected).collect();
    cluster.store(Arc::new(ClusterView::new(members)));
}

/// Guards against a question that interrupts the calls of a gateway, since an owner of the previous release can't decode
/// it and closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_owner_of_the_previous_release_gives_no_base_latencies_and_interrupts_nothing() {
    let system = system(Some(100)).await;
    measure(&system).await;
    let owner = system.owner();
    let gateway = 1 - owner;
    let previous = PreviousRelease::start(node(&system, owner).addresses().peers).await;
    // The gateway knows members only from now on under the address of the earlier release; a change of the membership
    // would undo that.
    let asked = async {
        while questions(&system, gateway, "none") == 0 {
            redirect(&system, gateway, owner, previous.address);
            // Opens the connection that the gateway's other calls use.
            system.call_until(StatusCode::OK, gateway, "/-/lots/job?after_rev=0").await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, asked).await.expect("the owner is asked in time");
    redirect(&system, gateway, owner, previous.address);
    system.submit_scored(gateway, "later", ITEMS).await;
    assert_eq!(system.results(gateway, "later").await.len(), ITEMS);
    system.call_until(StatusCode::OK, gateway, "/read/later").await;
    assert!(previous.undecodable.load(Ordering::Relaxed) >= 1);
    assert_eq!(questions(&system, gateway, "none"), 1, "it is not asked again soon");
    assert_eq!(previous.interrupted.load(Ordering::Relaxed), 0, "questions use connections of their own");
}

/// Has the gateways read a configuration whose service names its health path.
async fn configure_health_path(system: &System) {
    let mut document = configuration(2);
    document["services"][0]["health_path"] = json!(HEALTH_PATH);
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, document);
    let is_read = |gateway: usize| {
        let routes = node(system, gateway).context().metadata.routes.load();
        routes.as_ref().is_some_and(|routes| routes.version == 2)
    };
    until(|| (0..2).all(is_read)).await;
}

fn health_checks(system: &System) -> u64 {
    system.replicas.iter().map(Replica::health_checks).sum()
}

/// Sends requests through the first gateway, each after a pause, and returns how many ran at each replica.
async fn requests_by_replica(system: &System, requests: usize, pause: Duration, prefix: &str) -> Vec<usize> {
    for number in 0..requests {
        tokio::time::sleep(pause).await;
        let id = format!("{prefix}-{number}");
        let answer = system.call(0, Method::GET, "/read/x", &[("attempt-id", &id)], "").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let ran_at = |replica: &Replica| replica.seen().iter().filter(|seen| seen.id.starts_with(prefix)).count();
    system.replicas.iter().map(ran_at).collect()
}

/// Guards against probes outside a shortage or of more than every other request, and against requests that go to a
/// replica with a queue because the queue was not seen for some time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn probed_requests_avoid_a_queue_that_was_not_seen_for_some_time() {
    let system = system(Some(100)).await;
    configure_health_path(&system).await;
    // The second replica is much slower, so that it gets requests only if the first one has a queue.
    system.replicas[1].set_behaviour(ReplicaBehaviour::Takes(Duration::from_millis(60)));
    let calm = requests_by_replica(&system, 30, Duration::ZERO, "calm").await;
    assert!(calm[1] <= 1, "{calm:?}");
    assert_eq!(health_checks(&system), 0, "no shortage");
    let queue = ReplicaLoad { running: 4, waiting: 4_000, slots: 4, pace_percent: Some(100) };
    system.replicas[0].report_load(Some(queue));
    // A reported load is used for 400 ms.
    let pause = Duration::from_millis(450);
    let short = requests_by_replica(&system, 9, pause, "short").await;
    // The first request finds the queue. Of the others, every other one is probed and avoids it.
    assert_eq!(short, [5, 4]);
    assert_eq!(health_checks(&system), 8, "two for each probed request");
}

/// Guards against probes where the configuration names no health path.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_probed_without_a_health_path() {
    let system = system(Some(100)).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    let load = ReplicaLoad { running: 4, waiting: 9, slots: 4, pace_percent: Some(100) };
    system.replicas.iter().for_each(|replica| replica.report_load(Some(load)));
    requests_by_replica(&system, 20, Duration::ZERO, "short").await;
    assert_eq!(health_checks(&system), 0);
}
