//! Bytes without end from a replica, in each part of an answer: reading stops after a bounded number of them, and the
//! connection is closed.

mod replica_record;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lichenpulley_daemon::boot_clock::BootClock;
use lichenpulley_daemon::ingress::answer_body::{AnswerMemory, BodyError, MAX_PLAIN_ANSWER_BYTES};
use lichenpulley_daemon::ingress::counted_stream::{MAX_HEAD_BYTES, MAX_UNDECLARED_BYTES};
use lichenpulley_daemon::ingress::pool::{HttpExchange, ReplicaPool, SendError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use replica_record::replica;

const TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that the sockets' buffers of both ends may hold beyond those that were read.
const SOCKET_BYTES: u64 = 16 << 20;
/// Bytes that `hyper` reads at most where it has a bound of its own.
const HYPER_BYTES: u64 = 1 << 20;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

async fn read_request(connection: &mut TcpStream) {
    let mut head = [0; 1_024];
    assert!(connection.read(&mut head).await.expect("a request") > 0);
}

/// Sends `piece` until the connection is closed; returns the number of bytes that were taken.
async fn send_without_end(connection: &mut TcpStream, piece: &[u8]) -> u64 {
    let pieces = piece.repeat((64 << 10) / piece.len());
    let mut sent = 0;
    let mut offset = 0;
    while let Ok(written) = connection.write(&pieces[offset..]).await {
        sent += written as u64;
        offset = (offset + written) % pieces.len();
    }
    sent
}

/// Answers the first request with `begin` and then `piece` without end. Returns the number of bytes that were taken.
async fn start(begin: &'static str, piece: &'static str) -> (SocketAddr, JoinHandle<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let sender = async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        read_request(&mut connection).await;
        connection.write_all(begin.as_bytes()).await.expect("the begin is taken");
        send_without_end(&mut connection, piece.as_bytes()).await
    };
    (address, tokio::spawn(sender))
}

async fn send(pool: &ReplicaPool, address: SocketAddr) -> Result<HttpExchange, SendError> {
    let request = Request::new(Full::new(Bytes::new()));
    pool.send(&replica(address, "replica"), request, false, TIMEOUT, || true).await
}

/// Sends a request to such a replica and reads its answer without keeping it. It must fail, and the replica must not be
/// read any more.
async fn assert_bounded(begin: &'static str, piece: &'static str, most_bytes: u64) {
    let (address, sender) = start(begin, piece).await;
    let pool = ReplicaPool::new(BootClock::default());
    let read = async {
        let Ok(HttpExchange { response, connection }) = send(&pool, address).await else { return false };
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        drop(connection);
        true
    };
    let is_complete = tokio::time::timeout(TIMEOUT, read).await.expect("an end of the answer");
    assert!(!is_complete, "{piece:?} was taken for the end of an answer");
    let sent = tokio::time::timeout(TIMEOUT, sender).await.expect("a closed connection").expect("the sender");
    assert!(sent <= most_bytes + SOCKET_BYTES, "{piece:?}: {sent} bytes");
}

#[tokio::test]
async fn a_status_line_without_end_is_read_in_part() {
    assert_bounded("HTTP/1.1 200 ", "x", HYPER_BYTES).await;
}

#[tokio::test]
async fn bytes_that_are_no_answer_are_read_in_part() {
    assert_bounded("", "x", HYPER_BYTES).await;
}

#[tokio::test]
async fn blank_lines_before_an_answer_are_read_in_part() {
    assert_bounded("", "\r\n", MAX_HEAD_BYTES).await;
}

#[tokio::test]
async fn a_header_without_end_is_read_in_part() {
    assert_bounded("HTTP/1.1 200 OK\r\nname: ", "x", HYPER_BYTES).await;
}

#[tokio::test]
async fn headers_without_end_are_read_in_part() {
    assert_bounded("HTTP/1.1 200 OK\r\n", "a: b\r\n", HYPER_BYTES).await;
}

#[tokio::test]
async fn interim_responses_without_end_are_read_in_part() {
    assert_bounded("", "HTTP/1.1 100 Continue\r\n\r\n", MAX_HEAD_BYTES).await;
}

#[tokio::test]
async fn a_chunk_size_of_zeros_without_end_is_read_in_part() {
    assert_bounded(CHUNKED, "0", MAX_HEAD_BYTES + MAX_UNDECLARED_BYTES).await;
}

#[tokio::test]
async fn blanks_without_end_after_a_chunk_size_are_read_in_part() {
    assert_bounded(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5",
        " ",
        MAX_HEAD_BYTES + MAX_UNDECLARED_BYTES,
    )
    .await;
}

#[tokio::test]
async fn a_chunk_extension_without_end_is_read_in_part() {
    assert_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "x", HYPER_BYTES).await;
}

#[tokio::test]
async fn trailers_without_end_are_read_in_part() {
    assert_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", HYPER_BYTES)
        .await;
}

#[tokio::test]
async fn a_body_without_a_length_and_without_end_is_read_in_part() {
    assert_bounded("HTTP/1.1 200 OK\r\n\r\n", "x", MAX_HEAD_BYTES + MAX_UNDECLARED_BYTES).await;
}

#[tokio::test]
async fn chunks_without_end_are_read_in_part() {
    assert_bounded(CHUNKED, "1\r\nx\r\n", MAX_HEAD_BYTES + MAX_UNDECLARED_BYTES).await;
}

/// The bytes belong to no request: the next one goes over another connection.
#[tokio::test]
async fn bytes_without_end_after_a_whole_answer_close_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=10\r\n\r\nok";
    let server = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first).await;
        first.write_all(answer).await.expect("it is taken");
        let sent = send_without_end(&mut first, b"x").await;
        let (mut second, _) = listener.accept().await.expect("another connection");
        read_request(&mut second).await;
        second.write_all(answer).await.expect("it is taken");
        sent
    });
    let pool = ReplicaPool::new(BootClock::default());
    let HttpExchange { response, connection } = send(&pool, address).await.expect("an answer");
    let (head, body) = response.into_parts();
    assert_eq!(body.collect().await.expect("a body").to_bytes(), "ok");
    pool.give_back(connection, &head.headers);
    let second = async {
        // The surplus may still be on its way when the connection is used again.
        loop {
            if let Ok(exchange) = send(&pool, address).await {
                return exchange;
            }
        }
    };
    let second = tokio::time::timeout(TIMEOUT, second).await.expect("an answer in time");
    assert_eq!(second.response.into_body().collect().await.expect("a body").to_bytes(), "ok");
    let sent = server.await.expect("the server");
    assert!(sent <= HYPER_BYTES + SOCKET_BYTES, "{sent} bytes");
}

/// Answers one request with a body of this length, in pieces.
async fn start_with_body(length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        read_request(&mut connection).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        // Fails where the reader closes the connection.
        let _ = connection.write_all(head.as_bytes()).await;
        let _ = connection.write_all(&vec![b'x'; length]).await;
        let _ = connection.read(&mut [0; 1]).await;
    });
    address
}

async fn read_plain(memory: &AnswerMemory, length: usize) -> Result<Bytes, BodyError> {
    let address = start_with_body(length).await;
    let pool = ReplicaPool::new(BootClock::default());
    let exchange = send(&pool, address).await.expect("a head");
    memory.read(exchange.response.into_body()).await
}

/// Long answers of a few faulty replicas took the memory of the whole process.
#[tokio::test]
async fn long_answers_are_read_only_while_there_is_memory_for_them_and_usual_ones_always() {
    let memory = AnswerMemory::for_machine(8 * MAX_PLAIN_ANSWER_BYTES as u64);
    let longest = read_plain(&memory, MAX_PLAIN_ANSWER_BYTES).await;
    assert_eq!(longest.expect("the longest answer").len(), MAX_PLAIN_ANSWER_BYTES);
    assert!(matches!(read_plain(&memory, MAX_PLAIN_ANSWER_BYTES + 1).await, Err(BodyError::TooLong { .. })));
    // Freed after each of them.
    let longest = read_plain(&memory, MAX_PLAIN_ANSWER_BYTES).await;
    assert_eq!(longest.expect("the longest answer").len(), MAX_PLAIN_ANSWER_BYTES);
    let small = AnswerMemory::for_machine(8 << 20);
    assert!(matches!(read_plain(&small, 2 << 20).await, Err(BodyError::NoMemory)));
    assert_eq!(read_plain(&small, 1 << 20).await.expect("an answer").len(), 1 << 20);
    assert_eq!(read_plain(&AnswerMemory::for_machine(0), 64 << 10).await.expect("an answer").len(), 64 << 10);
}
