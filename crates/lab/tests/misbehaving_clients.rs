//! Callers that send too much, too slowly or without end must not take a process's memory or descriptors, nor keep
//! ordinary callers out. Each test starts processes with the memory of the smallest machine.

mod clients;
mod processes;

use std::sync::Arc;

use tokio::sync::{Mutex, MutexGuard};

use clients::crowd::{Crowd, Upload};
use clients::edge::{BODY_LIMIT_BYTES, Edge, head};

/// Callers of a crowd. Their bodies are twice what the machine holds.
const CROWD: usize = 24;
/// Tests that measure memory run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

fn body(bytes: usize) -> Arc<Vec<u8>> {
    Arc::new(vec![b'a'; bytes])
}

/// Has a crowd upload, and checks the gateway while the crowd stays and after it has left.
async fn bear(edge: &mut Edge, uploads: Vec<Upload>) {
    let crowd = Crowd::start(edge.callers(), uploads);
    crowd.settled().await;
    edge.assert_bears("while the crowd stays").await;
    drop(crowd);
    edge.assert_bears("after the crowd has left").await;
}

async fn bear_crowd(upload: impl Fn() -> Upload) {
    let _turn = turn().await;
    let mut edge = Edge::start().await;
    bear(&mut edge, (0..CROWD).map(|_| upload()).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_over_the_limit_stay_within_the_machine() {
    let body = body(BODY_LIMIT_BYTES * 3 / 2);
    bear_crowd(|| Upload::announced(&head("/read/x"), &body, 1)).await;
}
