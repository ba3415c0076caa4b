//! Jobs that went on although they had been ended: items and score requests reached replicas for as long as the job was open.
//!
//! The gateway that read the end had asked for the owner while the ownership moved, and forgot the end when its caller closed the
//! connection, or after 1.5 s without an owner. The successor's log had the job open, and nobody told it. In 12 soaks of the real
//! processes 667 ends were read and 638 kept; the log of each of the 12 jobs that went on reads `end_read`, then `end_unanswered
//! caller_left` or `end_answered no_owner`, and no node has `batch_ended`.

use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::decision::Decision;
use lichenpulley_daemon::node::Node;
use lichenpulley_protocol::operator::DecisionEvent;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::broadcast::Receiver;

use crate::platform_system::{PATIENCE, System};

/// Events of streams that last longer than any test.
const ENDLESS: u64 = 1_000_000;

/// Sends the end of a job, and closes the connection once a gateway has read it.
async fn end_and_leave(system: &System, gateway: usize, batch: &str) {
    let mut decisions = watch(system, gateway);
    let mut caller = TcpStream::connect(system.gateway(gateway)).await.expect("a connection");
    let head = format!("DELETE /-/lots/{batch} HTTP/1.1\r\nhost: shop.example\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("a request");
    wait_for(&mut decisions, "end_read", batch).await;
}

fn watch(system: &System, gateway: usize) -> Receiver<DecisionEvent> {
    system.gateways[gateway].as_ref().expect("a gateway").context().decisions.watch()
}

async fn wait_for(decisions: &mut Receiver<DecisionEvent>, action: &str, subject: &str) -> Decision {
    let found = async {
        loop {
            let decision = decisions.recv().await.expect("a decision").decision;
            if decision.action == action && decision.subject == subject {
                return decision;
            }
        }
    };
    tokio::time::timeout(PATIENCE, found).await.expect("the decision in time")
}

async fn kill(node: Option<Node>) {
    let node = node.expect("a living node");
    node.kill();
    node.stopped().await;
}

#[tokio::test]
async fn an_end_that_was_read_while_the_owner_was_lost_ends_the_job_at_its_successor() {
    let mut system = System::start(2, ENDLESS).await;
    system.call_until(StatusCode::OK, 0, "/read/warm").await;
    system.submit(0, "job", 4, 1).await;
    let owner = system.owner();
    let other = 1 - owner;
    kill(system.gateways[owner].take()).await;
    let mut decisions = watch(&system, other);
    end_and_leave(&system, other, "job").await;
    wait_for(&mut decisions, "end_kept", "job").await;
    // Whoever runs an item now would show it: the replicas are idle.
    let runs = |system: &System| system.replicas.iter().map(|replica| replica.seen().len()).sum::<usize>();
    let before = runs(&system);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs(&system), before);
}
