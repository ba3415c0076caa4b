//! Serves callers of the platform's HTTP interface. Plain requests and streams are forwarded to replicas,
//! batch job calls to the job's owner.
//!
//! [`Ingress::handle`] finds the route of a request. `forward` or `stream` reads it into a `CallerRequest`
//! and runs the `attempt_loop`, which selects a replica by the core's `ingress::selection` and sends the
//! request through the [`pool`]. Routes, replicas and evacuated zones come from the node's metadata;
//! `metadata_wait` holds requests that arrive before it is read. The quarantine excludes requests that crash
//! replicas.

pub mod answer_body;
mod attempt_loop;
mod base_latencies;
mod batch_calls;
mod caller_request;
pub(crate) mod callers;
pub mod counted_stream;
mod end_trace;
mod ends;
mod forward;
pub(crate) mod headers;
mod in_flight;
mod job_placement;
mod metadata_wait;
pub mod pool;
mod probes;
pub mod readiness;
mod refusal;
mod request_body;
mod selector_update;
pub mod sse;
mod stream;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::metadata_wait::MAX_WAITING_REQUESTS;
use lichenpulley_core::ingress::probing::ProbePolicy;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{Limits, RouteKind, RouteTable};
use lichenpulley_core::ingress::selection::{NoCandidate, ReplicaSelector, SelectionQuery, StayReason};
use lichenpulley_core::ingress::unread::UnreadLimit;
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::WarmupTracker;
use lichenpulley_core::retry::early_moves::{EarlyMoveDenial, EarlyMoveResult};
use lichenpulley_core::retry::retry_after::QueueDrain;
use lichenpulley_core::time::Timestamp;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::batch::BatchJobs;
use crate::context::Context;
use crate::http::Body;
use crate::http::unread::{AbortedConnection, ConnectionMeter, UnreadMeter};
use answer_body::AnswerMemory;
use caller_request::CallerRequest;
use callers::Caller;
use in_flight::InFlightRequest;
use pool::ReplicaPool;
use refusal::Refusal;

/// The replica selector and the inputs it was last updated from. The lock on it is never held across an
/// await.
struct SelectionState {
    selector: ReplicaSelector,
    probing: ProbePolicy,
    /// The route table whose bounds for cold replicas the selector uses.
    routes: Option<Arc<RouteTable>>,
    /// The replicas that the selector was last updated from.
    replicas: Arc<ReplicaTable>,
}

impl SelectionState {
    fn new(node: &NodeId) -> Self {
        let order = GatewayOrder::new(node.clone(), Timestamp::ORIGIN);
        let selector = ReplicaSelector::new(WarmupTracker::for_gateway(order, Timestamp::ORIGIN));
        Self { selector, probing: ProbePolicy::default(), routes: None, replicas: Arc::default() }
    }
}

/// Request handler of the callers' port. Cheap to clone.
#[derive(Clone)]
pub struct Ingress {
    context: Context,
    pool: ReplicaPool,
    batch: BatchJobs,
    selection: Arc<Mutex<SelectionState>>,
    /// Permits for ends that wait for the first configuration.
    early_ends: Arc<Semaphore>,
    /// Permits for requests that wait for the node's first metadata.
    metadata_waits: Arc<Semaphore>,
    /// Counts the bytes kept for callers that have not read their answers.
    unread: UnreadMeter,
    answer_memory: AnswerMemory,
    origin: Instant,
}

impl Ingress {
    /// Creates an ingress that sends requests to replicas through `pool` and batch jobs to their owner
    /// through `batch`. Spawns a task that keeps the replica selector up to date until the node has stopped.
    pub fn spawn(context: Context, pool: ReplicaPool, batch: BatchJobs) -> Self {
        let selection = Arc::new(Mutex::new(SelectionState::new(&context.node)));
        let early_ends = Arc::new(Semaphore::new(ends::MAX_EARLY_ENDS));
        let metadata_waits = Arc::new(Semaphore::new(MAX_WAITING_REQUESTS));
        let origin = Instant::now();
        let memory_bytes = context.settings.machine.memory_bytes as u64;
        let unread = UnreadMeter::new(UnreadLimit::for_memory(memory_bytes));
        let answer_memory = AnswerMemory::for_machine(memory_bytes);
        let ingress = Self {
            context,
            pool,
            batch,
            selection,
            early_ends,
            metadata_waits,
            unread,
            answer_memory,
            origin,
        };
        tokio::spawn(selector_update::run(ingress.clone()));
        tokio::spawn(base_latencies::run(ingress.clone()));
        tokio::spawn(keep_unread_bounded(ingress.clone()));
        ingress
    }

    /// Answers one request on the callers' port. An end of a batch job is held before this function returns:
    /// if the connection is closed together with the request, the returned future is dropped without being
    /// polled.
    pub fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send + use<> {
        let end = ends::hold(self, &request);
        let ingress = self.clone();
        let meter = request.extensions().get::<ConnectionMeter>().cloned();
        async move {
            let response = match end {
                Some(end) => end.answer().await,
                None => ingress.answer(request).await,
            };
            match meter {
                Some(meter) => meter.keep_response(response),
                None => response,
            }
        }
    }

    /// Returns the meter of the bytes kept for callers, for the server of the callers' port.
    pub(crate) fn unread_meter(&self) -> UnreadMeter {
        self.unread.clone()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(table) = self.context.metadata.routes.load_full() else {
            return Refusal::NoConfiguration.respond(&self.context, &request);
        };
        if batch_calls::is_batch_call(request.uri().path()) {
            return match Caller::identify(&table, request.headers(), false) {
                Ok(caller) => batch_calls::handle(self, &caller, request).await,
                Err(_) => Refusal::UnknownKey.respond(&self.context, &request),
            };
        }
        let host = headers::host(&request);
        let Some(route) = table.find(&host, request.uri().path()).cloned() else {
            return Refusal::NoRoute.respond(&self.context, &request);
        };
        let Ok(caller) = Caller::identify(&table, request.headers(), route.is_public) else {
            return Refusal::UnknownKey.respond(&self.context, &request);
        };
        match route.kind {
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                forward::handle(self, &table, &route, caller, request).await
            }
            RouteKind::Streaming => stream::handle(self, &table, &route, caller, request).await,
            RouteKind::Batch => batch_calls::submit(self, &table, &route, &caller, &host, request).await,
        }
    }

    /// Returns the limits for new connections, if a configuration is loaded.
    pub fn limits(&self) -> Option<Limits> {
        self.context.metadata.routes.load().as_ref().map(|table: &Arc<RouteTable>| table.limits)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Whether a request may be sent to a replica now. Checked again just before the first byte is written.
    fn may_send(&self, request: &CallerRequest, replica: &ReplicaRecord) -> bool {
        !self.context.metadata.is_closed(replica) && !self.is_quarantined(request)
    }

    /// Whether a request is quarantined and is not a trial.
    fn is_quarantined(&self, request: &CallerRequest) -> bool {
        !request.is_trial && self.context.quarantine.contains(&request.fingerprint)
    }

    /// Selects a replica for a request. The request counts there until the returned value is dropped.
    fn select(&self, request: &CallerRequest, tried: &[String]) -> Result<InFlightRequest, NoCandidate> {
        let selected = self.select_with(request, tried, |selector, query, table, evacuated, now| {
            selector.select(query, table, evacuated, now, rand::random())
        })?;
        Ok(InFlightRequest::begin(self, request, selected))
    }

    /// Checks whether a plain request that has not run can be served in the time that it has left.
    fn check_queues(&self, request: &CallerRequest, tried: &[String]) -> Result<(), NoCandidate> {
        let remaining = request.remaining();
        self.select_with(request, tried, |selector, query, table, evacuated, now| {
            selector.check_queues(query, remaining, table, evacuated, now)
        })
    }

    /// Selects another replica that is expected to answer a request within `target_left`, the rest of its target.
    /// The request waits at the last of `tried` and counts at both replicas.
    fn select_early(
        &self,
        request: &CallerRequest,
        tried: &[String],
        target_left: Duration,
    ) -> Result<InFlightRequest, EarlyMoveDenial> {
        let selected = self.select_with(request, tried, |selector, query, table, evacuated, now| {
            selector.select_early(query, target_left, table, evacuated, now, rand::random())
        })?;
        Ok(InFlightRequest::begin(self, request, selected))
    }

    /// Returns the shortest queue that a replica of the request's service recently reported.
    fn shortest_queue(&self, request: &CallerRequest) -> Option<QueueDrain> {
        let remaining = request.remaining();
        self.select_with(request, &[], |selector, query, table, _, now| {
            selector.shortest_queue(query, remaining, table, now)
        })
    }

    /// Adds a plain request to the budget of early moves of its service.
    fn record_plain_request(&self, service: &str) {
        let mut selection = self.selection();
        if selection.selector.has_paces() {
            selection.selector.early_moves_mut().record_request(service, self.now());
        }
    }

    /// Records how a plain request that moved early ended.
    fn record_early_move_result(&self, service: &str, result: EarlyMoveResult) {
        self.context.metrics.count_early_move(result);
        self.selection().selector.early_moves_mut().record_result(service, result, self.now());
    }

    /// Selects another replica for a request that waits at the last of `tried`. `waits_at_cold` tells
    /// whether that replica was cold. The request counts at both replicas.
    fn select_alternative(
        &self,
        request: &CallerRequest,
        tried: &[String],
        waits_at_cold: bool,
    ) -> Result<InFlightRequest, StayReason> {
        let selected = self.select_with(request, tried, |selector, query, table, evacuated, now| {
            selector.select_alternative(query, waits_at_cold, table, evacuated, now, rand::random())
        })?;
        Ok(InFlightRequest::begin(self, request, selected))
    }

    /// Runs `select` on the selector with the node's current metadata.
    fn select_with<Selected>(
        &self,
        request: &CallerRequest,
        tried: &[String],
        select: impl FnOnce(
            &mut ReplicaSelector,
            &SelectionQuery<'_>,
            Option<&ReplicaTable>,
            Option<Arc<EvacuatedZones>>,
            Timestamp,
        ) -> Selected,
    ) -> Selected {
        let metadata = &self.context.metadata;
        let query = SelectionQuery {
            service: &request.service,
            regions: &request.regions,
            zones: &self.context.settings.places.zones,
            tried,
            is_quarantined: self.is_quarantined(request),
        };
        let table = metadata.knows_replicas().then(|| metadata.replicas.load());
        let now = self.now();
        let mut selection = self.selection();
        // Loaded under the lock, so that older zones never replace newer ones.
        let evacuated = metadata.knows_evacuations().then(|| metadata.evacuated.load_full());
        select(&mut selection.selector, &query, table.as_deref().map(Arc::as_ref), evacuated, now)
    }

    /// Records that a replica exceeded the attempt timeout of a request that stays there.
    fn mark_late(&self, replica: &str) {
        self.selection().selector.mark_late(replica, self.now());
    }

    /// Records the load that came with a response head, and whether the response was later than the route's target.
    fn record_response_head(&self, replica: &ReplicaRecord, load: Option<ReplicaLoad>, is_late: bool) {
        let now = self.now();
        let mut selection = self.selection();
        if let Some(load) = load {
            selection.selector.record_reported_load(&replica.id, load, now);
            if selection.selector.has_paces() {
                let early_moves = selection.selector.early_moves_mut();
                early_moves.record_answer(&replica.service, &replica.id, load.waiting, now);
            }
        }
        selection.probing.record_answer(&replica.service, load.map(|load| load.waiting), is_late, now);
    }

    fn selection(&self) -> MutexGuard<'_, SelectionState> {
        self.selection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Aborts the connections of callers that do not read while too much is kept for them, until the node has stopped.
async fn keep_unread_bounded(ingress: Ingress) {
    let context = &ingress.context;
    let report = |kept_bytes| context.metrics.set_unread_answer_bytes(kept_bytes);
    let record = |aborted: AbortedConnection| {
        let peer = aborted.peer.map_or_else(|| "-".to_owned(), |peer| peer.to_string());
        let decision = Decision::new(Component::Request, "connection_aborted", "unread_answers", peer)
            .with("bytes", aborted.bytes)
            .with("stalled_ms", aborted.stalled_for.as_millis())
            .with("kept_bytes", aborted.kept_bytes);
        context.decisions.record(decision);
    };
    ingress.unread.keep_bounded(context.stopped.clone(), report, record).await;
}
