//! Orders to replicas to load a version.
//!
//! This is the half that talks to replicas. Which replica loads what is decided in `core::batch::weights`,
//! how many at once in `core::batch::load_limit`. The own interface orders its engines otherwise
//! (`coordinator::weights_shard`): these report by another interface, know no number of orders, and are
//! ordered in waves to one version.
//!
//! An order that got no answer may be carried out later, so that only the replica's report is believed. Every
//! order names the replica, the number of orders taken before it, and the owner's epoch as its fencing token.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use lichenpulley_core::batch::load_limit::LoadTime;
use lichenpulley_core::batch::weights::{Load, LoadEnd};
use lichenpulley_core::identity::Epoch;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_platform::headers;
use lichenpulley_platform::replica::{LoadMode, LoadOrder, ORDER_PATH, REPORT_PATH, ReplicaReport};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::owner::CONFIRMED_FOR;
use crate::boot_clock::{BootClock, BootInstant};
use crate::context::Context;
use crate::http::client::{self, HttpClient};
use crate::metrics::Latency;
use lichenpulley_core::time::whole_millis;

/// A call of a replica without an answer within this time is given up. Shorter takes slow replicas for ones
/// that refused, longer keeps their place among the loads.
const REPLICA_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two readings of a report once a load should be done: loads take about a second, and the limit
/// of loads is found from times known to this (`core::batch::load_limit`). Shorter costs calls to replicas,
/// longer blurs the times of loads.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two readings of a report before that. A load that ends early is seen this late.
const EARLY_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The part of the usual time of a load after which it may be done. Less costs calls.
const POLL_START_FRACTION: f64 = 0.9;
/// An order of which the report shows nothing after this time was lost. Reports lag; shorter repeats orders
/// that were taken, longer blocks the replica.
const ORDER_LOST_TIMEOUT: Duration = Duration::from_millis(450);
/// How often an order that was not taken is given again.
const MAX_ORDER_ATTEMPTS: u32 = 4;
/// A load that is not done within this time is left to the next order. Some times the usual load; longer
/// blocks a replica that lost its order.
const LOAD_WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a load that failed, before the replica can be chosen again. Shorter spends the limit of loads
/// on replicas that refuse.
const FAILURE_DELAY: Duration = Duration::from_millis(300);

/// A load of a replica has ended.
pub(super) struct LoadEnded {
    pub(super) replica: String,
    pub(super) end: LoadEnd,
}

/// Gives orders under one epoch.
pub(super) struct LoadOrders {
    context: Context,
    http: HttpClient,
    epoch: Epoch,
    ends: mpsc::UnboundedSender<LoadEnded>,
    /// How long the last load took, in milliseconds.
    last_load_ms: Arc<AtomicU64>,
}

impl LoadOrders {
    pub(super) fn new(context: Context, epoch: Epoch, ends: mpsc::UnboundedSender<LoadEnded>) -> Self {
        let http = HttpClient::new(context.settings.gateway.connect_timeout);
        Self { context, http, epoch, ends, last_load_ms: Arc::default() }
    }

    /// Begins a load; the order goes out only while the authority confirmed at `confirmed_at` holds.
    pub(super) fn begin(&self, load: Load, confirmed_at: BootInstant) {
        let record = self.context.metadata.replicas.load().records.get(&load.replica).cloned();
        let order = Order {
            http: self.http.clone(),
            holder: self.context.node.to_string(),
            epoch: self.epoch,
            clock: self.context.boot_clock.clone(),
            confirmed_at,
            load,
            last_load_ms: Arc::clone(&self.last_load_ms),
        };
        let ends = self.ends.clone();
        let metrics = self.context.metrics.clone();
        tokio::spawn(async move {
            let began = Instant::now();
            let end = match &record {
                Some(record) => order.run(record).await,
                None => None,
            };
            let outcome = if end.is_some() { "done" } else { "not_taken" };
            metrics.observe(Latency::Order, outcome, began.elapsed());
            if end.is_none() {
                tokio::time::sleep(FAILURE_DELAY).await;
            }
            // An order that was not taken says nothing of the versions: the next report will.
            let ended = LoadEnded { replica: order.load.replica, end: end.unwrap_or_default() };
            // An error only says that the owner has ended.
            let _ = ends.send(ended);
        });
    }
}

/// Whether a replica took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderAcceptance {
    Accepted,
    /// It did not answer, or an earlier order is under way.
    Unknown,
    Rejected,
}

struct Order {
    http: HttpClient,
    holder: String,
    epoch: Epoch,
    clock: BootClock,
    confirmed_at: BootInstant,
    load: Load,
    last_load_ms: Arc<AtomicU64>,
}

impl Order {
    /// Orders, and waits until the replica reports the version. `None` where the order was not taken.
    async fn run(&self, replica: &ReplicaRecord) -> Option<LoadEnd> {
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let before = self.report(replica).await?;
            if self.is_loaded(&before) {
                return Some(LoadEnd { versions: before.versions(), time: None });
            }
            // An order that was given up may have been lost, or is under way after all.
            let may_order = self.clock.since(self.confirmed_at) < CONFIRMED_FOR;
            let acceptance = if before.num_busy {
                OrderAcceptance::Unknown
            } else if may_order {
                self.order(replica, before.seq).await
            } else {
                OrderAcceptance::Rejected
            };
            if acceptance == OrderAcceptance::Rejected {
                return None;
            }
            if let Some(end) = self.wait(replica, before.seq, acceptance).await {
                return Some(end);
            }
        }
        None
    }

    /// Waits until a load is done. `None` where the report shows that no order was taken, or after too long.
    async fn wait(
        &self,
        replica: &ReplicaRecord,
        orders_before: u64,
        acceptance: OrderAcceptance,
    ) -> Option<LoadEnd> {
        let began = Instant::now();
        let mut last_seen_busy = Duration::ZERO;
        let poll_start =
            Duration::from_millis(self.last_load_ms.load(Ordering::Relaxed)).mul_f64(POLL_START_FRACTION);
        while began.elapsed() < LOAD_WAIT_TIMEOUT {
            let until_poll_start = poll_start.saturating_sub(began.elapsed());
            tokio::time::sleep(until_poll_start.clamp(REPORT_INTERVAL, EARLY_REPORT_INTERVAL)).await;
            let asked = began.elapsed();
            let Some(report) = self.report(replica).await else { continue };
            if self.is_loaded(&report) {
                let took = began.elapsed();
                self.last_load_ms.store(whole_millis(took), Ordering::Relaxed);
                let time = LoadTime { at_least: last_seen_busy, at_most: took };
                // When an order began that was not answered is not known.
                let time = (acceptance == OrderAcceptance::Accepted).then_some(time);
                return Some(LoadEnd { versions: report.versions(), time });
            }
            if report.num_busy {
                last_seen_busy = asked;
            }
            // Reports lag: only after a while does an unchanged one show that the order was lost.
            let is_lost = !report.num_busy && report.seq == orders_before;
            if is_lost && began.elapsed() >= ORDER_LOST_TIMEOUT {
                return None;
            }
        }
        None
    }

    fn is_loaded(&self, report: &ReplicaReport) -> bool {
        report.versions().get(&self.load.model).is_some_and(|version| *version >= self.load.version)
    }

    async fn report(&self, replica: &ReplicaRecord) -> Option<ReplicaReport> {
        let request = build(replica, Method::GET, REPORT_PATH, Bytes::new())?;
        let answered = self.http.request_json(replica.address, request, REPLICA_CALL_TIMEOUT).await;
        let report: ReplicaReport = match answered {
            Ok(report) => report,
            Err(error) => {
                ::log::debug!(target: "batch", "Replica {} gave no report: {error}.", replica.id);
                return None;
            }
        };
        // What a later incarnation reports says nothing of this one: its orders are counted anew.
        replica.is_author(report.started_at_ms()).then_some(report)
    }

    /// Gives the order.
    async fn order(&self, replica: &ReplicaRecord, orders_before: u64) -> OrderAcceptance {
        let load = &self.load;
        let mode = LoadMode::Keep;
        let order =
            LoadOrder::new(&load.model, load.version, mode, &self.holder, self.epoch.0, orders_before);
        let body = match serde_json::to_vec(&order) {
            Ok(body) => body,
            Err(error) => {
                ::log::error!(target: "batch", "An order to {} can't be written: {error}.", replica.id);
                return OrderAcceptance::Rejected;
            }
        };
        let Some(request) = build(replica, Method::POST, ORDER_PATH, body.into()) else {
            return OrderAcceptance::Rejected;
        };
        let limit = Instant::now() + REPLICA_CALL_TIMEOUT;
        match self.http.send(replica.address, request, limit).await {
            Ok(answer) => {
                let status = answer.status();
                if status == StatusCode::OK || status == StatusCode::ACCEPTED {
                    return OrderAcceptance::Accepted;
                }
                ::log::info!(target: "batch", "Replica {} refused an order: {status}.", replica.id);
                OrderAcceptance::Rejected
            }
            Err(error) if error.nothing_sent() => OrderAcceptance::Rejected,
            Err(_) => OrderAcceptance::Unknown,
        }
    }
}

/// A call that no other replica answers. `None` where it can't be built, which a log line tells.
fn build(replica: &ReplicaRecord, method: Method, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let mut request = match client::build(method, replica.address, path, body) {
        Ok(request) => request,
        Err(error) => {
            ::log::error!(target: "batch", "A call of replica {} can't be built: {error}.", replica.id);
            return None;
        }
    };
    match replica.name.parse() {
        Ok(name) => _ = request.headers_mut().insert(headers::EXPECT_REPLICA, name),
        // The report names its replica too, so that another's answer is still told apart.
        Err(error) => {
            ::log::debug!(target: "batch", "Replica {} has a name that no header can carry: {error}. Rename it.", replica.id)
        }
    }
    Some(request)
}
