//! Connections to replicas: a request that may not be sent any more once its connection is there, and those that rested for long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_daemon::boot_clock::BootClock;
use lichenpulley_daemon::ingress::pool::{ReplicaPool, SendError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn replica(address: SocketAddr, life: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: life.to_owned(),
        name: "replica".to_owned(),
        service: "engines".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: 4,
        is_draining: false,
        models: BTreeMap::new(),
        cold_left: Duration::ZERO,
    }
}

#[tokio::test]
async fn a_request_that_may_not_be_sent_once_its_connection_is_there_leaves_no_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ReplicaPool::new(BootClock::default());
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let timeout = Duration::from_secs(10);
    // Nobody answers: one that is sent all the same would wait without end.
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

/// Answers one request on each of two connections, and keeps them open.
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
async fn a_connection_that_rested_while_the_machine_was_suspended_is_not_used_again() {
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
async fn a_connection_to_an_earlier_life_of_a_replica_is_not_used_for_its_next() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answered = tokio::spawn(answer_two(listener));
    let pool = ReplicaPool::new(BootClock::default());
    let timeout = Duration::from_secs(10);
    for life in ["replica@1", "replica@2"] {
        let request = Request::new(Full::new(Bytes::from_static(b"body")));
        let life = replica(address, life);
        let sent = pool.send(&life, request, false, timeout, || true).await.expect("an answer");
        let (head, body) = sent.response.into_parts();
        body.collect().await.expect("a whole answer");
        pool.give_back(sent.connection, &head.headers);
    }
    let connections = tokio::time::timeout(timeout, answered).await.expect("in time").expect("no panic");
    assert_eq!(connections, 2);
}
