//! Answers that count as framed: one that ends before its body is an error.

mod replica_record;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lichenpulley_daemon::boot_clock::BootClock;
use lichenpulley_daemon::http::response;
use lichenpulley_daemon::ingress::pool::{HttpExchange, ReplicaPool};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use replica_record::replica;

const TIMEOUT: Duration = Duration::from_secs(10);

/// How an answer counts that ends right after its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ends {
    /// No answer at all.
    AsBrokenHead,
    /// It is framed, and reading its body fails.
    AsBrokenBody,
    /// It is framed and whole.
    AsWhole,
    /// It is not framed, and reading its body brings nothing.
    WithConnection,
}

/// Reads an answer that ends after these bytes.
async fn read(answer: String) -> Ends {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        assert!(connection.read(&mut [0; 1_024]).await.expect("a request") > 0);
        connection.write_all(answer.as_bytes()).await.expect("it is taken");
    });
    let pool = ReplicaPool::new(BootClock::default());
    let request = Request::new(Full::new(Bytes::new()));
    let sent = pool.send(&replica(address, "replica"), request, false, TIMEOUT, || true).await;
    let Ok(HttpExchange { response, connection: _connection }) = sent else { return Ends::AsBrokenHead };
    let is_framed = response::is_framed(&response);
    match (is_framed, response.into_body().collect().await) {
        (true, Err(_)) => Ends::AsBrokenBody,
        (true, Ok(_)) => Ends::AsWhole,
        (false, body) => {
            assert!(body.expect("a body").to_bytes().is_empty());
            Ends::WithConnection
        }
    }
}

#[tokio::test]
async fn an_answer_that_ends_right_after_its_head_counts_as_whole_only_if_it_has_no_body() {
    let cases = [
        ("1.1 200 OK", "content-length: 2", Ends::AsBrokenBody),
        ("1.0 200 OK", "content-length: 2", Ends::AsBrokenBody),
        ("1.1 200 OK", "content-length: 2\r\ncontent-length: 2", Ends::AsBrokenBody),
        ("1.1 200 OK", "content-length: 2\r\ncontent-length: 3", Ends::AsBrokenHead),
        ("1.1 200 OK", "content-length: 2x", Ends::AsBrokenHead),
        ("1.1 200 OK", "content-length:", Ends::AsBrokenHead),
        ("1.1 200 OK", "content-length: 0", Ends::AsWhole),
        ("1.1 200 OK", "transfer-encoding: chunked", Ends::AsBrokenBody),
        ("1.1 200 OK", "transfer-encoding: Chunked", Ends::AsBrokenBody),
        ("1.1 200 OK", "transfer-encoding: gzip, chunked", Ends::AsBrokenBody),
        ("1.1 200 OK", "transfer-encoding: gzip\r\ntransfer-encoding: chunked", Ends::AsBrokenBody),
        ("1.1 200 OK", "transfer-encoding: chunked\r\ncontent-length: 2", Ends::AsBrokenBody),
        ("1.1 200 OK", "transfer-encoding: chunked, gzip", Ends::WithConnection),
        ("1.1 200 OK", "transfer-encoding: chunked\r\ntransfer-encoding: gzip", Ends::WithConnection),
        ("1.1 200 OK", "transfer-encoding: identity", Ends::WithConnection),
        ("1.1 200 OK", "transfer-encoding: identity\r\ncontent-length: 2", Ends::WithConnection),
        ("1.0 200 OK", "transfer-encoding: chunked", Ends::AsBrokenHead),
        ("1.1 200 OK", "x: y", Ends::WithConnection),
        ("1.0 200 OK", "x: y", Ends::WithConnection),
        ("1.1 204 No Content", "x: y", Ends::AsWhole),
        ("1.1 200 OK", "a line without a colon", Ends::AsBrokenHead),
        ("1.1 200 OK", "x: y\r\n folded: z", Ends::AsBrokenHead),
    ];
    let mut wrong = Vec::new();
    for (status, fields, expected) in cases {
        let found = read(format!("HTTP/{status}\r\n{fields}\r\n\r\n")).await;
        if found != expected {
            wrong.push((status, fields, expected, found));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
