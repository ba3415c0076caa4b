//! Callers that do not read their answers, at a gateway with little memory.

use std::time::Duration;

use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::platform_slow::runs;
use crate::platform_system::{PATIENCE, System, SystemPlan, until};

/// The gateway keeps a quarter of this for callers, which is less than two of the answers.
const MEMORY_BYTES: usize = 6_000_000;
const ANSWER_BYTES: usize = 900_000;
const NARROW_BUFFER_BYTES: u32 = 16 << 10;

/// Asks for the body of an item and reads nothing.
async fn ask_without_reading(system: &System) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(NARROW_BUFFER_BYTES).expect("a small buffer");
    let mut stream = socket.connect(system.gateway(0)).await.expect("a connection");
    let request =
        "GET /-/items/long?id=long-0 HTTP/1.1\r\nhost: Shop.Example:80\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("written");
    stream
}

async fn read_rest(mut stream: TcpStream) -> Option<usize> {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.expect("an end");
    read.ok()
}

async fn post(system: &System, path: &str, id: &str) -> crate::platform_system::Answer {
    system.call(0, Method::POST, path, &[("attempt-id", id)], "x").await
}

/// Fails if answers that are not read may take more than a quarter of the machine's memory, or if a request that is
/// refused for it has run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateway_refuses_new_answers_and_aborts_callers_that_do_not_read() {
    let plan = SystemPlan { memory_bytes: Some(MEMORY_BYTES), ..SystemPlan::default() };
    let system = System::with_plan(plan, 1, 3).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.submit_long(0, "long", ANSWER_BYTES / 3 * 4).await;
    assert_eq!(post(&system, "/stream/x", "before").await.status, StatusCode::OK);

    let stopped = [ask_without_reading(&system).await, ask_without_reading(&system).await];
    let gateway = system.gateways[0].as_ref().expect("a gateway").context();
    let shows = |line: &str| gateway.metrics.encode().expect("metrics").contains(line);
    until(|| !shows("lichenpulley_unread_answer_bytes 0\n")).await;
    let refused = async {
        loop {
            let answer = post(&system, "/stream/x", "refused").await;
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                return answer;
            }
        }
    };
    // The two answers may have been asked for one after the other.
    let answer = tokio::time::timeout(Duration::from_secs(4), refused).await.expect("a refusal");
    assert_eq!(answer.json()["kind"], "unread_answers");
    assert!(answer.headers.contains_key("retry-after"));
    let runs_before = runs(&system, "refused");
    assert_eq!(post(&system, "/stream/x", "refused").await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(runs(&system, "refused"), runs_before, "what is refused does not run");
    let page = system.call(0, Method::GET, "/-/lots/long", &[], "").await;
    assert_eq!(
        (page.status, &page.json()["kind"]),
        (StatusCode::SERVICE_UNAVAILABLE, &"unread_answers".into())
    );
    assert_eq!(post(&system, "/read/x", "plain").await.status, StatusCode::OK);

    let aborted = "action=\"connection_aborted\",component=\"request\",reason=\"unread_answers\"} 1\n";
    until(|| shows(aborted)).await;
    assert_eq!(post(&system, "/stream/x", "after").await.status, StatusCode::OK);
    let mut complete = 0;
    for stream in stopped {
        complete += usize::from(read_rest(stream).await.is_some_and(|length| length > ANSWER_BYTES));
    }
    assert_eq!(complete, 1, "only as many connections are aborted as needed");
}
