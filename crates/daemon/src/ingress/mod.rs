//! Serves callers in the platform's form: plain requests and streams go to replicas, batch jobs to their
//! owner.
//!
//! Way of a request: [`Ingress::handle`] finds its route, `forward` or `stream` reads it as a
//! `CallerRequest` and runs the `attempt_loop`, which selects a replica by the core's
//! `ingress::selection` and sends it there through the [`pool`]. Owns the connections to replicas, the lock
//! round the selector, and the requests in flight. Relies on the node's metadata for routes, replicas and
//! evacuated zones, and on the quarantine for requests that end replicas.

mod attempt_loop;
mod batch_calls;
mod caller_request;
pub(crate) mod callers;
mod end_trace;
mod ends;
mod forward;
pub(crate) mod headers;
mod in_flight;
mod job_placement;
pub mod pool;
pub mod readiness;
mod refusal;
mod request_body;
mod selector_update;
pub mod sse;
mod stream;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Incoming;
use hyper::{Request, Response};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::admission::EvacuatedZones;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{Limits, RouteKind, RouteTable};
use lichenpulley_core::ingress::selection::{NoCandidate, ReplicaSelector, SelectionQuery, StayReason};
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::WarmupTracker;
use lichenpulley_core::time::Timestamp;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::batch::BatchJobs;
use crate::context::Context;
use crate::http::Body;
use caller_request::CallerRequest;
use callers::Caller;
use in_flight::InFlightRequest;
use pool::ReplicaPool;
use refusal::Refusal;

/// The selector of replicas with the lists that it was given last. Locked for single steps, never across a
/// wait.
struct SelectionState {
    selector: ReplicaSelector,
    /// The configuration whose cold bounds the selector holds.
    routes: Option<Arc<RouteTable>>,
    /// The replicas that the selector was given last.
    replicas: Arc<ReplicaTable>,
}

impl SelectionState {
    fn new(node: &NodeId) -> Self {
        let order = GatewayOrder::new(node.clone(), Timestamp::ORIGIN);
        let selector = ReplicaSelector::new(WarmupTracker::for_gateway(order, Timestamp::ORIGIN));
        Self { selector, routes: None, replicas: Arc::default() }
    }
}

/// Serves callers. Cheap to clone.
#[derive(Clone)]
pub struct Ingress {
    context: Context,
    pool: ReplicaPool,
    batch: BatchJobs,
    selection: Arc<Mutex<SelectionState>>,
    /// Places for ends that wait for the first configuration.
    early_ends: Arc<Semaphore>,
    origin: Instant,
}

impl Ingress {
    /// An ingress that sends to replicas through `pool`, and batch jobs to their owner through `batch`. It
    /// looks after cold replicas on the current runtime until the node has stopped.
    pub fn spawn(context: Context, pool: ReplicaPool, batch: BatchJobs) -> Self {
        let selection = Arc::new(Mutex::new(SelectionState::new(&context.node)));
        let early_ends = Arc::new(Semaphore::new(ends::MAX_EARLY_ENDS));
        let ingress = Self { context, pool, batch, selection, early_ends, origin: Instant::now() };
        tokio::spawn(selector_update::watch(ingress.clone()));
        ingress
    }

    /// Answers one request on the callers' port. What must not be lost with its caller is held before this
    /// returns: where the close of a connection is read beside the request, the answer is dropped without
    /// having been polled.
    pub fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send + use<> {
        let end = ends::begin(self, &request);
        let ingress = self.clone();
        async move {
            match end {
                Some(end) => end.answer().await,
                None => ingress.answer(request).await,
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(table) = self.context.metadata.routes.load_full() else {
            return Refusal::NoConfiguration.respond(&self.context, &request);
        };
        if batch_calls::is_call(request.uri().path()) {
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

    /// The limits in force for new connections.
    pub fn limits(&self) -> Option<Limits> {
        self.context.metadata.routes.load().as_ref().map(|table: &Arc<RouteTable>| table.limits)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Whether a request that would be sent to a replica now may be; asked once more just before its first
    /// byte.
    fn may_send(&self, request: &CallerRequest, replica: &ReplicaRecord) -> bool {
        !self.context.metadata.is_closed(replica) && !self.holds(request)
    }

    /// Whether a request must reach no replica, since replicas ended under it.
    fn holds(&self, request: &CallerRequest) -> bool {
        !request.is_trial && self.context.quarantine.contains(&request.fingerprint)
    }

    /// Selects a replica for a request and counts it there until the returned value is dropped.
    fn select(&self, request: &CallerRequest, tried: &[String]) -> Result<InFlightRequest, NoCandidate> {
        let selected = self.select_by(request, tried, |selector, query, table, evacuated, now| {
            selector.select(query, table, evacuated, now, rand::random())
        })?;
        Ok(InFlightRequest::begin(self, request, selected))
    }

    /// Selects a replica for a request that waits at the last of `tried`, which was cold where
    /// `waits_at_cold`, and counts it there as well.
    fn select_alternative(
        &self,
        request: &CallerRequest,
        tried: &[String],
        waits_at_cold: bool,
    ) -> Result<InFlightRequest, StayReason> {
        let selected = self.select_by(request, tried, |selector, query, table, evacuated, now| {
            selector.select_alternative(query, waits_at_cold, table, evacuated, now, rand::random())
        })?;
        Ok(InFlightRequest::begin(self, request, selected))
    }

    /// Runs `select` on the selector with what this node knows now.
    fn select_by<Selected>(
        &self,
        request: &CallerRequest,
        tried: &[String],
        select: impl FnOnce(
            &mut ReplicaSelector,
            &SelectionQuery<'_>,
            &ReplicaTable,
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
            is_quarantined: self.holds(request),
        };
        let (table, now) = (metadata.replicas.load(), self.now());
        let mut selection = self.selection();
        // Read under the lock, so that older zones never replace newer ones.
        let evacuated = metadata.knows_evacuations().then(|| metadata.evacuated.load_full());
        select(&mut selection.selector, &query, &table, evacuated, now)
    }

    /// A request stays at a replica that has had its share of the time.
    fn late(&self, replica: &str) {
        self.selection().selector.mark_late(replica, self.now());
    }

    fn reported(&self, replica: &str, busy: u32) {
        self.selection().selector.record_reported_load(replica, busy, self.now());
    }

    fn selection(&self) -> MutexGuard<'_, SelectionState> {
        self.selection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
