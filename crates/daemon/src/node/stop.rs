//! The planned stop of a node, which completes all requests in flight.
//!
//! 1. New work is refused as not run, and readiness checks fail, so that load balancers route to other nodes.
//! 2. The node leaves the membership, so that other nodes take over its shards.
//! 3. After the notice, the callers' port closes; responses in progress are completed, without a time limit.
//! 4. The node reports its remaining usage counts.
//! 5. The operators' and peers' ports close, and background tasks end.

use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::http::server::ServerStop;
use crate::membership;

/// Timeout of the last usage report; long enough for another node to take over the duty
/// from a failed holder, which takes more than a second.
const USAGE_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Stop signals of the servers.
pub(super) struct StopSignals {
    pub(super) callers: ServerStop,
    pub(super) operators: ServerStop,
    pub(super) peers: CancellationToken,
}

/// The running servers and their stop signals.
pub(super) struct Servers {
    pub(super) callers: JoinHandle<()>,
    pub(super) operators: JoinHandle<()>,
    pub(super) peers: JoinHandle<()>,
    pub(super) stop: StopSignals,
}

impl StopSignals {
    pub(super) fn new(context: &Context) -> Self {
        let server = || ServerStop { draining: context.draining.clone(), closing: CancellationToken::new() };
        Self { callers: server(), operators: server(), peers: CancellationToken::new() }
    }
}

/// Waits until a planned stop begins, then performs it.
pub(super) async fn run_planned_stop(context: &Context, servers: Servers) {
    context.draining.cancelled().await;
    let notice = context.settings.stop.notice;
    log::info!(target: "node", "{} is stopping: refusing new work, finishing requests in flight.", context.node);
    record(context, "stop_begun", "planned_stop", &format!("{} ms", notice.as_millis()));

    tokio::join!(membership::leave(context), tokio::time::sleep(notice));

    let Servers { callers, operators, peers, stop } = servers;
    stop.callers.closing.cancel();
    join_server("callers", callers).await;
    context.usage.wait_until_reported(USAGE_HAND_OVER_TIMEOUT).await;
    record(context, "stop_finished", "nothing_in_flight", &format!("{} ms", notice.as_millis()));

    context.stopped.cancel();
    stop.operators.closing.cancel();
    stop.peers.cancel();
    join_server("peers", peers).await;
    // Decision streams stay open until `stopped` is cancelled, which happened above.
    join_server("operators", operators).await;
    log::info!(target: "node", "{} has stopped.", context.node);
}

fn record(context: &Context, action: &str, reason: &str, notice: &str) {
    let decision = Decision::new(Component::Drain, action, reason, &context.node).with("notice", notice);
    context.decisions.record(decision);
}

async fn join_server(name: &str, server: JoinHandle<()>) {
    if let Err(error) = server.await {
        log::error!(target: "node", "The server for {name} failed: {error}.");
    }
}
