//! Connections to replicas: a request that may not be sent any more once its connection is there.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use lichenpulley_daemon::ingress::pool::{ReplicaPool, SendError};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_request_that_may_not_be_sent_once_its_connection_is_there_leaves_no_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ReplicaPool::default();
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let timeout = Duration::from_secs(10);
    // Nobody answers: one that is sent all the same would wait without end.
    let sent = tokio::time::timeout(timeout, pool.send(address, request, false, timeout, || false)).await;
    assert_eq!(sent.expect("an end at once").err(), Some(SendError::Withheld));
    let (mut connection, _) = listener.accept().await.expect("a connection");
    let mut bytes = Vec::new();
    connection.read_to_end(&mut bytes).await.expect("its end");
    assert_eq!(bytes, b"");
}
