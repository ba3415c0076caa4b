//! Connections between nodes over real sockets: broken peers, raw bytes, deadlines, idle connections.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::identity::{JobId, NodeId};
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::peers::{PeerClients, PeerError};
use lichenpulley_daemon::settings::Settings;
use lichenpulley_protocol::internal::{
    ConfigurationRequest, ConfigurationResponse, CoordinatorRequest, DocumentName, StoreRequest,
};
use lichenpulley_protocol::transport::FRAME_LIMIT_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;

const PATIENCE: Duration = Duration::from_secs(20);

async fn start_node() -> Node {
    Node::start(Settings::on_loopback("node-a", "zone-a")).await.expect("the node starts")
}

fn clients() -> PeerClients {
    PeerClients::new(Handle::current(), Settings::on_loopback("asker", "zone-a").peers)
}

async fn ask(clients: &PeerClients, address: SocketAddr) -> Result<ConfigurationResponse, PeerError> {
    let request = ConfigurationRequest {
        document: DocumentName::Configuration,
        from: NodeId::new("asker"),
        message: Message::Query,
    };
    clients.configuration(address, request, PATIENCE).await
}

/// Sends raw bytes and waits until the node closes the connection.
async fn closed_after(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("written");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
    // A reset is as good as an end: bytes that nobody read may cause one.
    drop(read.expect("the node closes the connection"));
    assert!(answer.is_empty());
}

fn closed_for(node: &Node, reason: &str) -> bool {
    let line = format!("lichenpulley_peer_connections_closed_total{{reason=\"{reason}\"}} 1");
    node.context().metrics.encode().expect("metrics").contains(&line)
}

#[tokio::test]
async fn a_frame_too_long_closes_its_connection_and_nothing_else() {
    let node = start_node().await;
    let peers = node.addresses().peers;
    let clients = clients();
    ask(&clients, peers).await.expect("an answer before");
    let length = u32::try_from(FRAME_LIMIT_BYTES + 1).expect("a length");
    closed_after(peers, &length.to_be_bytes()).await;
    assert!(closed_for(&node, "frame_too_long"));
    ask(&clients, peers).await.expect("an answer after");
    assert_eq!(clients.open_connections(), 1);
}

#[tokio::test]
async fn a_frame_that_is_no_message_closes_its_connection_and_nothing_else() {
    let node = start_node().await;
    let peers = node.addresses().peers;
    let clients = clients();
    ask(&clients, peers).await.expect("an answer before");
    let mut frame = 5_u32.to_be_bytes().to_vec();
    frame.extend_from_slice(&[0xff; 5]);
    closed_after(peers, &frame).await;
    assert!(closed_for(&node, "undecodable"));
    ask(&clients, peers).await.expect("an answer after");
}

#[tokio::test]
async fn bytes_after_a_message_are_refused() {
    let node = start_node().await;
    // A cancel of request 7 with one byte too many.
    let mut body = 1_u32.to_le_bytes().to_vec();
    body.extend_from_slice(&7_u64.to_le_bytes());
    body.push(0);
    let mut frame = u32::try_from(body.len()).expect("a length").to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    closed_after(node.addresses().peers, &frame).await;
    assert!(closed_for(&node, "undecodable"));
}

#[tokio::test]
async fn a_refused_connection_is_told_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = ask(&clients(), address).await.expect_err("nobody listens");
    assert!(error.nothing_sent(), "{error}");
}

#[tokio::test]
async fn a_peer_that_never_answers_is_told_as_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let clients = clients();
    let asked = clients.store(address, StoreRequest::Probe, Duration::from_millis(50)).await;
    let error = asked.expect_err("nobody answers");
    assert!(!error.nothing_sent(), "{error}");
}

#[tokio::test]
async fn a_connection_is_made_again_after_its_peer_came_back() {
    let node = start_node().await;
    let address = node.addresses().peers;
    let clients = clients();
    ask(&clients, address).await.expect("an answer");
    node.kill();
    node.stopped().await;
    let mut settings = Settings::on_loopback("node-a", "zone-a");
    settings.addresses.peers = address;
    let _again = Node::start(settings).await.expect("the node starts again");
    let answered = async {
        while ask(&clients, address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, answered).await.expect("an answer after the restart");
}

#[tokio::test]
async fn an_idle_connection_is_closed() {
    let node = start_node().await;
    let mut settings = Settings::on_loopback("asker", "zone-a").peers;
    settings.idle = Duration::from_millis(20);
    let clients = PeerClients::new(Handle::current(), settings);
    ask(&clients, node.addresses().peers).await.expect("an answer");
    let closed = async {
        while clients.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, closed).await.expect("the idle connection is closed");
    ask(&clients, node.addresses().peers).await.expect("an answer over a new connection");
}

/// A peer whose machine has vanished takes nothing: the connection to it is given up, so that the next call makes a
/// new one. With the limit far away it stays.
#[tokio::test]
async fn a_connection_to_a_peer_that_takes_nothing_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stuck = |stall| {
        let mut settings = Settings::on_loopback("asker", "zone-a").peers;
        settings.stall_timeout = stall;
        PeerClients::new(Handle::current(), settings)
    };
    let (limited, endless) = (stuck(Duration::from_secs(1)), stuck(Duration::from_secs(3_600)));
    for clients in [&limited, &endless] {
        // More than the buffers of both sides hold.
        for _ in 0..4 {
            let job = JobId::new("x".repeat(FRAME_LIMIT_BYTES / 2));
            let asked =
                clients.coordinator(address, CoordinatorRequest::JobStatus(job), Duration::from_millis(50));
            asked.await.expect_err("nobody answers");
        }
    }
    let given_up = async {
        while limited.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, given_up).await.expect("the connection is given up");
    assert_eq!(endless.open_connections(), 1, "the limit is not what ended the connection");
}
