//! Error responses to requests that no replica answered: the status, kind, remedy and `Retry-After` of each
//! reason.
//!
//! The platform's callers read `Retry-After` with tenths of a second and get the request id back in a header
//! field. Callers of the native interface get `retry_after_ms` and whether the request ran in the body; see
//! `gateway::refusal`. Both take the delays from the core's `retry::retry_after`.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::selection::NoCandidate;
use lichenpulley_core::retry::retry_after::{QueueDrain, RetryCause};
use lichenpulley_platform::headers;
use lichenpulley_protocol::error::ErrorBody;

use crate::context::Context;
use crate::http::{Body, response};

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// This node has not loaded a configuration yet.
    NoConfiguration,
    /// This node does not know yet which zones are evacuated.
    EvacuationsUnknown,
    /// This node has not read the list of replicas yet.
    ReplicasUnknown,
    /// The route requires a key, and the caller presented none that is known.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// No replica of the service accepts requests.
    NoReplica,
    /// No allowed region of the request has a replica of the service.
    OutsideRegions,
    /// No allowed region of the batch job has a coordinator and enough stores.
    NoPlace,
    /// A scorer's route doesn't allow all regions of the batch job.
    ScorerRegions,
    /// All replicas of the service are in evacuated zones.
    Evacuated,
    /// The request is quarantined because replicas crashed while running it.
    Quarantined,
    /// All candidate replicas are cold and at their limit. One may take a request after this time.
    Warming(Duration),
    /// No replica ran the request.
    NotRun,
    /// All replicas that were tried rejected the request, and replicas report these queues.
    Rejected(QueueDrain),
    /// The queue of each replica takes longer than the time that the request has left; it was sent to none that ran it.
    NoTime(QueueDrain),
    /// A replica may have run the request, and no complete answer arrived.
    Unknown,
    /// The deadline passed, and a replica may have run the request.
    TimedOut,
    /// The body exceeds the configured limit.
    BodyTooLong,
    /// The body was not complete in time.
    BodyTooSlow,
    /// Other bodies hold the memory for bodies.
    NoBodyMemory,
    /// The connection has to make room for others before the body is complete.
    TooManyConnections,
    /// The body can't be read or parsed.
    BadBody,
    /// A required header field or query parameter is missing or invalid.
    Incomplete,
    /// The batch job or item does not exist.
    UnknownBatch,
    /// The owner of the batch job can't be reached, and nothing was started.
    NoOwner,
    /// The limit of batch jobs is reached.
    Full,
    /// A batch job of another tenant has this id.
    IdTaken,
    /// It is unknown whether the batch job was accepted.
    InDoubt,
    /// Too many bytes are kept for callers that do not read their answers.
    UnreadAnswers,
}

impl From<NoCandidate> for Refusal {
    fn from(no_candidate: NoCandidate) -> Self {
        match no_candidate {
            NoCandidate::EvacuationsUnknown => Self::EvacuationsUnknown,
            NoCandidate::ReplicasUnknown => Self::ReplicasUnknown,
            NoCandidate::NoReplica => Self::NoReplica,
            NoCandidate::OutsideRegions => Self::OutsideRegions,
            NoCandidate::Evacuated => Self::Evacuated,
            NoCandidate::Warming(left) => Self::Warming(left),
            NoCandidate::NoTime(queues) => Self::NoTime(queues),
            NoCandidate::Quarantined => Self::Quarantined,
        }
    }
}

impl Refusal {
    const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::EvacuationsUnknown
            | Self::ReplicasUnknown
            | Self::NoReplica
            | Self::OutsideRegions
            | Self::NoPlace
            | Self::Evacuated
            | Self::Quarantined
            | Self::Warming(_)
            | Self::NotRun
            | Self::Rejected(_)
            | Self::NoTime(_)
            | Self::NoOwner
            | Self::NoBodyMemory
            | Self::TooManyConnections
            | Self::UnreadAnswers => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::IdTaken => StatusCode::CONFLICT,
            Self::NoRoute | Self::UnknownBatch => StatusCode::NOT_FOUND,
            Self::Unknown | Self::InDoubt => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BadBody | Self::Incomplete | Self::ScorerRegions => StatusCode::BAD_REQUEST,
            Self::Full => StatusCode::TOO_MANY_REQUESTS,
        }
    }

    const fn kind(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::EvacuationsUnknown => "evacuations_unknown",
            Self::ReplicasUnknown => "replicas_unknown",
            Self::UnknownKey => "unknown_key",
            Self::IdTaken => "id_taken",
            Self::NoRoute => "no_route",
            Self::NoReplica => "no_replica",
            Self::OutsideRegions => "outside_regions",
            Self::NoPlace => "no_place_in_regions",
            Self::ScorerRegions => "scorer_regions",
            Self::Evacuated => "evacuated",
            Self::Warming(_) => "warming",
            Self::Quarantined => "quarantined",
            Self::NotRun | Self::Rejected(_) => "not_run",
            Self::NoTime(_) => "no_time",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoBodyMemory => "no_body_memory",
            Self::TooManyConnections => "too_many_connections",
            Self::BadBody => "bad_body",
            Self::Incomplete => "incomplete",
            Self::UnknownBatch => "unknown_batch",
            Self::NoOwner => "no_owner",
            Self::Full => "full",
            Self::InDoubt => "in_doubt",
            Self::UnreadAnswers => "unread_answers",
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::NoConfiguration => "come back once this node has read the configuration",
            Self::EvacuationsUnknown => "come back once this node has read which zones are evacuated",
            Self::ReplicasUnknown => "come back once this node has read the list of replicas",
            Self::NoRoute => "check the host and the path, or add a route",
            Self::OutsideRegions => "start replicas in an allowed region, or allow another; it has not run",
            Self::NoPlace => "start stores and coordinators in an allowed region, or allow another",
            Self::ScorerRegions => {
                "allow the scorer's route every region of the job's, or send the job elsewhere"
            }
            Self::Quarantined => {
                "replicas ended while it ran there: change it, or ask an operator to release it; it has not run"
            }
            Self::Evacuated => "return a zone, or order replicas in another",
            Self::NoReplica
            | Self::Warming(_)
            | Self::NotRun
            | Self::Rejected(_)
            | Self::NoOwner
            | Self::NoBodyMemory
            | Self::TooManyConnections
            | Self::Full => "send it again, it has not run",
            Self::NoTime(_) => "send it again after `Retry-After`, or with a longer deadline; it has not run",
            Self::UnreadAnswers => "read the answers that you asked for, and send it again; it has not run",
            Self::Unknown | Self::TimedOut => "it may have run; send it again only if it may run twice",
            Self::BodyTooLong => "send a shorter body, or raise the configuration's limit",
            Self::BodyTooSlow => "send the body at once",
            Self::BadBody => "mend the body",
            Self::Incomplete => "add the field or parameter that the call needs",
            Self::UnknownKey => "bring a key of a tenant, as `Authorization: Bearer KEY`",
            Self::IdTaken => "choose another id",
            Self::UnknownBatch => "check the id",
            Self::InDoubt => "send the same batch job again: it is taken once",
        }
    }

    /// Returns the cause that determines `Retry-After`, or `None` if the response has no `Retry-After`.
    const fn retry_cause(self) -> Option<RetryCause> {
        match self {
            Self::NoReplica | Self::NotRun => Some(RetryCause::NoReplica),
            Self::Rejected(queues) | Self::NoTime(queues) => Some(RetryCause::Queues(queues)),
            Self::Warming(left) => Some(RetryCause::Warming(left)),
            Self::Quarantined => Some(RetryCause::Quarantined),
            Self::NoConfiguration
            | Self::EvacuationsUnknown
            | Self::ReplicasUnknown
            | Self::NoOwner
            | Self::Full
            | Self::NoBodyMemory
            | Self::TooManyConnections
            | Self::UnreadAnswers
            | Self::Evacuated
            | Self::OutsideRegions
            | Self::NoPlace => Some(RetryCause::NodeShortage),
            Self::UnknownKey
            | Self::NoRoute
            | Self::ScorerRegions
            | Self::Unknown
            | Self::TimedOut
            | Self::BodyTooLong
            | Self::BodyTooSlow
            | Self::BadBody
            | Self::Incomplete
            | Self::UnknownBatch
            | Self::IdTaken
            | Self::InDoubt => None,
        }
    }

    /// Whether the rest of the request's body is not read, so that the connection can't be used again.
    const fn leaves_body_unread(self) -> bool {
        matches!(self, Self::BodyTooLong | Self::BodyTooSlow | Self::NoBodyMemory | Self::TooManyConnections)
    }

    /// Builds the error response to `request` and records the decision.
    pub(super) fn respond<B>(self, context: &Context, request: &Request<B>) -> Response<Body> {
        let id = request.headers().get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
        self.respond_to(context, id)
    }

    /// Builds the error response to the request with this id and records the decision.
    pub(super) fn respond_to(self, context: &Context, request_id: Option<&str>) -> Response<Body> {
        self.respond_with_cause(context, request_id, self.kind())
    }

    /// Like [`Self::respond_to`], with a specific cause in the message.
    pub(super) fn respond_with_cause(
        self,
        context: &Context,
        request_id: Option<&str>,
        cause: &str,
    ) -> Response<Body> {
        self.answer(context, request_id, cause, &AllowedRegions::all())
    }

    /// Like [`Self::respond_to`], with the allowed regions of the request in the message.
    pub(super) fn respond_with_regions(
        self,
        context: &Context,
        request_id: Option<&str>,
        regions: &AllowedRegions,
    ) -> Response<Body> {
        if regions.is_all() {
            return self.respond_to(context, request_id);
        }
        self.answer(context, request_id, &format!("{}, allowed regions: {regions}", self.kind()), regions)
    }

    fn answer(
        self,
        context: &Context,
        request_id: Option<&str>,
        cause: &str,
        regions: &AllowedRegions,
    ) -> Response<Body> {
        let subject = request_id.unwrap_or("-");
        let decision = Decision::new(Component::Request, "refused", self.kind(), subject);
        let is_region_bound = !regions.is_all();
        if is_region_bound {
            context.metrics.count_region_refusal(&regions.to_string(), self.kind());
        }
        let decision = if is_region_bound { decision.with("regions", regions) } else { decision };
        let queues = match self {
            Self::Rejected(queues) | Self::NoTime(queues) => Some(queues),
            _ => None,
        };
        context.metrics.count_refusal(self.kind());
        context.decisions.record(match queues {
            Some(queues) => decision
                .with("drain_ms", queues.drain_time.as_millis())
                .with("remaining_ms", queues.remaining.as_millis()),
            None => decision,
        });
        let body = ErrorBody::new(self.kind(), format!("the request was refused: {cause}"), self.remedy());
        let mut answer = response::json(self.status(), &body);
        if self.leaves_body_unread() {
            response::announce_close(&mut answer);
        }
        if let Some(id) = request_id.and_then(|id| HeaderValue::from_str(id).ok()) {
            answer.headers_mut().insert(headers::REQUEST_ID, id);
        }
        if let Some(cause) = self.retry_cause() {
            let seconds = format!("{:.1}", cause.retry_after().as_secs_f64());
            // A number in decimal digits is always a valid field value.
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(RETRY_AFTER, seconds);
            }
        }
        answer
    }
}
