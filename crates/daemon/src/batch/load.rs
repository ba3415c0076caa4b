//! Load orders: asks replicas to load a weight version and waits until they report it.
//!
//! `core::batch::weights` decides which replica loads which version, `core::batch::load_limit` how many load
//! at once. Engines of the native interface are ordered by `coordinator::weights_shard` instead: they report
//! in another format, don't count orders, and are moved to one version in waves.
//!
//! An order without an answer may be executed later, so only the replica's report proves a load. Every order
//! carries the replica's name, the number of orders accepted before it, and the owner's epoch as a fencing
//! token.

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

/// Timeout of one call to a replica.
const REPLICA_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a replica's report, in bytes: thousands of models. Many replicas load at a time.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Interval between two reads of the report once a load may be complete. Limits the precision of the load
/// times from which `core::batch::load_limit` derives the limit.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two reads of the report before that; a load that ends early is noticed this late.
const EARLY_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Fraction of the last load's duration after which a load may be complete.
const POLL_START_FRACTION: f64 = 0.9;
/// An order that the replica's report does not show after this time counts as lost. Reports may lag. A
/// shorter time repeats orders that were taken, a longer one blocks the replica.
const ORDER_LOST_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of times that a load is ordered.
const MAX_ORDER_ATTEMPTS: u32 = 4;
/// How long to wait for a load before the order is repeated.
const LOAD_WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed load before the replica can be chosen again.
const FAILURE_DELAY: Duration = Duration::from_millis(300);

/// The end of a load at a replica.
pub(super) struct LoadEnded {
    pub(super) replica: String,
    pub(super) end: LoadEnd,
}

/// Sends load orders; every order carries one epoch as its fencing token.
pub(super) struct LoadOrders {
    context: Context,
    http: HttpClient,
    epoch: Epoch,
    ends: mpsc::UnboundedSender<LoadEnded>,
    /// Duration of the last load in milliseconds.
    last_load_ms: Arc<AtomicU64>,
}

impl LoadOrders {
    pub(super) fn new(context: Context, epoch: Epoch, ends: mpsc::UnboundedSender<LoadEnded>) -> Self {
        let http = HttpClient::new(context.settings.gateway.connect_timeout).with_max_body(MAX_REPORT_BYTES);
        Self { context, http, epoch, ends, last_load_ms: Arc::default() }
    }

    /// Starts a load and reports its end on the channel given to [`Self::new`]. An order is sent only while
    /// the authority confirmed at `confirmed_at` is valid.
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
            // Without an accepted order the loaded versions are unknown; the next report has them.
            let ended = LoadEnded { replica: order.load.replica, end: end.unwrap_or_default() };
            // Sending fails only once the owner has ended.
            let _ = ends.send(ended);
        });
    }
}

/// Whether a replica accepted an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderAcceptance {
    Accepted,
    /// The replica did not answer, or an earlier order is in progress.
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
    /// Sends the order and waits until the replica reports the version. Returns `None` if the order was not
    /// accepted.
    async fn run(&self, replica: &ReplicaRecord) -> Option<LoadEnd> {
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let before = self.report(replica).await?;
            if self.is_loaded(&before) {
                return Some(LoadEnd { versions: before.versions(), time: None });
            }
            // A previous order without a result may have been lost, or may still be in progress.
            let may_order = self.clock.since(self.confirmed_at) < CONFIRMED_FOR;
            let acceptance = if before.num_busy {
                OrderAcceptance::Unknown
            } else if may_order {
                self.send_order(replica, before.seq).await
            } else {
                OrderAcceptance::Rejected
            };
            if acceptance == OrderAcceptance::Rejected {
                return None;
            }
            if let Some(end) = self.wait_until_loaded(replica, before.seq, acceptance).await {
                return Some(end);
            }
        }
        None
    }

    /// Waits until the load is complete. Returns `None` if the report shows that no order was accepted, or
    /// after [`LOAD_WAIT_TIMEOUT`].
    async fn wait_until_loaded(
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
            let asked_at = began.elapsed();
            let Some(report) = self.report(replica).await else { continue };
            if self.is_loaded(&report) {
                let took = began.elapsed();
                self.last_load_ms.store(whole_millis(took), Ordering::Relaxed);
                let time = LoadTime { at_least: last_seen_busy, at_most: took };
                // The start of a load is unknown if its order was not answered.
                let time = (acceptance == OrderAcceptance::Accepted).then_some(time);
                return Some(LoadEnd { versions: report.versions(), time });
            }
            if report.num_busy {
                last_seen_busy = asked_at;
            }
            // Reports lag, so an unchanged report proves only after a while that the order was lost.
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
                ::log::debug!(target: "batch", "Failed to read the report of replica {}: {error}.", replica.id);
                return None;
            }
        };
        // A later incarnation counts its orders from zero, so its report does not apply.
        replica.is_author(report.started_at_ms()).then_some(report)
    }

    /// Sends the order once.
    async fn send_order(&self, replica: &ReplicaRecord, orders_before: u64) -> OrderAcceptance {
        let load = &self.load;
        let mode = LoadMode::Keep;
        let order =
            LoadOrder::new(&load.model, load.version, mode, &self.holder, self.epoch.0, orders_before);
        let body = match serde_json::to_vec(&order) {
            Ok(body) => body,
            Err(error) => {
                ::log::error!(target: "batch", "Failed to encode a load order for replica {}: {error}.", replica.id);
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
                ::log::info!(target: "batch", "Replica {} refused a load order: {status}.", replica.id);
                OrderAcceptance::Rejected
            }
            Err(error) if error.nothing_sent() => OrderAcceptance::Rejected,
            Err(_) => OrderAcceptance::Unknown,
        }
    }
}

/// Builds a request that only this replica accepts. Logs the error and returns `None` on failure.
fn build(replica: &ReplicaRecord, method: Method, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let mut request = match client::build(method, replica.address, path, body) {
        Ok(request) => request,
        Err(error) => {
            ::log::error!(target: "batch", "Failed to build a request to replica {}: {error}.", replica.id);
            return None;
        }
    };
    match replica.name.parse() {
        Ok(name) => _ = request.headers_mut().insert(headers::EXPECT_REPLICA, name),
        // The report also names its replica, so an answer of another replica is still detected.
        Err(error) => {
            ::log::debug!(target: "batch", "The name of replica {} is not a valid header value: {error}. Rename the replica.", replica.id)
        }
    }
    Some(request)
}
