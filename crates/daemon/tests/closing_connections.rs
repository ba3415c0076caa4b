//! Tests that a request on a connection that the server closes gets a complete response that says what happened.
//!
//! The order of events is forced: each request is written once the server has begun to close its connection and
//! before its caller has looked, as if it had been on its way meanwhile.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_daemon::http::client::{ClientError, HttpClient, build};
use lichenpulley_daemon::http::events::event_stream;
use lichenpulley_daemon::http::server::{HeadLimits, ServerStop, serve_with_limits};
use lichenpulley_daemon::http::socket::SocketLimits;
use lichenpulley_daemon::http::{Body, response};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::watch;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a request is on its way.
const TRANSIT: Duration = Duration::from_millis(5);
const SHORT_HEAD_TIMEOUT: Duration = Duration::from_millis(200);
const CALLERS: usize = 8;
const NARROW_BUFFER_BYTES: usize = 4 << 10;
const LONG_ANSWER_BYTES: usize = 256 << 10;
/// More than the server reads ahead.
const UNREAD_BODY_BYTES: usize = 300_000;
const LONG_BODY_BYTES: usize = 8 << 20;
const LONG_BODY_ATTEMPTS: usize = 24;
/// Time for which a caller reads nothing.
const STALL: Duration = Duration::from_millis(100);
/// Time for which packets are lost; within it a busy server has answered.
const LOSS: Duration = Duration::from_millis(700);
const ONE_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Serves in a thread with a runtime of its own, so that a stalled caller doesn't stall the server.
fn start_server<Handler, Answer>(head_timeout: Duration, handler: Handler) -> (SocketAddr, ServerStop)
where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a non-blocking socket");
    let address = listener.local_addr().expect("an address");
    let stop = ServerStop::default();
    let server_stop = stop.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a socket of the runtime");
            let heads = move || HeadLimits { timeout: head_timeout, ..HeadLimits::default() };
            serve_with_limits(listener, server_stop, SocketLimits::default(), heads, handler).await;
        });
    });
    (address, stop)
}

async fn answer_one(_: Request<Incoming>) -> Response<Body> {
    response::json(StatusCode::OK, &1)
}

fn begin_close(stop: &ServerStop) {
    stop.draining.cancel();
    stop.closing.cancel();
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream
}

/// Opens a connection that stays open after its first answer.
fn connect_kept(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(ONE_REQUEST).expect("written");
    read_until(&mut stream, "\r\n\r\n1");
    stream
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the answer goes on");
        text.push(char::from(byte[0]));
    }
    text
}

/// Waits until the server closes the connection or says something, and reads nothing.
fn wait_until_closing(stream: &TcpStream) {
    stream.peek(&mut [0]).expect("the server closes the connection");
}

/// Sends what arrives at the server a while after it began to close the connection, and returns what comes back.
fn send_late(mut stream: TcpStream, bytes: &[u8]) -> Result<String, String> {
    wait_until_closing(&stream);
    std::thread::sleep(TRANSIT);
    let mut answer = Vec::new();
    let written = stream.write_all(bytes);
    let read = stream.read_to_end(&mut answer);
    if answer.is_empty() {
        return Err(format!("written: {written:?}, read: {read:?}"));
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Returns whether a response says what happened to its request: it succeeded, or didn't run.
fn says_what_happened(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let says_not_run = || body.contains("\"execution\":\"not_run\"");
    head.starts_with("HTTP/1.1 200") || (head.starts_with("HTTP/1.1 ") && says_not_run())
}

fn assert_all_answered(answers: &[Result<String, String>]) {
    let unanswered: Vec<_> =
        answers.iter().filter(|answer| !answer.as_deref().is_ok_and(says_what_happened)).collect();
    assert!(unanswered.is_empty(), "{} of {}: {unanswered:?}", unanswered.len(), answers.len());
}

/// Checks that the caller knows whether its request ran.
fn assert_known(result: Result<u32, ClientError>) {
    let Err(error) = result else { return };
    let execution = error.body::<ErrorBody>().and_then(|body| body.execution);
    assert!(error.nothing_sent() || execution == Some(Execution::NotRun), "{error}");
}

/// Guards against dropping a request that crosses the shutdown of its idle connection on a planned stop.
#[test]
fn a_request_that_crosses_the_shutdown_of_its_idle_connection_is_answered() {
    let (address, stop) = start_server(TEST_TIMEOUT, answer_one);
    let callers: Vec<_> = (0..CALLERS).map(|_| connect_kept(address)).collect();
    begin_close(&stop);
    let answers: Vec<_> = callers.into_iter().map(|caller| send_late(caller, ONE_REQUEST)).collect();
    assert_all_answered(&answers);
}

/// Guards against a pooled connection whose shutdown its busy caller has not noticed losing the next request.
#[tokio::test]
async fn a_busy_caller_knows_the_outcome_of_a_request_on_a_connection_that_was_shut_down() {
    let (address, stop) = start_server(TEST_TIMEOUT, answer_one);
    let client = HttpClient::new(TEST_TIMEOUT);
    let first: u32 = client.get_json(address, "/", TEST_TIMEOUT).await.expect("an answer");
    assert_eq!(first, 1);
    let other = connect_kept(address);
    begin_close(&stop);
    // Blocks the caller's runtime, so that it doesn't notice that the connection is closed.
    wait_until_closing(&other);
    std::thread::sleep(TRANSIT);
    assert_known(client.get_json(address, "/", TEST_TIMEOUT).await);
}

/// Guards against dropping a request that crosses the close of a connection at the idle timeout.
#[test]
fn a_request_that_crosses_the_idle_timeout_is_answered() {
    let (address, _stop) = start_server(SHORT_HEAD_TIMEOUT, answer_one);
    let callers: Vec<_> = (0..CALLERS).map(|_| connect_kept(address)).collect();
    let answers: Vec<_> = callers.into_iter().map(|caller| send_late(caller, ONE_REQUEST)).collect();
    assert_all_answered(&answers);
}

/// Guards against a pooled connection that was closed at the idle timeout losing a busy caller's next request.
#[tokio::test]
async fn a_busy_caller_knows_the_outcome_of_a_request_after_the_idle_timeout() {
    let (address, _stop) = start_server(SHORT_HEAD_TIMEOUT, answer_one);
    let client = HttpClient::new(TEST_TIMEOUT);
    let first: u32 = client.get_json(address, "/", TEST_TIMEOUT).await.expect("an answer");
    assert_eq!(first, 1);
    let later = connect_kept(address);
    // Blocks the caller's runtime, so that it doesn't notice that the connection is closed.
    wait_until_closing(&later);
    std::thread::sleep(TRANSIT);
    assert_known(client.get_json(address, "/", TEST_TIMEOUT).await);
}

/// Guards against closing a connection without a response when only a part of a request's head arrived in time.
#[test]
fn a_request_whose_head_is_late_is_answered() {
    let (address, _stop) = start_server(SHORT_HEAD_TIMEOUT, answer_one);
    let (begin, end) = ONE_REQUEST.split_at(ONE_REQUEST.len() / 2);
    let mut caller = connect(address);
    caller.write_all(begin).expect("written");
    assert_all_answered(&[send_late(caller, end)]);
}

/// Answers with a stream that ends when `released` is set.
fn answer_stream(released: &watch::Receiver<bool>) -> Response<Body> {
    let mut released = released.clone();
    let (sender, response) = event_stream(1);
    tokio::spawn(async move {
        sender.send(&1).await.expect("the reader is there");
        released.wait_for(|released| *released).await.expect("released");
        sender.finish().await.expect("the reader is there");
    });
    response
}

fn start_stream_server() -> (SocketAddr, ServerStop, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    let handler = move |request: Request<Incoming>| {
        let released = released.clone();
        async move {
            match request.uri().path() {
                "/stream" => answer_stream(&released),
                _ => response::json(StatusCode::OK, &1),
            }
        }
    };
    let (address, stop) = start_server(TEST_TIMEOUT, handler);
    (address, stop, release)
}

/// Guards against dropping a request that crosses the close of a connection at the end of a stream whose head, sent
/// before the stop, did not announce it.
#[test]
fn a_request_after_a_stream_that_outlived_the_stop_is_answered() {
    let (address, stop, release) = start_stream_server();
    let open = |_| {
        let mut caller = connect(address);
        caller.write_all(b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n").expect("written");
        let head = read_until(&mut caller, "data: 1\n\n\r\n");
        assert!(!head.contains("connection: close"), "{head}");
        caller
    };
    let callers: Vec<_> = (0..CALLERS).map(open).collect();
    let idle = connect_kept(address);
    begin_close(&stop);
    wait_until_closing(&idle);
    std::thread::sleep(TRANSIT);
    release.send_replace(true);
    let finish = |mut caller: TcpStream| {
        read_until(&mut caller, "0\r\n\r\n");
        send_late(caller, ONE_REQUEST)
    };
    let answers: Vec<_> = callers.into_iter().map(finish).collect();
    assert_all_answered(&answers);
}

/// Connects with a receive buffer that holds a small part of a long answer.
fn connect_narrow(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(NARROW_BUFFER_BYTES).expect("a small buffer");
    socket.connect(&address.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream
}

fn unread_body_request(body_bytes: usize) -> Vec<u8> {
    let mut request =
        format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {body_bytes}\r\n\r\n").into_bytes();
    request.resize(request.len() + body_bytes, b'a');
    request
}

async fn refuse_unread(_: Request<Incoming>) -> Response<Body> {
    response::not_found("/")
}

async fn answer_long(_: Request<Incoming>) -> Response<Body> {
    response::text(StatusCode::OK, "a".repeat(LONG_ANSWER_BYTES))
}

/// Reads the rest of an answer, and returns the length of its body.
fn read_body_bytes(mut stream: TcpStream, mut answer: Vec<u8>) -> (usize, std::io::Result<usize>) {
    let read = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    (text.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len()), read)
}

/// Guards against a reset that takes a long answer with it, because its request's body is unread.
#[test]
fn a_long_answer_before_the_body_is_read_arrives_whole() {
    let (address, stop) = start_server(TEST_TIMEOUT, answer_long);
    stop.draining.cancel();
    let mut caller = connect_narrow(address);
    let written = caller.write_all(&unread_body_request(UNREAD_BODY_BYTES));
    std::thread::sleep(STALL);
    let (length, read) = read_body_bytes(caller, Vec::new());
    assert_eq!(length, LONG_ANSWER_BYTES, "written: {written:?}, read: {read:?}");
}

/// Guards against a reset that takes a long answer with it, because the next request arrived during its transfer.
#[test]
fn a_long_last_answer_arrives_whole_although_the_next_request_has_arrived() {
    let (address, stop) = start_server(TEST_TIMEOUT, answer_long);
    stop.draining.cancel();
    let mut caller = connect_narrow(address);
    caller.write_all(ONE_REQUEST).expect("written");
    let mut first = [0];
    caller.read_exact(&mut first).expect("the answer begins");
    caller.write_all(ONE_REQUEST).expect("written");
    std::thread::sleep(STALL);
    let (length, read) = read_body_bytes(caller, first.to_vec());
    assert_eq!(length, LONG_ANSWER_BYTES, "{read:?}");
}

/// Guards against a reset after an early refusal: if the refusal's packet is lost, it is never repeated.
#[test]
fn a_refusal_before_the_body_is_read_survives_the_loss_of_a_packet() {
    let (address, stop) = start_server(TEST_TIMEOUT, refuse_unread);
    stop.draining.cancel();
    let mut caller = connect(address);
    lose_data(&caller);
    let written = caller.write_all(&unread_body_request(UNREAD_BODY_BYTES));
    std::thread::sleep(LOSS);
    SockRef::from(&caller).detach_filter().expect("the filter is removed");
    let mut answer = String::new();
    let read = caller.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 404"), "written: {written:?}, read: {read:?}: {answer:?}");
}

/// Makes a caller's system lose the packets that end a server's write; a reset passes.
fn lose_data(caller: &TcpStream) {
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_ANY_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const PUSH_FLAG: u32 = 0x08;
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_ANY_SET, 0, 1, PUSH_FLAG),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(caller).attach_filter(&filter).expect("a filter");
}

/// Guards against a client that fails on the write of its long body instead of reading the early refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_sends_a_long_body_reads_the_early_refusal() {
    let (address, stop) = start_server(TEST_TIMEOUT, refuse_unread);
    stop.draining.cancel();
    let mut unanswered = Vec::new();
    for _ in 0..LONG_BODY_ATTEMPTS {
        let body = Bytes::from(vec![b'a'; LONG_BODY_BYTES]);
        let request = build(Method::POST, address, "/", body).expect("a request");
        let deadline = tokio::time::Instant::now() + TEST_TIMEOUT;
        let client = HttpClient::new(TEST_TIMEOUT);
        match client.send(address, request, deadline).await {
            Ok(response) => assert_eq!(response.status(), StatusCode::NOT_FOUND),
            Err(error) => unanswered.push(error.to_string()),
        }
    }
    assert!(unanswered.is_empty(), "{} of {LONG_BODY_ATTEMPTS}: {unanswered:?}", unanswered.len());
}

/// Guards against dropping the first request of a connection that crosses the shutdown of idle connections.
#[test]
fn a_first_request_that_crosses_the_shutdown_of_its_connection_is_answered() {
    let (address, stop) = start_server(TEST_TIMEOUT, answer_one);
    let callers: Vec<_> = (0..CALLERS).map(|_| connect(address)).collect();
    connect_kept(address);
    begin_close(&stop);
    let answers: Vec<_> = callers.into_iter().map(|caller| send_late(caller, ONE_REQUEST)).collect();
    assert_all_answered(&answers);
}
