//! The HTTP parts over real sockets: what a client may say about a failed call, and events.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
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

const PATIENCE: Duration = Duration::from_secs(20);
const BODY_LIMIT_BYTES: usize = 64;

fn client() -> HttpClient {
    HttpClient::new(Duration::from_secs(5))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn echo(request: Request<Incoming>) -> Response<Body> {
    match read_json::<Vec<u32>>(request, BODY_LIMIT_BYTES).await {
        Ok(numbers) => response::json(StatusCode::OK, &numbers),
        Err(bad) => bad.into(),
    }
}

async fn start_echo() -> (SocketAddr, ServerStop) {
    let (listener, address) = listen().await;
    let stop = ServerStop::default();
    tokio::spawn(serve(listener, stop.clone(), echo));
    (address, stop)
}

/// A server that reads the head of one request, writes `answer`, and closes.
async fn start_raw(answer: &'static [u8]) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(answer).await.expect("written");
    });
    address
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a byte of the head"));
    }
}

#[tokio::test]
async fn json_goes_there_and_back() {
    let (address, _stop) = start_echo().await;
    let answer: Vec<u32> = client().post_json(address, "/", &[1, 2, 3], PATIENCE).await.expect("an answer");
    assert_eq!(answer, [1, 2, 3]);
}

#[tokio::test]
async fn a_wrong_body_is_refused_with_a_typed_error() {
    let (address, _stop) = start_echo().await;
    let asked: Result<Vec<u32>, _> = client().post_json(address, "/", &"text", PATIENCE).await;
    let error = asked.expect_err("a wrong body");
    assert_eq!(error.status(), Some(StatusCode::BAD_REQUEST));
    assert_eq!(error.body::<ErrorBody>().expect("a typed error").kind, "bad_body");
    let long = vec![7_u32; BODY_LIMIT_BYTES];
    let asked: Result<Vec<u32>, _> = client().post_json(address, "/", &long, PATIENCE).await;
    assert_eq!(asked.expect_err("a long body").status(), Some(StatusCode::PAYLOAD_TOO_LARGE));
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let (listener, address) = listen().await;
    drop(listener);
    let asked: Result<u32, ClientError> = client().get_json(address, "/", PATIENCE).await;
    assert!(asked.expect_err("nobody listens").nothing_sent());
}

#[tokio::test]
async fn a_connection_closed_after_the_request_proves_nothing() {
    let address = start_raw(b"").await;
    let asked: Result<u32, ClientError> = client().get_json(address, "/", PATIENCE).await;
    let error = asked.expect_err("no answer");
    assert!(matches!(error, ClientError::NoAnswer { .. }), "{error}");
}

#[tokio::test]
async fn a_deadline_after_the_request_proves_nothing() {
    let (listener, address) = listen().await;
    let asked: Result<u32, ClientError> = client().get_json(address, "/", Duration::from_millis(50)).await;
    let error = asked.expect_err("no answer");
    assert!(matches!(error, ClientError::NoAnswer { .. }), "{error}");
    drop(listener);
}

/// The case that is easily got wrong: the server closes a kept connection just as it is used again. Whether the
/// request had been written can't be known, so an error must not claim that nothing was sent unless the server
/// never saw it.
#[tokio::test]
async fn a_kept_connection_that_closes_is_never_called_unsent_after_bytes_arrived() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1").await.expect("written");
        // The second request arrives whole, and the connection closes without an answer.
        read_head(&mut stream).await;
        drop(stream);
        // A retry by the client would arrive here.
        tokio::time::timeout(Duration::from_millis(200), listener.accept()).await.is_ok()
    });
    let client = client();
    let first: u32 = client.get_json(address, "/", PATIENCE).await.expect("an answer");
    assert_eq!(first, 1);
    let second: Result<u32, ClientError> = client.get_json(address, "/", PATIENCE).await;
    let error = second.expect_err("no answer");
    assert!(matches!(error, ClientError::NoAnswer { .. }), "{error}");
    assert!(!server.await.expect("the server ends"), "the request was sent a second time");
}

#[tokio::test]
async fn events_end_well_or_are_told_as_broken() {
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
    let mut events = client().get_events(address, "/", PATIENCE).await.expect("a stream");
    for number in 0..100_u32 {
        let event = events.next().await.expect("a whole stream").expect("an event");
        assert_eq!(event.json::<u32>().expect("a number"), number);
    }
    let last = events.next().await.expect("a whole stream").expect("an event");
    assert_eq!(last.name.as_deref(), Some("last"));
    assert!(events.next().await.expect("a whole stream").is_none());
}

#[tokio::test]
async fn a_stream_that_breaks_off_is_never_taken_as_ended() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n";
    let address = start_raw(head).await;
    let mut events = client().get_events(address, "/", PATIENCE).await.expect("a stream");
    assert!(events.next().await.expect("the first event").is_some());
    let error = events.next().await.expect_err("the stream broke off");
    assert!(matches!(error, EventStreamError::Broken(_)), "{error}");
}

/// As when the task that produces an answer panics, or the node dies under it.
#[tokio::test]
async fn a_sender_that_is_dropped_before_the_end_breaks_the_stream_off() {
    let (listener, address) = listen().await;
    let answer = |_: Request<Incoming>| async {
        let (sender, response) = event_stream(4);
        tokio::spawn(async move { sender.send(&1).await.expect("the reader is there") });
        response
    };
    tokio::spawn(serve(listener, ServerStop::default(), answer));
    let mut events = client().get_events(address, "/", PATIENCE).await.expect("a stream");
    // The server may give up the connection before it has written the event.
    let error = loop {
        match events.next().await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("a part was taken for the whole"),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, EventStreamError::Broken(_)), "{error}");
}

#[tokio::test]
async fn a_closing_server_finishes_the_stream_it_has_begun() {
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
    let mut events = client().get_events(address, "/", PATIENCE).await.expect("a stream");
    assert!(events.next().await.expect("the first event").is_some());
    stop.draining.cancel();
    stop.closing.cancel();
    let refused = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, refused).await.expect("the port closes");
    assert!(!server.is_finished(), "the server left before its stream was finished");
    release.send_replace(true);
    assert_eq!(events.next().await.expect("whole").expect("an event").json::<u32>().expect("a number"), 2);
    assert!(events.next().await.expect("whole").is_none());
    tokio::time::timeout(PATIENCE, server).await.expect("the server ends").expect("without a panic");
}

/// Connections that the system has accepted and the server has not: their requests are on the way when it closes.
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
        let read = tokio::time::timeout(PATIENCE, caller.read_to_string(&mut answer)).await;
        read.expect("the connection ends").expect("the answer is whole");
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
    tokio::time::timeout(PATIENCE, server).await.expect("the server ends").expect("without a panic");
}

/// A kept connection on which a request arrives just after the port has closed.
#[tokio::test]
async fn a_request_on_a_kept_connection_of_a_closing_port_is_answered() {
    let (address, stop) = start_echo().await;
    let client = client();
    let first: Vec<u32> = client.post_json(address, "/", &[1], PATIENCE).await.expect("an answer");
    stop.draining.cancel();
    stop.closing.cancel();
    let closed = async { while TcpStream::connect(address).await.is_ok() {} };
    tokio::time::timeout(PATIENCE, closed).await.expect("the port closes");
    let second: Vec<u32> = client.post_json(address, "/", &[2], PATIENCE).await.expect("an answer");
    assert_eq!((first, second), (vec![1], vec![2]));
}

/// A server whose one stream never ends and whose reader never reads; gives the server and the reader.
async fn start_stuck(stall_timeout: Duration) -> (tokio::task::JoinHandle<()>, TcpStream) {
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

/// A caller that stopped reading must not hold up a planned stop; with the limit far away, it does.
#[tokio::test]
async fn a_reader_that_stopped_reading_is_given_up() {
    let (endless, _other_reader) = start_stuck(Duration::from_secs(3_600)).await;
    let (limited, _reader) = start_stuck(Duration::from_secs(1)).await;
    tokio::time::timeout(PATIENCE, limited).await.expect("the server ends").expect("without a panic");
    assert!(!endless.is_finished(), "the limit is not what ended the stream");
    endless.abort();
}

proptest! {
    #[test]
    fn any_text_survives_percent_encoding(text in ".*") {
        prop_assert_eq!(percent_decode(&percent_encode(&text)), text);
    }
}
