//! Callers in the platform's own form: plain requests are passed on whole, batch jobs go to their owner.

mod batch_calls;
pub(crate) mod callers;
mod end_trace;
mod ends;
mod forward;
pub(crate) mod headers;
mod job_places;
pub mod pool;
pub mod readiness;
mod refusal;
pub mod sse;
mod stream;
mod warming;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::ingress::attempts::SendOutcome;
use lichenpulley_core::ingress::chooser::ReplicaFeedback;
use lichenpulley_core::ingress::replicas::{ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{Limits, RouteKind, RouteTable};
use lichenpulley_core::ingress::selection::{NoCandidate, ReplicaSelector, SelectedReplica, SelectionQuery};
use lichenpulley_core::ingress::warming_share::GatewayOrder;
use lichenpulley_core::ingress::warmups::Warmups;
use lichenpulley_core::quarantine::RunSender;
use lichenpulley_core::time::Timestamp;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::batch::BatchJobs;
use crate::context::Context;
use crate::http::Body;
use crate::quarantine::TracedRun;
use callers::Caller;
use forward::CallerRequest;
use pool::{ReplicaPool, SendError};
use refusal::Refusal;

/// The selector of replicas with the lists that it was given last. Locked for single steps, never across a wait.
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
        let selector = ReplicaSelector::new(Warmups::of_gateway(order, Timestamp::ORIGIN));
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
    /// An ingress that sends to replicas through `pool`, and batch jobs to their owner through `batch`. It looks after cold
    /// replicas on the current runtime until the node has stopped.
    pub fn spawn(context: Context, pool: ReplicaPool, batch: BatchJobs) -> Self {
        let selection = Arc::new(Mutex::new(SelectionState::new(&context.node)));
        let early_ends = Arc::new(Semaphore::new(ends::MAX_EARLY));
        let ingress = Self { context, pool, batch, selection, early_ends, origin: Instant::now() };
        tokio::spawn(warming::watch(ingress.clone()));
        ingress
    }

    /// Answers one request on the callers' port. What must not be lost with its caller is held before this returns: where the close of a
    /// connection is read beside the request, the answer is dropped without having been polled.
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

    /// Whether a request that would be sent to a replica now may be; asked once more just before its first byte.
    fn may_send(&self, request: &CallerRequest, replica: &ReplicaRecord) -> bool {
        !self.context.metadata.is_closed(replica) && !self.holds(request)
    }

    /// Whether a request must reach no replica, since replicas ended under it.
    fn holds(&self, request: &CallerRequest) -> bool {
        !request.is_trial && self.context.quarantine.holds(&request.fingerprint)
    }

    /// Selects a replica for a request and counts it there until the returned value is dropped.
    fn select(&self, request: &CallerRequest, tried: &[String]) -> Result<InFlightRequest, NoCandidate> {
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
        let selected = selection.selector.select(&query, &table, evacuated, now, rand::random())?;
        drop(selection);
        Ok(InFlightRequest::begin(self, request, selected))
    }

    fn reported(&self, replica: &str, busy: u32) {
        self.selection().selector.reported(replica, busy, self.now());
    }

    fn selection(&self) -> MutexGuard<'_, SelectionState> {
        self.selection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in flight at a replica, from the selection of the replica until its end.
struct InFlightRequest {
    ingress: Ingress,
    replica: ReplicaRecord,
    /// Whether the replica was cold when it was chosen.
    is_cold: bool,
    began: Instant,
    feedback: ReplicaFeedback,
    /// Its end, for the quarantine.
    run: TracedRun,
}

impl InFlightRequest {
    fn begin(ingress: &Ingress, request: &CallerRequest, selected: SelectedReplica) -> Self {
        let SelectedReplica { record: replica, is_cold } = selected;
        let run = TracedRun::begin(&ingress.context, request.fingerprint, &replica, RunSender::Gateway);
        let feedback = ReplicaFeedback::Abandoned;
        Self { ingress: ingress.clone(), replica, is_cold, began: Instant::now(), feedback, run }
    }

    fn answered(&mut self) {
        let took = self.began.elapsed();
        self.feedback =
            if self.is_cold { ReplicaFeedback::AnsweredCold } else { ReplicaFeedback::Answered(took) };
    }

    fn was_full(&mut self) {
        self.run.has_not_run();
        self.feedback = ReplicaFeedback::Full;
    }

    fn was_silent(&mut self) {
        self.feedback = ReplicaFeedback::Silent;
    }

    /// No head of an answer came.
    async fn got_no_answer(&mut self, error: SendError) -> SendOutcome {
        self.run.got_no_answer(error).await;
        if error != SendError::Withheld {
            self.was_silent();
        }
        match error {
            SendError::Withheld => SendOutcome::Withheld,
            SendError::NotSent => SendOutcome::NotSent,
            SendError::Broken => SendOutcome::Broken,
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.ingress.selection().selector.ended(&self.replica.id, self.feedback, self.ingress.now());
    }
}

/// A connection to a replica that is not made by then is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
