//! Tests with real connections that callers which stop within a request give way to others, and learn that it has not run.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_core::intake::connections::ConnectionLimit;
use lichenpulley_daemon::http::body_memory::BodyMemory;
use lichenpulley_daemon::http::request::read_json;
use lichenpulley_daemon::http::server::{ServerStop, serve_limited};
use lichenpulley_daemon::http::{Body, response};
use tokio::net::TcpListener;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the server to read what was sent. A test that is too fast for it passes for the wrong reason, and never fails.
const TRANSIT: Duration = Duration::from_millis(200);
/// Time after which a caller that sends nothing is behind.
const STALL: Duration = Duration::from_millis(700);
const LIMIT: ConnectionLimit = ConnectionLimit { served: 4, closing: 2 };
/// Memory of a machine that has no room for these two bodies at once.
const MEMORY_BYTES: u64 = 4_000_000;
const LONG_TEXT_BYTES: usize = 1_500_000;
const TEXT_BYTES: usize = 300_000;
const LIMIT_BYTES: usize = 2 << 20;

/// Serves in a thread with a runtime of its own. A request is answered with the length of the text that it brings; one below
/// `/wait` never.
fn start_server(limit: ConnectionLimit) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a non-blocking socket");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a socket of the runtime");
            let memory = BodyMemory::for_machine(MEMORY_BYTES);
            let answer = move |request| answer(request, memory.clone());
            serve_limited(listener, ServerStop::default(), limit, answer).await;
        });
    });
    address
}

async fn answer(request: Request<Incoming>, memory: BodyMemory) -> Response<Body> {
    if request.uri().path() == "/wait" {
        return std::future::pending().await;
    }
    match read_json::<String>(request, LIMIT_BYTES, &memory).await {
        Ok(read) => response::text(StatusCode::OK, read.value.len().to_string()),
        Err(bad_request) => bad_request.into(),
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream
}

/// A request with a text of this length as its body.
fn request(text_bytes: usize) -> Vec<u8> {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", text_bytes + 2);
    [head.into_bytes(), b"\"".to_vec(), vec![b'a'; text_bytes], b"\"".to_vec()].concat()
}

fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("written");
    std::thread::sleep(TRANSIT);
}

/// Returns what arrives until the server closes the connection, or until the answer holds `end`.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut answer = Vec::new();
    let mut piece = [0; 1_024];
    while !String::from_utf8_lossy(&answer).contains(end) {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&piece[..length]),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_not_run(answer: &str, kind: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("retry-after") && answer.contains("connection: close"), "{answer:?}");
    assert!(answer.contains(kind) && answer.contains("not_run"), "{answer:?}");
}

#[test]
fn a_body_that_stalls_gives_its_memory_to_one_that_is_sent() {
    let address = start_server(ConnectionLimit::default());
    let (mut stalled, mut other) = (connect(address), connect(address));
    let unfinished = request(LONG_TEXT_BYTES);
    send(&mut stalled, &unfinished[..unfinished.len() - 1]);
    std::thread::sleep(STALL);
    send(&mut other, &request(TEXT_BYTES));
    assert!(read_until(&mut other, "300000").starts_with("HTTP/1.1 200"));
    assert_not_run(&read_until(&mut stalled, "not_run"), "no_body_memory");
}

#[test]
fn a_body_that_is_announced_takes_no_memory() {
    let address = start_server(ConnectionLimit::default());
    let mut stalled = connect(address);
    let unfinished = request(LONG_TEXT_BYTES);
    send(&mut stalled, &unfinished[..1_000]);
    let mut other = connect(address);
    send(&mut other, &request(TEXT_BYTES));
    assert!(read_until(&mut other, "300000").starts_with("HTTP/1.1 200"));
    stalled.write_all(&unfinished[1_000..1_010]).expect("the other one still arrives");
}

#[test]
fn the_body_that_waits_for_the_longest_time_gives_its_connection_to_a_new_one() {
    let address = start_server(LIMIT);
    let unfinished = request(100);
    let mut callers: Vec<TcpStream> = (0..LIMIT.served).map(|_| connect(address)).collect();
    callers.iter_mut().for_each(|caller| send(caller, &unfinished[..unfinished.len() - 1]));
    let mut ordinary = connect(address);
    send(&mut ordinary, &request(50));
    assert!(read_until(&mut ordinary, "50").starts_with("HTTP/1.1 200"));
    assert_not_run(&read_until(&mut callers[0], "not_run"), "too_many_connections");
    send(&mut callers[1], &unfinished[unfinished.len() - 1..]);
    assert!(read_until(&mut callers[1], "100").starts_with("HTTP/1.1 200"), "others are served on");
}

#[test]
fn an_idle_connection_that_gives_way_is_answered_as_not_run() {
    let address = start_server(LIMIT);
    let mut idle = connect(address);
    send(&mut idle, &request(10));
    assert!(read_until(&mut idle, "10").starts_with("HTTP/1.1 200"));
    let _others: Vec<TcpStream> = (0..LIMIT.served).map(|_| connect(address)).collect();
    assert_not_run(&read_until(&mut idle, "not_run"), "connection_closed");
}

#[test]
fn requests_in_progress_keep_their_connections() {
    let address = start_server(LIMIT);
    let mut working: Vec<TcpStream> = (0..LIMIT.served).map(|_| connect(address)).collect();
    working.iter_mut().for_each(|caller| send(caller, b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n"));
    let mut refused = connect(address);
    assert_not_run(&read_until(&mut refused, "not_run"), "connection_closed");
    for caller in &mut working {
        caller.set_read_timeout(Some(TRANSIT)).expect("a timeout");
        let read = caller.read(&mut [0; 1]);
        assert!(read.is_err(), "closed or answered: {read:?}");
    }
}
