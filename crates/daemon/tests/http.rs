//! Tests the HTTP server, client and event streams over TCP connections.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_daemon::http::body_memory::BodyMemory;
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::http::events::{EventStreamError, event_stream};
use lichenpulley_daemon::http::request::{percent_decode, percent_encode, read_json};
use lichenpulley_daemon::http::server::{HeadLimits, ServerStop, serve, serve_with_limits};
use lichenpulley_daemon::http::socket::SocketLimits;
use lichenpulley_daemon::http::{Body, response};
use lichenpulley_protocol::error::ErrorBody;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const MEMORY_BYTES: u64 = 1 << 30;
const BODY_LIMIT_BYTES: usize = 64;
/// How often a port is closed under load.
const CLOSING_ROUNDS: u64 = 8;
/// A request to [`echo`].
const ONE_REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n[1]";

fn client() -> HttpClient {
    HttpClient::new(Duration::from_secs(5))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Listens on a port that the operating system gives to nobody by itself, so that no other process takes it once it
/// is closed.
async fn listen_outside_ephemeral_range() -> TcpListener {
    loop {
        let port = rand::random_range(10_000..32_000);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)).await {
            return listener;
        }
    }
}

async fn echo(request: Request<Incoming>) -> Response<Body> {
    match read_json::<Vec<u32>>(request, BODY_LIMIT_BYTES, &BodyMemory::for_machine(MEMORY_BYTES)).await {
        Ok(numbers) => response::json(StatusCode::OK, &numbers.value),
        Err(bad_request) => bad_request.into(),
    }
}

async fn start_echo_server() -> (SocketAddr, ServerStop) {
    let (listener, address) = listen().await;
    let stop = ServerStop::default();
    tokio::spawn(serve(listener, stop.clone(), echo));
    (address, stop)
}

/// A server that reads the head of one request, writes `answer`, and closes.
async fn start_raw_server(answer: &'static [u8]) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(answer).await.expect("written");
    });
    address
}

async fn read_head(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a byte of the head"));
    }
    head
}

#[tokio::test]
async fn json_round_trips() {
    let (address, _stop) = start_echo_server().await;
    let answer: Vec<u32> =
        client().post_json(address, "/", &[1, 2, 3], TEST_TIMEOUT).await.expect("an answer");
    assert_eq!(answer, [1, 2, 3]);
}

#[tokio::test]
async fn an_invalid_body_is_refused_with_a_typed_error() {
    let (address, _stop) = start_echo_server().await;
    let result: Result<Vec<u32>, _> = client().post_json(address, "/", &"text", TEST_TIMEOUT).await;
    let error = result.expect_err("an invalid body");
    assert_eq!(error.status(), Some(StatusCode::BAD_REQUEST));
    assert_eq!(error.body::<ErrorBody>().expect("a typed error").kind, "bad_body");
    let long = vec![7_u32; BODY_LIMIT_BYTES];
    let result: Result<Vec<u32>, _> = client().post_json(address, "/", &long, TEST_TIMEOUT).await;
    assert_eq!(result.expect_err("a long body").status(), Some(StatusCode::PAYLOAD_TOO_LARGE));
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let (listener, address) = listen().await;
    drop(listener);
    let result: Result<u32, ClientError> = client().get_json(address, "/", TEST_TIMEOUT).await;
    assert!(result.expect_err("no listener").nothing_sent());
}

#[tokio::test]
async fn a_connection_closed_after_the_request_is_not_reported_as_unsent() {
    let address = start_raw_server(b"").await;
    let result: Result<u32, ClientError> = client().get_json(address, "/", TEST_TIMEOUT).await;
    let error = result.expect_err("no answer");
    assert!(matches!(error, ClientError::NoAnswer { .. }), "{error}");
}

#[tokio::test]
async fn a_timeout_after_the_request_is_not_reported_as_unsent() {
    let (listener, address) = listen().await;
    let result: Result<u32, ClientError> = client().get_json(address, "/", Duration::from_millis(50)).await;
    let error = result.expect_err("no answer");
    assert!(matches!(error, ClientError::NoAnswer { .. }), "{error}");
    drop(listener);
}

/// Guards against an automatic retry by the client and against `NotSent` for a request that the server
/// received, when the server closes a reused connection instead of answering.
#[tokio::test]
async fn a_request_on_a_reused_connection_that_closes_is_not_reported_as_unsent() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1").await.expect("written");
        // The second request arrives completely, and the connection closes without an answer.
        read_head(&mut stream).await;
        drop(stream);
        // A retry by the client would arrive here.
        tokio::time::timeout(Duration::from_millis(200), listener.accept()).await.is_ok()
    });
    let client = client();
    let first: u32 = client.get_json(address, "/", TEST_TIMEOUT).await.expect("an answer");
    assert_eq!(first, 1);
    let second: Result<u32, ClientError> = client.get_json(address, "/", TEST_TIMEOUT).await;
    let error = second.expect_err("no answer");
    assert!(matches!(error, ClientError::NoAnswer { .. }), "{error}");
    assert!(!server.await.expect("the server ends"), "the request was sent a second time");
}

#[tokio::test]
async fn a_finished_event_stream_ends_well_formed() {
    let (listener, address) = listen().await;
    let answer = |_: Request<Incoming>| async {
        let (sender, response) = event_stream(4);
        tokio::spawn(async move {
            for number in 0..100_u32 {
                sender.send(&number).await.expect("the reader is there");
            }
            sender.send_named("last", &"end").await.expect("the reader is there");
            sender.finish().await.expect("the reader is there");
        });
        response
    };
    tokio::spawn(serve(listener, ServerStop::default(), answer));
    let mut events = client().get_events(address, "/", TEST_TIMEOUT).await.expect("a stream");
    for number in 0..100_u32 {
        let event = events.next().await.expect("an intact stream").expect("an event");
        assert_eq!(event.json::<u32>().expect("a number"), number);
    }
    let last = events.next().await.expect("an intact stream").expect("an event");
    assert_eq!(last.name.as_deref(), Some("last"));
    assert!(events.next().await.expect("an intact stream").is_none());
}

#[tokio::test]
async fn a_truncated_event_stream_is_reported_as_broken() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n";
    let address = start_raw_server(head).await;
    let mut events = client().get_events(address, "/", TEST_TIMEOUT).await.expect("a stream");
    assert!(events.next().await.expect("the first event").is_some());
    let error = events.next().await.expect_err("the stream broke off");
    assert!(matches!(error, EventStreamError::Broken(_)), "{error}");
}

/// Guards against a partial stream that ends well-formed after the task that produces it panicked.
#[tokio::test]
async fn dropping_the_sender_before_the_end_breaks_the_stream() {
    let (listener, address) = listen().await;
    let answer = |_: Request<Incoming>| async {
        let (sender, response) = event_stream(4);
        tokio::spawn(async move { sender.send(&1).await.expect("the reader is there") });
        response
    };
    tokio::spawn(serve(listener, ServerStop::default(), answer));
    let mut events = client().get_events(address, "/", TEST_TIMEOUT).await.expect("a stream");
    // The server may abort the connection before it has written the event.
    let error = loop {
        match events.next().await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("a partial stream ended as if it were complete"),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, EventStreamError::Broken(_)), "{error}");
}

#[tokio::test]
async fn a_closing_server_completes_open_streams() {
    let (listener, address) = listen().await;
    let stop = ServerStop::default();
    let (release, released) = tokio::sync::watch::channel(false);
    let answer = move |_: Request<Incoming>| {
        let mut released = released.clone();
        async move {
            let (sender, response) = event_stream(1);
            tokio::spawn(async move {
                sender.send(&1).await.expect("the reader is there");
                released.wait_for(|released| *released).await.expect("released");
                sender.send(&2).await.expect("the reader is there");
                sender.finish().await.expect("the reader is there");
            });
            response
        }
    };
    let server = tokio::spawn(serve(listener, stop.clone(), answer));
    let mut events = client().get_events(address, "/", TEST_TIMEOUT).await.expect("a stream");
    assert!(events.next().await.expect("the first event").is_some());
    stop.draining.cancel();
    stop.closing.cancel();
    let port_closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, port_closed).await.expect("the port closes");
    assert!(!server.is_finished(), "the server ended before its stream was complete");
    release.send_replace(true);
    assert_eq!(
        events.next().await.expect("an intact stream").expect("an event").json::<u32>().expect("a number"),
        2
    );
    assert!(events.next().await.expect("an intact stream").is_none());
    tokio::time::timeout(TEST_TIMEOUT, server).await.expect("the server ends").expect("without a panic");
}

/// Guards against resetting connections that are still in the accept queue when the server closes.
#[tokio::test]
async fn a_request_in_the_queue_of_a_closing_port_is_answered() {
    let (listener, address) = listen().await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        caller
            .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n[1]")
            .await
            .expect("written");
        callers.push(caller);
    }
    let stop = ServerStop::default();
    stop.draining.cancel();
    stop.closing.cancel();
    let server = tokio::spawn(serve(listener, stop, echo));
    for mut caller in callers {
        let mut answer = String::new();
        let read = tokio::time::timeout(TEST_TIMEOUT, caller.read_to_string(&mut answer)).await;
        read.expect("the connection ends").expect("the answer is complete");
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
    tokio::time::timeout(TEST_TIMEOUT, server).await.expect("the server ends").expect("without a panic");
}

/// Sends requests on new connections without giving the runtime a chance to notice them.
fn send_unnoticed(address: SocketAddr, count: usize) -> Vec<std::net::TcpStream> {
    let send = |_| {
        let mut caller = std::net::TcpStream::connect(address).expect("a connection");
        caller.write_all(ONE_REQUEST).expect("written");
        caller
    };
    (0..count).map(send).collect()
}

async fn assert_answered(caller: std::net::TcpStream) {
    caller.set_nonblocking(true).expect("a non-blocking socket");
    let mut caller = TcpStream::from_std(caller).expect("a socket of the runtime");
    let mut answer = String::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, caller.read_to_string(&mut answer)).await;
    read.expect("the connection ends").expect("the answer is complete");
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
}

/// Guards against resetting connections of which the runtime has not been notified yet when the port closes, as
/// on a busy machine.
#[tokio::test]
async fn a_connection_that_the_runtime_has_not_noticed_is_answered_when_the_port_closes() {
    let (address, stop) = start_echo_server().await;
    let first: Vec<u32> = client().post_json(address, "/", &[1], TEST_TIMEOUT).await.expect("an answer");
    assert_eq!(first, [1]);
    let callers = send_unnoticed(address, 8);
    stop.draining.cancel();
    stop.closing.cancel();
    for caller in callers {
        assert_answered(caller).await;
    }
}

/// Sends requests on one new connection after the other until the port is closed, and counts the answers.
fn send_until_closed(address: SocketAddr, answers: &AtomicUsize) {
    while let Ok(mut caller) = std::net::TcpStream::connect(address) {
        caller.write_all(ONE_REQUEST).expect("written");
        let mut answer = [0; 12];
        caller.read_exact(&mut answer).expect("an answer on each connection that was established");
        assert_eq!(&answer, b"HTTP/1.1 200");
        answers.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against resetting connections that are established between the last accept and the close of the port.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_connection_that_is_established_while_the_port_closes_is_answered() {
    for round in 0..CLOSING_ROUNDS {
        let listener = listen_outside_ephemeral_range().await;
        let address = listener.local_addr().expect("an address");
        let stop = ServerStop::default();
        tokio::spawn(serve(listener, stop.clone(), echo));
        let answers: [Arc<AtomicUsize>; 4] = Default::default();
        let start = |answers: &Arc<AtomicUsize>| {
            let answers = Arc::clone(answers);
            std::thread::spawn(move || send_until_closed(address, &answers))
        };
        let callers: Vec<_> = answers.iter().map(start).collect();
        while answers.iter().any(|answers| answers.load(Ordering::Relaxed) == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(round)).await;
        stop.draining.cancel();
        stop.closing.cancel();
        for caller in callers {
            let ended = tokio::task::spawn_blocking(move || caller.join()).await.expect("joined");
            ended.expect("no connection without an answer");
        }
    }
}

/// Guards against closing a kept connection whose next request arrives in the instant in which the server gives
/// up waiting for one.
#[tokio::test]
async fn a_request_that_arrives_when_a_kept_connection_is_to_be_closed_is_answered() {
    let (address, stop) = start_echo_server().await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        caller.write_all(ONE_REQUEST).await.expect("written");
        let head_bytes = read_head(&mut caller).await;
        assert!(head_bytes.starts_with(b"HTTP/1.1 200 OK"));
        assert_eq!(caller.read_u8().await.expect("the body"), b'[');
        caller.read_exact(&mut [0; 2]).await.expect("the body");
        callers.push(caller.into_std().expect("a socket"));
    }
    stop.draining.cancel();
    stop.closing.cancel();
    let port_closed = async { while TcpStream::connect(address).await.is_ok() {} };
    tokio::time::timeout(TEST_TIMEOUT, port_closed).await.expect("the port closes");
    for caller in &mut callers {
        caller.set_nonblocking(false).expect("a blocking socket");
        caller.write_all(ONE_REQUEST).expect("written");
    }
    // Blocks the runtime until the time for idle connections is over, so that it notices both at once.
    std::thread::sleep(Duration::from_secs(1));
    for caller in callers {
        assert_answered(caller).await;
    }
}

/// Guards against resetting a keep-alive connection on which a request arrives just after the port has
/// closed.
#[tokio::test]
async fn a_request_on_a_kept_connection_of_a_closing_port_is_answered() {
    let (address, stop) = start_echo_server().await;
    let client = client();
    let first: Vec<u32> = client.post_json(address, "/", &[1], TEST_TIMEOUT).await.expect("an answer");
    stop.draining.cancel();
    stop.closing.cancel();
    let port_closed = async { while TcpStream::connect(address).await.is_ok() {} };
    tokio::time::timeout(TEST_TIMEOUT, port_closed).await.expect("the port closes");
    let second: Vec<u32> = client.post_json(address, "/", &[2], TEST_TIMEOUT).await.expect("an answer");
    assert_eq!((first, second), (vec![1], vec![2]));
}

/// Starts a server with one endless stream and a reader that stops reading, and requests the server to close.
/// Returns the server's task and the reader.
async fn start_server_with_stalled_reader(
    stall_timeout: Duration,
) -> (tokio::task::JoinHandle<()>, TcpStream) {
    let (listener, address) = listen().await;
    let stop = ServerStop::default();
    let answer = |_: Request<Incoming>| async {
        let (sender, response) = event_stream(1);
        let large = "x".repeat(64 * 1024);
        tokio::spawn(async move { while sender.send(&large).await.is_ok() {} });
        response
    };
    let server = tokio::spawn(serve_with_limits(
        listener,
        stop.clone(),
        SocketLimits { stall_timeout },
        HeadLimits::default,
        answer,
    ));
    let mut reader = TcpStream::connect(address).await.expect("a connection");
    reader.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
    reader.read_u8().await.expect("the answer begins");
    stop.closing.cancel();
    (server, reader)
}

/// Guards against a caller that stopped reading delaying a planned stop beyond the stall timeout.
#[tokio::test]
async fn a_reader_that_stopped_reading_is_given_up() {
    let (unlimited, _other_reader) = start_server_with_stalled_reader(Duration::from_secs(3_600)).await;
    let (limited, _reader) = start_server_with_stalled_reader(Duration::from_secs(1)).await;
    tokio::time::timeout(TEST_TIMEOUT, limited).await.expect("the server ends").expect("without a panic");
    assert!(!unlimited.is_finished(), "the stream ended without reaching the stall timeout");
    unlimited.abort();
}

proptest! {
    #[test]
    fn percent_encoding_round_trips(text in ".*") {
        prop_assert_eq!(percent_decode(&percent_encode(&text)), text);
    }
}
