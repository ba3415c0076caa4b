//! Tests of connections between nodes over real sockets: broken peers, raw bytes, deadlines and idle
//! connections.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::identity::{JobId, NodeId};
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::peers::{PeerClients, PeerError};
use lichenpulley_daemon::settings::Settings;
use lichenpulley_protocol::internal::{
    BatchRequest, ConfigurationRequest, ConfigurationResponse, CoordinatorRequest, DocumentName, StoreRequest,
};
use lichenpulley_protocol::transport::FRAME_LIMIT_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start_node() -> Node {
    Node::start(Settings::on_loopback("node-a", "zone-a")).await.expect("the node starts")
}

fn clients() -> PeerClients {
    PeerClients::new(Handle::current(), Settings::on_loopback("asker", "zone-a").peers)
}

async fn query(clients: &PeerClients, address: SocketAddr) -> Result<ConfigurationResponse, PeerError> {
    let request = ConfigurationRequest {
        document: DocumentName::Configuration,
        from: NodeId::new("asker"),
        message: Message::Query,
    };
    clients.configuration(address, request, TIMEOUT).await
}

/// Sends raw bytes and asserts that the node closes the connection without an answer.
async fn assert_closed_after(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("written");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    // The read may also end with a reset, which unread bytes can cause.
    drop(read.expect("the node closes the connection"));
    assert!(answer.is_empty());
}

fn was_closed_for(node: &Node, reason: &str) -> bool {
    let line = format!("lichenpulley_peer_connections_closed_total{{reason=\"{reason}\"}} 1");
    node.context().metrics.encode().expect("metrics").contains(&line)
}

#[tokio::test]
async fn oversized_frame_closes_only_its_connection() {
    let node = start_node().await;
    let peers = node.addresses().peers;
    let clients = clients();
    query(&clients, peers).await.expect("an answer before");
    let length = u32::try_from(FRAME_LIMIT_BYTES + 1).expect("a length");
    assert_closed_after(peers, &length.to_be_bytes()).await;
    assert!(was_closed_for(&node, "frame_too_long"));
    query(&clients, peers).await.expect("an answer after");
    assert_eq!(clients.open_connections(), 1);
}

#[tokio::test]
async fn undecodable_frame_closes_only_its_connection() {
    let node = start_node().await;
    let peers = node.addresses().peers;
    let clients = clients();
    query(&clients, peers).await.expect("an answer before");
    let mut frame = 5_u32.to_be_bytes().to_vec();
    frame.extend_from_slice(&[0xff; 5]);
    assert_closed_after(peers, &frame).await;
    assert!(was_closed_for(&node, "undecodable"));
    query(&clients, peers).await.expect("an answer after");
}

#[tokio::test]
async fn trailing_bytes_after_a_message_are_refused() {
    let node = start_node().await;
    // A cancellation of request 7, followed by one extra byte.
    let mut body = 1_u32.to_le_bytes().to_vec();
    body.extend_from_slice(&7_u64.to_le_bytes());
    body.push(0);
    let mut frame = u32::try_from(body.len()).expect("a length").to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    assert_closed_after(node.addresses().peers, &frame).await;
    assert!(was_closed_for(&node, "undecodable"));
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = query(&clients(), address).await.expect_err("nobody listens");
    assert!(error.nothing_sent(), "{error}");
}

#[tokio::test]
async fn silent_peer_is_reported_as_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let clients = clients();
    let asked = clients.store(address, StoreRequest::Probe, Duration::from_millis(50)).await;
    let error = asked.expect_err("nobody answers");
    assert!(!error.nothing_sent(), "{error}");
}

#[tokio::test]
async fn connection_is_reopened_after_a_peer_restarts() {
    let node = start_node().await;
    let address = node.addresses().peers;
    let clients = clients();
    query(&clients, address).await.expect("an answer");
    node.kill();
    node.stopped().await;
    let mut settings = Settings::on_loopback("node-a", "zone-a");
    settings.addresses.peers = address;
    let _again = Node::start(settings).await.expect("the node starts again");
    let answered = async {
        while query(&clients, address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, answered).await.expect("an answer after the restart");
}

#[tokio::test]
async fn idle_connection_is_closed() {
    let node = start_node().await;
    let mut settings = Settings::on_loopback("asker", "zone-a").peers;
    settings.idle = Duration::from_millis(20);
    let clients = PeerClients::new(Handle::current(), settings);
    query(&clients, node.addresses().peers).await.expect("an answer");
    let closed = async {
        while clients.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, closed).await.expect("the idle connection is closed");
    query(&clients, node.addresses().peers).await.expect("an answer over a new connection");
}

/// A connection to a peer that stopped reading, for example because its machine failed, must be closed after
/// the stall timeout, so that the next call opens a new one. With a long timeout it must stay open.
#[tokio::test]
async fn connection_is_closed_when_the_peer_stops_reading() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let with_stall_timeout = |stall| {
        let mut settings = Settings::on_loopback("asker", "zone-a").peers;
        settings.stall_timeout = stall;
        PeerClients::new(Handle::current(), settings)
    };
    let (short_timeout, long_timeout) =
        (with_stall_timeout(Duration::from_secs(1)), with_stall_timeout(Duration::from_secs(3_600)));
    for clients in [&short_timeout, &long_timeout] {
        // Exceeds the socket buffers of both sides.
        for _ in 0..4 {
            let job = JobId::new("x".repeat(FRAME_LIMIT_BYTES / 2));
            let asked =
                clients.coordinator(address, CoordinatorRequest::JobStatus(job), Duration::from_millis(50));
            asked.await.expect_err("nobody answers");
        }
    }
    let stalled_closed = async {
        while short_timeout.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, stalled_closed).await.expect("the stalled connection is closed");
    assert_eq!(long_timeout.open_connections(), 1, "the connection must end by the stall timeout only");
}

/// Fails if a node of an earlier release, which closes the connection on a request that it can't decode, leaves the
/// outcome of other calls to it unknown.
#[tokio::test]
async fn request_that_an_earlier_release_cannot_decode_affects_no_other_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (accepted, mut first_accepted) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let (held, _) = listener.accept().await.expect("the connection of the other call");
        accepted.send(held).await.expect("the test waits");
        let (mut closed, _) = listener.accept().await.expect("a connection of its own");
        closed.read_exact(&mut [0]).await.expect("a request");
    });
    let clients = clients();
    let other = {
        let clients = clients.clone();
        tokio::spawn(async move { clients.batch(address, BatchRequest::TakeOver(None), TIMEOUT).await })
    };
    let _held = first_accepted.recv().await.expect("the other call is sent");
    let began = tokio::time::Instant::now();
    let answer = clients.separate().batch(address, BatchRequest::Queue, TIMEOUT).await;
    assert!(matches!(answer, Err(PeerError::NoAnswer { .. })), "{answer:?}");
    assert!(began.elapsed() < TIMEOUT, "the end of the connection is the end of the wait");
    assert!(!other.is_finished());
    assert_eq!(clients.open_connections(), 1);
}
