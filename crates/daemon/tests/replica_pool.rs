//! Tests of the replica connection pool: withheld requests, and idle connections that must not be reused.

mod replica_record;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lichenpulley_daemon::boot_clock::BootClock;
use lichenpulley_daemon::ingress::pool::{ReplicaPool, SendError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use replica_record::replica;

#[tokio::test]
async fn withheld_request_writes_no_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ReplicaPool::new(BootClock::default());
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let timeout = Duration::from_secs(10);
    // Nothing answers, so a request that is sent by mistake runs into the timeout.
    let sent = tokio::time::timeout(
        timeout,
        pool.send(&replica(address, "replica"), request, false, timeout, || false),
    )
    .await;
    assert_eq!(sent.expect("an end at once").err(), Some(SendError::Withheld));
    let (mut connection, _) = listener.accept().await.expect("a connection");
    let mut bytes = Vec::new();
    connection.read_to_end(&mut bytes).await.expect("its end");
    assert_eq!(bytes, b"");
}

/// Answers one request on each of two connections and keeps both open. Returns the number of connections.
async fn answer_two(listener: TcpListener) -> usize {
    let mut open = Vec::new();
    while open.len() < 2 {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let read = connection.read(&mut head).await.expect("a request");
        assert!(read > 0);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=10\r\n\r\n";
        connection.write_all(answer).await.expect("it is read");
        open.push(connection);
    }
    open.len()
}

#[tokio::test]
async fn connection_expired_during_suspend_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answered = tokio::spawn(answer_two(listener));
    let clock = BootClock::default();
    let pool = ReplicaPool::new(clock.clone());
    let timeout = Duration::from_secs(10);
    for _ in 0..2 {
        let request = Request::new(Full::new(Bytes::from_static(b"body")));
        let sent = pool
            .send(&replica(address, "replica"), request, false, timeout, || true)
            .await
            .expect("an answer");
        let (head, body) = sent.response.into_parts();
        body.collect().await.expect("a whole answer");
        pool.give_back(sent.connection, &head.headers);
        clock.skip(Duration::from_secs(12));
    }
    let connections = tokio::time::timeout(timeout, answered).await.expect("in time").expect("no panic");
    assert_eq!(connections, 2);
}

#[tokio::test]
async fn connection_to_earlier_incarnation_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answered = tokio::spawn(answer_two(listener));
    let pool = ReplicaPool::new(BootClock::default());
    let timeout = Duration::from_secs(10);
    for incarnation in ["replica@1", "replica@2"] {
        let request = Request::new(Full::new(Bytes::from_static(b"body")));
        let incarnation = replica(address, incarnation);
        let sent = pool.send(&incarnation, request, false, timeout, || true).await.expect("an answer");
        let (head, body) = sent.response.into_parts();
        body.collect().await.expect("a whole answer");
        pool.give_back(sent.connection, &head.headers);
    }
    let connections = tokio::time::timeout(timeout, answered).await.expect("in time").expect("no panic");
    assert_eq!(connections, 2);
}
