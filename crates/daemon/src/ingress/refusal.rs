//! Answers to requests that no replica answered: status, kind, remedy and `Retry-After` of each reason.
//!
//! The platform's callers read `Retry-After` in tenths of a second and get the request's id back in a field; callers of the
//! project's own interface get `retry_after_ms` and whether the request ran in the body, see `gateway::refusal`. So the
//! two forms stay apart; the times of both come from the core's `retry::retry_after`.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::selection::NoCandidate;
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_platform::headers;
use lichenpulley_protocol::error::ErrorBody;

use crate::context::Context;
use crate::http::{Body, response};

/// Why a request got no answer of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// This node knows no configuration yet.
    NoConfiguration,
    /// This node does not know yet which zones are evacuated.
    EvacuationsUnknown,
    /// The caller needs a key and brought none that is known.
    UnknownKey,
    /// No route fits the host and path.
    NoRoute,
    /// No replica of the service takes work.
    NoReplica,
    /// No region in which the request may be served has a replica of the service.
    OutsideRegions,
    /// No region in which the batch job may be kept has a coordinator, or stores enough.
    NoPlace,
    /// A scorer may be served in fewer regions than its batch job.
    ScorerRegions,
    /// All replicas of the service stand in zones that are evacuated.
    Evacuated,
    /// Replicas ended under it: it is sent to no other.
    Quarantined,
    /// The replicas that could take it are cold; one may be sent a request after so long.
    Warming(Duration),
    /// Every replica that was tried stated that it did not run the request.
    NotRun,
    /// A replica may have run the request, and no whole answer came.
    Unknown,
    /// The time is over, and a replica may have run the request.
    TimedOut,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body did not come whole in time.
    BodyTooSlow,
    /// The body can't be read.
    BadBody,
    /// A field or parameter that the call needs is absent.
    Incomplete,
    /// There is no such batch job or item.
    UnknownBatch,
    /// The batch jobs' owner can't be asked now, and nothing was begun.
    NoOwner,
    /// There is no room for a batch job.
    Full,
    /// Another tenant's batch job has the id.
    IdTaken,
    /// The batch job may have been taken, or not.
    InDoubt,
}

impl From<NoCandidate> for Refusal {
    fn from(no_candidate: NoCandidate) -> Self {
        match no_candidate {
            NoCandidate::EvacuationsUnknown => Self::EvacuationsUnknown,
            NoCandidate::NoReplica => Self::NoReplica,
            NoCandidate::OutsideRegions => Self::OutsideRegions,
            NoCandidate::Evacuated => Self::Evacuated,
            NoCandidate::Warming(left) => Self::Warming(left),
            NoCandidate::Quarantined => Self::Quarantined,
        }
    }
}

impl Refusal {
    const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::EvacuationsUnknown
            | Self::NoReplica
            | Self::OutsideRegions
            | Self::NoPlace
            | Self::Evacuated
            | Self::Quarantined
            | Self::Warming(_)
            | Self::NotRun
            | Self::NoOwner => StatusCode::SERVICE_UNAVAILABLE,
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
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTooSlow => "body_too_slow",
            Self::BadBody => "bad_body",
            Self::Incomplete => "incomplete",
            Self::UnknownBatch => "unknown_batch",
            Self::NoOwner => "no_owner",
            Self::Full => "full",
            Self::InDoubt => "in_doubt",
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::NoConfiguration => "come back once this node has read the configuration",
            Self::EvacuationsUnknown => "come back once this node has read which zones are evacuated",
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
            Self::NoReplica | Self::Warming(_) | Self::NotRun | Self::NoOwner | Self::Full => {
                "send it again, it has not run"
            }
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

    /// Why the caller should come back; `None` where the same request would be refused again.
    const fn retry_cause(self) -> Option<RetryCause> {
        match self {
            Self::NoReplica | Self::NotRun => Some(RetryCause::NoReplica),
            Self::Warming(left) => Some(RetryCause::Warming(left)),
            Self::Quarantined => Some(RetryCause::Quarantined),
            Self::NoConfiguration
            | Self::EvacuationsUnknown
            | Self::NoOwner
            | Self::Full
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

    /// The answer, with a decision and a line in the log that name the request.
    pub(super) fn respond<B>(self, context: &Context, request: &Request<B>) -> Response<Body> {
        let id = request.headers().get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
        self.respond_to(context, id)
    }

    /// The same, for the request with this id.
    pub(super) fn respond_to(self, context: &Context, request_id: Option<&str>) -> Response<Body> {
        self.respond_because(context, request_id, self.kind())
    }

    /// The same, with what exactly is wrong.
    pub(super) fn respond_because(
        self,
        context: &Context,
        request_id: Option<&str>,
        cause: &str,
    ) -> Response<Body> {
        self.answer(context, request_id, cause, &AllowedRegions::all())
    }

    /// The same, for a request that may be served in these regions: a refusal names them.
    pub(super) fn respond_within(
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
        let is_bound = !regions.is_all();
        if is_bound {
            context.metrics.count_region_refusal(&regions.to_string(), self.kind());
        }
        context.decisions.record(if is_bound { decision.with("regions", regions) } else { decision });
        let body = ErrorBody::new(self.kind(), format!("the request was refused: {cause}"), self.remedy());
        let mut answer = response::json(self.status(), &body);
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
