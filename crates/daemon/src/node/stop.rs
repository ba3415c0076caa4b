//! The planned stop of a node (promise P8): no request in flight is cut off.
//!
//! 1. New work is refused as not run; readiness fails, so load balancers look elsewhere.
//! 2. The node leaves membership, so that its shards get other owners.
//! 3. After the notice the callers' port closes; answers that had begun are finished, however long they take.
//! 4. What this node counted of usage is handed over.
//! 5. The operators' and peers' ports close, and background work ends.

use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::http::server::ServerStop;
use crate::membership;

/// How long a node that stops tries to hand over what it counted of usage: a takeover after a second of silence
/// fits, and the rest of the time that a platform gives a stop is left.
const USAGE_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How each server is told to stop.
pub(super) struct StopSignals {
    pub(super) callers: ServerStop,
    pub(super) operators: ServerStop,
    pub(super) peers: CancellationToken,
}

/// Servers that run.
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

/// Waits until a planned stop begins, then stops in order.
pub(super) async fn on_notice(context: &Context, servers: Servers) {
    context.draining.cancelled().await;
    let notice = context.settings.stop.notice;
    log::info!(target: "node", "{} stops: new work is refused, what runs is finished.", context.node);
    record(context, "stop_begun", "planned_stop", &format!("{} ms", notice.as_millis()));

    tokio::join!(membership::leave(context), tokio::time::sleep(notice));

    let Servers { callers, operators, peers, stop } = servers;
    stop.callers.closing.cancel();
    join("callers", callers).await;
    context.usage.wait_until_reported(USAGE_HAND_OVER_TIMEOUT).await;
    record(context, "stop_finished", "nothing_in_flight", &format!("{} ms", notice.as_millis()));

    context.stopped.cancel();
    stop.operators.closing.cancel();
    stop.peers.cancel();
    join("peers", peers).await;
    // Watchers hold their streams open until `stopped`, which has been cancelled.
    join("operators", operators).await;
    log::info!(target: "node", "{} has stopped.", context.node);
}

fn record(context: &Context, action: &str, reason: &str, notice: &str) {
    let decision = Decision::new(Component::Drain, action, reason, &context.node).with("notice", notice);
    context.decisions.record(decision);
}

async fn join(name: &str, server: JoinHandle<()>) {
    if let Err(error) = server.await {
        log::error!(target: "node", "The server for {name} ended badly: {error}.");
    }
}
