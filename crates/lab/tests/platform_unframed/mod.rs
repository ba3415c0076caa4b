//! Streams and items of replicas whose answers have no length and end with their connection, also where the replica crashes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::platform_system::plan::add_stream_without_resumption;
use crate::platform_system::{PATIENCE, System, configuration};
use crate::whole_text;

/// Pieces of each stream.
const PIECES: u64 = 6;
/// Slots of each replica.
const SLOTS: u32 = 4;

/// How a replica ends the first stream that it begins, after half of the pieces.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FirstEnd {
    /// After all pieces.
    Whole,
    /// The connection is closed, as that of a killed process.
    Closed,
    /// The connection is reset.
    Reset,
    /// The connection is closed, and the replica that resumes the stream ends before its first event.
    ClosedTwice,
}

/// What the replicas of a system have in common.
struct Shared {
    first_end: FirstEnd,
    /// The event after which each stream began.
    begins: Mutex<Vec<Option<u64>>>,
}

/// Reads a request with its body; `None` at the end of the connection.
async fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().expect("a length")) {
                return Some(head.to_owned());
            }
        }
        if connection.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Answers one request of a connection, which ends it.
async fn answer(shared: &Shared, ended: &CancellationToken, mut connection: TcpStream) -> Option<()> {
    let head = read_request(&mut connection).await?;
    if !head.starts_with("post /stream/") && !head.starts_with("post /chat/") {
        connection
            .write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            .await
            .ok()?;
        return None;
    }
    let last: Option<u64> = field(&head, "last-event-id").and_then(|last| last.parse().ok());
    let begun = {
        let mut begins = shared.begins.lock().expect("no panic");
        begins.push(last);
        begins.len()
    };
    let id = field(&head, "attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal\r\nweight-versions: 1\r\ncontent-type: text/event-stream\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.ok()?;
    if begun == 2 && shared.first_end == FirstEnd::ClosedTwice {
        ended.cancel();
        // The port is closed before the connection.
        tokio::time::sleep(Duration::from_millis(100)).await;
        return None;
    }
    let ends_early = begun == 1 && shared.first_end != FirstEnd::Whole;
    let end = if ends_early { PIECES / 2 } else { PIECES };
    for number in last.map_or(0, |last| last + 1)..end {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        connection.write_all(event.as_bytes()).await.ok()?;
    }
    if ends_early && shared.first_end == FirstEnd::Reset {
        // Closing with no time to linger resets the connection; the events have arrived by then.
        tokio::time::sleep(Duration::from_millis(100)).await;
        connection.set_zero_linger().ok()?;
    }
    Some(())
}

async fn start_replica(shared: Arc<Shared>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let ended = CancellationToken::new();
        while let Some(Ok((connection, _))) = ended.run_until_cancelled(listener.accept()).await {
            let (shared, ended) = (Arc::clone(&shared), ended.clone());
            tokio::spawn(async move { answer(&shared, &ended, connection).await });
        }
    });
    address
}

/// A system with replicas whose answers have no length.
async fn start(replicas: usize, first_end: FirstEnd) -> (System, Arc<Shared>) {
    let system = System::start(0, PIECES).await;
    let mut document = configuration(2);
    document["routes"][2]["max_attempts"] = json!(4);
    add_stream_without_resumption(&mut document);
    let shared = Arc::new(Shared { first_end, begins: Mutex::default() });
    let mut addresses = Vec::new();
    for _ in 0..replicas {
        addresses.push(start_replica(Arc::clone(&shared)).await);
    }
    system.serve_from(document, &addresses, SLOTS).await;
    (system, shared)
}

/// Reads a stream; returns the numbers of its pieces and whether it ended as complete.
async fn read(system: &System, path: &str, fields: &[(&'static str, &str)]) -> (Vec<u64>, bool) {
    let request = system.request(0, Method::POST, path, fields, Bytes::from("x"));
    let response = system.http.send(system.gateway(0), request, Instant::now() + PATIENCE).await;
    let mut response = response.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    let mut text = Vec::new();
    let is_complete = loop {
        match response.body_mut().frame().await {
            Some(Ok(frame)) => text.extend_from_slice(frame.data_ref().expect("data")),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let text = String::from_utf8(text).expect("text");
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    (numbers.collect(), is_complete)
}

fn all() -> Vec<u64> {
    (0..PIECES).collect()
}

#[tokio::test]
async fn a_resumable_stream_without_a_length_whose_replica_crashes_is_not_ended_as_complete_before_its_last_piece()
 {
    for first_end in [FirstEnd::Closed, FirstEnd::Reset] {
        let (system, shared) = start(3, first_end).await;
        assert_eq!(read(&system, "/stream/x", &[("attempt-id", "s-1")]).await, (all(), true));
        let begins = shared.begins.lock().expect("no panic").clone();
        // The last one brings nothing, which tells that the one before was whole.
        assert_eq!(begins, [None, Some(PIECES / 2 - 1), Some(PIECES - 1)]);
    }
}

#[tokio::test]
async fn a_stream_without_a_length_is_not_ended_as_complete_when_the_replica_that_resumes_it_crashes_too() {
    let (system, shared) = start(4, FirstEnd::ClosedTwice).await;
    assert_eq!(read(&system, "/stream/x", &[("attempt-id", "s-1")]).await, (all(), true));
    let half = Some(PIECES / 2 - 1);
    assert_eq!(*shared.begins.lock().expect("no panic"), [None, half, half, Some(PIECES - 1)]);
}

#[tokio::test]
async fn a_whole_resumable_stream_without_a_length_ends_as_complete() {
    let (system, shared) = start(2, FirstEnd::Whole).await;
    assert_eq!(read(&system, "/stream/x", &[("attempt-id", "s-1")]).await, (all(), true));
    assert_eq!(*shared.begins.lock().expect("no panic"), [None, Some(PIECES - 1)]);
}

#[tokio::test]
async fn a_stream_without_a_length_that_no_other_replica_can_confirm_ends_when_its_caller_resumes_it() {
    let (system, _) = start(1, FirstEnd::Closed).await;
    let mut pieces: Vec<u64> = Vec::new();
    let resumed = async {
        loop {
            let last = pieces.last().map(u64::to_string);
            let id = [("attempt-id", "s-1")];
            let last = last.as_deref().map(|last| ("last-event-id", last));
            let fields: Vec<_> = id.into_iter().chain(last).collect();
            let (brought, is_complete) = read(&system, "/stream/x", &fields).await;
            assert!(
                !is_complete || pieces == all(),
                "nothing tells that {brought:?} after {pieces:?} is all"
            );
            if is_complete {
                return brought;
            }
            pieces.extend(brought);
        }
    };
    let brought = tokio::time::timeout(PATIENCE, resumed).await.expect("it ends in time");
    assert_eq!((pieces, brought), (all(), Vec::new()));
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_ends_as_complete_at_a_close_and_breaks_at_a_reset() {
    let (system, _) = start(2, FirstEnd::Whole).await;
    assert_eq!(read(&system, "/chat/x", &[("attempt-id", "s-1")]).await, (all(), true));
    let (system, _) = start(2, FirstEnd::Reset).await;
    assert!(!read(&system, "/chat/x", &[("attempt-id", "s-1")]).await.1);
}

/// An item was run again and again until it was given up.
#[tokio::test]
async fn an_item_whose_answers_have_no_length_is_complete_with_its_whole_text() {
    let half = Some(PIECES / 2 - 1);
    let cases = [
        (1, FirstEnd::Whole, vec![None, Some(PIECES - 1)]),
        (3, FirstEnd::Closed, vec![None, half, Some(PIECES - 1)]),
        (3, FirstEnd::Reset, vec![None, half, Some(PIECES - 1)]),
        (3, FirstEnd::ClosedTwice, vec![None, half, half, Some(PIECES - 1)]),
    ];
    for (replicas, first_end, begins) in cases {
        let (system, shared) = start(replicas, first_end).await;
        system.submit(0, "job", 1, 1).await;
        let results = system.results(0, "job").await;
        assert_eq!(
            (&results[0]["state"], &results[0]["text"]),
            (&json!("complete"), &json!(whole_text(PIECES)))
        );
        assert_eq!(*shared.begins.lock().expect("no panic"), begins);
    }
}
