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
use lichenpulley_core::ingress::admission::{Admission, AdmissionGate};
use lichenpulley_core::ingress::attempts::SendOutcome;
use lichenpulley_core::ingress::replicas::{ReplicaChooser, ReplicaFeedback, ReplicaRecord, ReplicaTable};
use lichenpulley_core::ingress::routes::{Limits, RouteKind, RouteTable};
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
use forward::Call;
use pool::{ReplicaPool, SendError};
use refusal::Refusal;

/// What decides where a request goes.
struct ReplicaChoice {
    chooser: ReplicaChooser,
    gate: AdmissionGate,
    /// The configuration whose bounds the gate holds.
    routes: Option<Arc<RouteTable>>,
    /// The replicas that the gate was told of last.
    replicas: Arc<ReplicaTable>,
}

impl ReplicaChoice {
    fn new(node: &NodeId) -> Self {
        let order = GatewayOrder::new(node.clone(), Timestamp::ORIGIN);
        let gate = AdmissionGate::new(Warmups::of_gateway(order, Timestamp::ORIGIN));
        Self { chooser: ReplicaChooser::default(), gate, routes: None, replicas: Arc::default() }
    }
}

/// Why no replica can be sent a request now. The greatest one tells what would have to end first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nowhere {
    /// This node does not know yet which zones are evacuated.
    EvacuationsUnknown,
    /// None of the service is listed, or all were tried.
    NoReplica,
    /// None stands in a region in which the request may be served.
    OutsideRegions,
    /// All stand in zones that are evacuated.
    Evacuated,
    /// Some are cold; this node may send to one of them after so long.
    Warming(Duration),
    /// Replicas ended under the request: it is sent to no other.
    Quarantined,
}

/// Serves callers. Cheap to clone.
#[derive(Clone)]
pub struct Ingress {
    context: Context,
    pool: ReplicaPool,
    batch: BatchJobs,
    choice: Arc<Mutex<ReplicaChoice>>,
    /// Places for ends that wait for the first configuration.
    early_ends: Arc<Semaphore>,
    origin: Instant,
}

impl Ingress {
    /// An ingress that sends to replicas through `pool`, and batch jobs to their owner through `batch`. It looks after cold
    /// replicas on the current runtime until the node has stopped.
    pub fn spawn(context: Context, pool: ReplicaPool, batch: BatchJobs) -> Self {
        let choice = Arc::new(Mutex::new(ReplicaChoice::new(&context.node)));
        let early_ends = Arc::new(Semaphore::new(ends::MAX_EARLY));
        let ingress = Self { context, pool, batch, choice, early_ends, origin: Instant::now() };
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
    fn may_send(&self, call: &Call, replica: &ReplicaRecord) -> bool {
        !self.context.metadata.is_closed(replica) && !self.holds(call)
    }

    /// Whether a request must reach no replica, since replicas ended under it.
    fn holds(&self, call: &Call) -> bool {
        !call.is_trial && self.context.quarantine.holds(&call.fingerprint)
    }

    /// Chooses a replica for a request and counts it there until the returned visit is dropped.
    fn visit(&self, call: &Call, tried: &[String]) -> Result<Visit, Nowhere> {
        if self.holds(call) {
            return Err(Nowhere::Quarantined);
        }
        let (service, regions) = (call.service.as_str(), &call.regions);
        let metadata = &self.context.metadata;
        if !metadata.knows_evacuations() {
            return Err(Nowhere::EvacuationsUnknown);
        }
        let (table, now) = (metadata.replicas.load(), self.now());
        let mut choice = self.choice();
        choice.gate.set_evacuated(metadata.evacuated.load_full(), now);
        choice.chooser.retain_listed(&table);
        let mut open = Vec::new();
        let zones = &self.context.settings.places.zones;
        let allowed = |record: &&ReplicaRecord| regions.allows_zone(zones, &record.zone);
        let has_allowed = regions.is_all() || table.ready(service).any(|record| allowed(&record));
        let mut nowhere = if has_allowed { Nowhere::NoReplica } else { Nowhere::OutsideRegions };
        let untried = table.ready(service).filter(|record| !tried.contains(&record.id));
        for record in untried.filter(allowed) {
            match choice.gate.judge(record, now) {
                Admission::Open => open.push(record),
                Admission::Evacuated => nowhere = nowhere.max(Nowhere::Evacuated),
                Admission::Warming(until) => nowhere = nowhere.warming_for(until.saturating_since(now)),
            }
        }
        let replica = choice.chooser.best_of(open, now, rand::random()).ok_or(nowhere)?.clone();
        choice.gate.sent(&replica, now);
        choice.chooser.sent(&replica.id);
        let is_cold = choice.gate.is_cold(&replica.id, now);
        let (ingress, began) = (self.clone(), Instant::now());
        let run = TracedRun::begin(&self.context, call.fingerprint, &replica, RunSender::Gateway);
        Ok(Visit { ingress, replica, is_cold, began, feedback: ReplicaFeedback::Abandoned, run })
    }

    fn reported(&self, replica: &str, busy: u32) {
        self.choice().chooser.reported(replica, busy, self.now());
    }

    fn choice(&self) -> MutexGuard<'_, ReplicaChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Nowhere {
    /// The name used in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::EvacuationsUnknown => "evacuations_unknown",
            Self::NoReplica => "no_replica",
            Self::OutsideRegions => "outside_regions",
            Self::Evacuated => "evacuated",
            Self::Warming(_) => "warming",
            Self::Quarantined => "quarantined",
        }
    }

    /// The same, where one more replica is cold: the soonest counts.
    fn warming_for(self, left: Duration) -> Self {
        match self {
            Self::Warming(other) => Self::Warming(other.min(left)),
            Self::EvacuationsUnknown
            | Self::NoReplica
            | Self::OutsideRegions
            | Self::Evacuated
            | Self::Quarantined => Self::Warming(left),
        }
    }
}

/// A request at a replica.
struct Visit {
    ingress: Ingress,
    replica: ReplicaRecord,
    /// Whether the replica was cold when it was chosen.
    is_cold: bool,
    began: Instant,
    feedback: ReplicaFeedback,
    /// What becomes of it, for the quarantine.
    run: TracedRun,
}

impl Visit {
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

impl Drop for Visit {
    fn drop(&mut self) {
        self.ingress.choice().chooser.ended(&self.replica.id, self.feedback, self.ingress.now());
    }
}

/// A connection to a replica that is not made by then is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
