//! HTTP interface for rollout jobs and weights.
//!
//! Maps paths to coordinator requests, validates them and maps the answers to HTTP statuses. Relies on the
//! coordinator to send each request to the owner of its shard.

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::configuration::schema::{ROLLOUTS_ENABLED, STALENESS_BOUND};
use lichenpulley_core::identity::{JobId, PoolName};
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_protocol::caller::{JobSpecification, PublishWeights, PullRequest};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};

use super::{Coordinator, ask_owner};
use crate::context::Context;
use crate::http::Body;
use crate::http::request::{BadRequest, Held, percent_decode, read_json};
use crate::http::response;

/// Returns whether this module handles a path of the callers' interface.
pub fn handles_path(path: &str) -> bool {
    path == "/v1/jobs" || path.starts_with("/v1/jobs/") || path.starts_with("/v1/pools/")
}

/// Handles a request about jobs or weights.
pub async fn handle(
    context: &Context,
    coordinator: &Coordinator,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Held { value: coordinator_request, hold: _hold } = match read_request(context, request, &path).await {
        Ok(Some(read)) => read,
        Ok(None) => return response::not_found(&path),
        Err(bad_request) => return bad_request.into(),
    };
    if let CoordinatorRequest::SubmitJob(specification) = &coordinator_request
        && let Some(refusal) = refuse_submission(context, specification)
    {
        return response::error(StatusCode::BAD_REQUEST, &refusal);
    }
    answer(ask_owner(context, coordinator, coordinator_request).await)
}

async fn read_request(
    context: &Context,
    request: Request<Incoming>,
    path: &str,
) -> Result<Option<Held<CoordinatorRequest>>, BadRequest> {
    let limit = context.settings.gateway.body_limit_bytes;
    let memory = &context.body_memory;
    let method = request.method().clone();
    let segments: Vec<String> = path.split('/').skip(2).map(percent_decode).collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let without_body = |value| Held { value, hold: None };
    let read = match (method, segments.as_slice()) {
        (Method::POST, ["jobs"]) => {
            read_json::<JobSpecification>(request, limit, memory).await?.map(CoordinatorRequest::SubmitJob)
        }
        (Method::GET, ["jobs", job]) => without_body(CoordinatorRequest::JobStatus(JobId::new(*job))),
        (Method::POST, ["jobs", job, "pull"]) => {
            let pull = read_json::<PullRequest>(request, limit, memory).await?;
            pull.map(|pull| CoordinatorRequest::Pull(JobId::new(*job), pull))
        }
        (Method::POST, ["pools", pool, "weights"]) => {
            let publish = read_json::<PublishWeights>(request, limit, memory).await?;
            publish.map(|publish| CoordinatorRequest::PublishWeights(PoolName::new(*pool), publish))
        }
        (Method::GET, ["pools", pool, "weights"]) => {
            without_body(CoordinatorRequest::WeightsStatus(PoolName::new(*pool)))
        }
        _ => return Ok(None),
    };
    Ok(Some(read))
}

/// Validates a submission before it is sent to the owner; returns the error of an invalid one.
fn refuse_submission(context: &Context, specification: &JobSpecification) -> Option<ErrorBody> {
    if let Err(error) = specification.validate() {
        let remedy = "mend the specification and submit it again";
        return Some(ErrorBody::new("bad_specification", error.to_string(), remedy));
    }
    if context.settings.platform.scorer.is_none() {
        let message = "this node knows no scorer, so no sample could be finished";
        return Some(ErrorBody::new("no_scorer", message, "set `platform.scorer` on every coordinator"));
    }
    refuse_by_configuration(context, specification)
}

/// Returns an error if the operators' settings tree does not allow the submission.
fn refuse_by_configuration(context: &Context, specification: &JobSpecification) -> Option<ErrorBody> {
    let JobSpecification { job, pool, staleness_bound, .. } = specification;
    let configuration = context.configuration.load();
    let path = configuration.tree.job_path(pool, job);
    let highest = configuration.integer(&path, &STALENESS_BOUND);
    if *staleness_bound > highest {
        let message =
            format!("the staleness bound is {staleness_bound}, and {path} allows {highest} at most");
        let remedy = "lower it, or have an operator raise `staleness_bound` there";
        return Some(ErrorBody::new("staleness_bound_too_high", message, remedy));
    }
    if !configuration.boolean(&configuration.tree.pool_path(pool), &ROLLOUTS_ENABLED) {
        let message = format!("rollouts are switched off for pool {pool}");
        let remedy = "choose another pool, or have an operator set `rollouts_enabled`";
        return Some(ErrorBody::new("rollouts_disabled", message, remedy));
    }
    None
}

/// Converts an owner's answer to an HTTP response.
pub(crate) fn answer(answered: CoordinatorResponse) -> Response<Body> {
    match answered {
        CoordinatorResponse::Job(status) => response::json(StatusCode::OK, &status),
        CoordinatorResponse::Samples(samples) => response::json(StatusCode::OK, &samples),
        CoordinatorResponse::Weights(published) => response::json(StatusCode::OK, &published),
        CoordinatorResponse::WeightsStatus(status) => response::json(StatusCode::OK, &status),
        CoordinatorResponse::RoleChanged | CoordinatorResponse::Owned => {
            response::empty(StatusCode::NO_CONTENT)
        }
        CoordinatorResponse::NotOwner(_) => {
            let retry_after_ms = RetryCause::NoShardOwner.retry_after_ms();
            refusal("no_owner", "no owner answered", "ask again", retry_after_ms)
        }
        CoordinatorResponse::Refused { kind, message, remedy, retry_after_ms } => {
            refusal(&kind, &message, &remedy, retry_after_ms)
        }
    }
}

fn refusal(kind: &str, message: &str, remedy: &str, retry_after_ms: u64) -> Response<Body> {
    let mut body = ErrorBody::new(kind, message, remedy);
    if retry_after_ms > 0 {
        body.retry_after_ms = Some(retry_after_ms);
    }
    response::error(status_of(kind, retry_after_ms), &body)
}

fn status_of(kind: &str, retry_after_ms: u64) -> StatusCode {
    match kind {
        _ if retry_after_ms > 0 => StatusCode::SERVICE_UNAVAILABLE,
        "unknown_job" | "unknown_replica" => StatusCode::NOT_FOUND,
        "bad_specification" => StatusCode::BAD_REQUEST,
        "log_unusable" => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::CONFLICT,
    }
}
