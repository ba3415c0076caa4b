//! A replica that sends bytes without end: callers get their answers from another one, and reading it stops. Apart from the
//! other tests of the platform's path, since these take much processor time.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod platform_system;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_daemon::ingress::counted_stream::{MAX_HEAD_BYTES, MAX_UNDECLARED_BYTES};
use lichenpulley_lab::platform_replica::ReplicaBehaviour;
use lichenpulley_platform::objects;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use platform_system::{PATIENCE, System, ZONES, until};

/// Events of each stream and item at the other replica.
const EVENTS: usize = 5;
/// Bytes that the sockets' buffers of both ends may hold beyond those that were read.
const SOCKET_BYTES: u64 = 16 << 20;
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// Number of requests at a time: more than the slots of one replica, and no more than those of both.
const CALLS: usize = 6;
/// How long the other replica takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// What such a replica sends: fields after those of each answer, or `None` for no head; then a piece without end.
type Endless = (Option<&'static str>, &'static str);

const GARBAGE: Endless = (None, "x");
const INTERIM_RESPONSES: Endless = (None, "HTTP/1.1 100 Continue\r\n\r\n");
const BODY: Endless = (Some("\r\n"), "x");
const CHUNK_SIZE: Endless = (Some(CHUNKED), "0");
const COMMENTS: Endless = (Some(CHUNKED), "5\r\n: x\n\n\r\n");
const EVENT: Endless = (Some("\r\n"), "data: x");

/// A replica that answers each request without end.
struct EndlessReplica {
    address: SocketAddr,
    counts: Arc<Counts>,
    task: AbortHandle,
}

#[derive(Default)]
struct Counts {
    requests: AtomicUsize,
    /// Bytes that one connection took at most.
    most_sent: AtomicU64,
    open: AtomicUsize,
}

impl Drop for EndlessReplica {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessReplica {
    async fn start(endless: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let counts: Arc<Counts> = Arc::default();
        let of_task = Arc::clone(&counts);
        let task = tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serve(connection, endless, Arc::clone(&of_task)));
            }
        });
        Self { address, counts, task: task.abort_handle() }
    }

    /// Starts one and lists it beside the replicas of a system.
    async fn join(system: &System, endless: Endless) -> Self {
        let replica = Self::start(endless).await;
        let mut record = system.replicas[0].record("engines", ZONES[0]);
        record["address"] = json!(replica.address.to_string());
        system.platform.put(objects::REPLICAS, "endless", record);
        let count = system.replicas.len() + 1;
        let knows = |gateway: &lichenpulley_daemon::node::Node| {
            gateway.context().metadata.replicas.load().records.len() == count
        };
        until(|| system.gateways.iter().flatten().all(knows)).await;
        replica
    }

    fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::Relaxed)
    }

    /// Waits until no connection is open, and checks how much each of them took.
    async fn assert_bounded(&self, endless: Endless) {
        until(|| self.counts.open.load(Ordering::Relaxed) == 0).await;
        let sent = self.counts.most_sent.load(Ordering::Relaxed);
        assert!(sent <= MAX_HEAD_BYTES + MAX_UNDECLARED_BYTES + SOCKET_BYTES, "{endless:?}: {sent} bytes");
    }
}

async fn serve(mut connection: TcpStream, (head, piece): Endless, counts: Arc<Counts>) {
    let mut request = vec![0; 16 << 10];
    let Ok(read) = connection.read(&mut request).await else { return };
    let request = String::from_utf8_lossy(&request[..read]).to_ascii_lowercase();
    let id = request.lines().find_map(|line| line.strip_prefix("attempt-id: "));
    let Some(id) = id.map(str::to_owned) else { return };
    counts.requests.fetch_add(1, Ordering::Relaxed);
    counts.open.fetch_add(1, Ordering::Relaxed);
    if let Some(head) = head {
        let begin = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal\r\nweight-versions: 1\r\n{head}"
        );
        // A write fails once the connection is closed, as the ones below.
        let _ = connection.write_all(begin.as_bytes()).await;
    }
    let pieces = piece.as_bytes().repeat((64 << 10) / piece.len());
    let (mut sent, mut offset) = (0, 0);
    while let Ok(written) = connection.write(&pieces[offset..]).await {
        sent += written as u64;
        offset = (offset + written) % pieces.len();
        counts.most_sent.fetch_max(sent, Ordering::Relaxed);
    }
    counts.open.fetch_sub(1, Ordering::Relaxed);
}

/// Sends requests, several at a time, until the endless replica has got one. Each is answered by the other replica, which
/// takes its time, so that the unknown one is not left out.
async fn call_until_sent(system: &System, replica: &EndlessReplica, path: &str) {
    system.replicas[0].set_behaviour(ReplicaBehaviour::Takes(ANSWER_TIME));
    let until = Instant::now() + PATIENCE;
    let mut round = 0;
    while replica.requests() == 0 {
        assert!(Instant::now() < until, "{path}: the replica got no request");
        round += 1;
        let calls = (0..CALLS).map(|number| call(system, path, format!("r-{round}-{number}")));
        futures::future::join_all(calls).await;
    }
}

async fn call(system: &System, path: &str, id: String) {
    let fields = [("attempt-id", id.as_str()), ("deadline-ms", "20000")];
    let sent_at = Instant::now();
    let answer = system.call(0, Method::POST, path, &fields, "body").await;
    assert_eq!(answer.status, StatusCode::OK, "{path} after {:?}: {:?}", sent_at.elapsed(), answer.body);
    if path.starts_with("/stream/") {
        let events = answer.body.windows(3).filter(|window| window == b"id:").count();
        assert_eq!(events, EVENTS, "{path}");
    } else {
        assert_eq!(answer.body.as_ref(), b"body");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_plain_request_is_answered_by_another_replica_when_one_sends_without_end() {
    for endless in [GARBAGE, INTERIM_RESPONSES, BODY, CHUNK_SIZE] {
        let system = System::start(1, EVENTS as u64).await;
        system.call_until(StatusCode::OK, 0, "/read/warm").await;
        let replica = EndlessReplica::join(&system, endless).await;
        call_until_sent(&system, &replica, "/read/x").await;
        replica.assert_bounded(endless).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_is_continued_at_another_replica_when_one_sends_no_event_without_end() {
    for endless in [GARBAGE, COMMENTS, EVENT] {
        let system = System::start(1, EVENTS as u64).await;
        system.call_until(StatusCode::OK, 0, "/read/warm").await;
        let replica = EndlessReplica::join(&system, endless).await;
        call_until_sent(&system, &replica, "/stream/x").await;
        replica.assert_bounded(endless).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn items_and_their_scores_are_done_when_one_replica_sends_without_end() {
    for endless in [CHUNK_SIZE, COMMENTS, BODY] {
        let system = System::start(1, EVENTS as u64).await;
        system.call_until(StatusCode::OK, 0, "/read/warm").await;
        let replica = EndlessReplica::join(&system, endless).await;
        system.submit_scored(0, "job", 8).await;
        let until = Instant::now() + PATIENCE;
        while system.results(0, "job").await.len() < 8 {
            assert!(Instant::now() < until, "{endless:?}: the job isn't done");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(replica.requests() > 0);
        replica.assert_bounded(endless).await;
    }
}
