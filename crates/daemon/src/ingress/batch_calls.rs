//! Serves callers' batch job calls: submits jobs and reads their results and item bodies.
//!
//! Calls are forwarded to the owner of the job's shard through `batch`. [`job_placement`] selects the shard
//! that stores a new job.

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_core::intake::json;
use lichenpulley_platform::{batch, headers as names};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, ListedResult};
use std::time::Duration;
use tokio::time::Instant;

use super::callers::Caller;
use super::refusal::Refusal;
use super::request_body::read_body;
use super::{Ingress, headers, job_placement, metadata_wait};
use crate::batch::JobShard;
use crate::http::request_body::BodyBounds;
use crate::http::{Body, request, response};

/// Time limit for receiving the body of a job.
const JOB_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Copies of a job's text while it is taken: decoded, for another try at its owner, in the owner's state, in the log's record,
/// and in frames to the stores and their buffers.
const JOB_COPIES: u64 = 6;
/// Longest wait for new results in one read, in milliseconds.
const MAX_READ_WAIT_MS: u64 = 5_000;

/// Whether a path refers to an existing batch job or one of its items.
pub(super) fn is_batch_call(path: &str) -> bool {
    path.starts_with(batch::JOB_PREFIX) || path.starts_with(batch::ITEM_PREFIX)
}

/// Submits a batch job to the owner of its shard.
pub(super) async fn submit(
    ingress: &Ingress,
    table: &RouteTable,
    route: &Route,
    caller: &Caller,
    host: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let Some(id) = headers::text(request.headers(), names::REQUEST_ID).map(str::to_owned) else {
        return Refusal::Incomplete.respond(&ingress.context, &request);
    };
    let refuse = |refusal: Refusal| refusal.respond_to(&ingress.context, Some(&id));
    let deadline = Instant::now() + JOB_BODY_TIMEOUT;
    let (parts, body) = request.into_parts();
    let bounds = BodyBounds { bytes: table.limits.body_bytes, deadline };
    let mut body = match read_body(&parts, body, bounds, &ingress.context.body_memory).await {
        Ok(body) => body,
        Err(refusal) => return refuse(refusal),
    };
    if body.cover_more(json::memory_bytes(body.as_slice(), JOB_COPIES)).await.is_err() {
        return refuse(Refusal::NoBodyMemory);
    }
    let tenant = caller.tenant().cloned();
    let job = batch::read_job(BatchId::new(id.clone()), host, &route.name, tenant, body.as_slice());
    // The memory is held until the owner has the job, which is encoded for it.
    let _hold = body.into_hold();
    let job = match job.map_err(|error| error.to_string()).and_then(|job| check_scorers(table, job)) {
        Ok(job) => job,
        Err(cause) => {
            ::log::info!(target: "batch", "Batch job {id} is refused: {cause}.");
            return Refusal::BadBody.respond_with_cause(&ingress.context, Some(&id), &cause);
        }
    };
    let regions = table.allowed_regions(route, job.tenant.as_ref());
    if !regions.is_all() {
        metadata_wait::wait_until_routable(ingress, Some(&id), deadline).await;
    }
    let shard = match job_placement::shard(ingress, table, route, &regions, &job) {
        Ok(shard) => shard,
        Err(refusal) => return refusal.respond_with_regions(&ingress.context, Some(&id), &regions),
    };
    match submit_to(ingress, &shard, job).await {
        Ok(()) => empty_response(StatusCode::ACCEPTED, &id),
        Err(refusal) => refuse(refusal),
    }
}

/// Submits a job to the owner of `shard` and remembers the shard of an accepted job.
async fn submit_to(ingress: &Ingress, shard: &JobShard, job: BatchJob) -> Result<(), Refusal> {
    let batch = job.id.clone();
    match shard.ask(BatchRequest::Submit(job)).await {
        BatchResponse::Taken => {
            ingress.batch.remember(&batch, shard);
            Ok(())
        }
        BatchResponse::Full => Err(Refusal::Full),
        BatchResponse::IdTaken => Err(Refusal::IdTaken),
        BatchResponse::Unavailable => Err(Refusal::NoOwner),
        _ => Err(Refusal::InDoubt),
    }
}

/// Returns the job if every scorer host has a route, and a description of the problem otherwise.
fn check_scorers(table: &RouteTable, job: BatchJob) -> Result<BatchJob, String> {
    match unknown_scorer_host(table, &job) {
        Some(host) => {
            Err(format!("no route has the host {host}, which the field `scorer.host` of an item names"))
        }
        None => Ok(job),
    }
}

/// Returns the first scorer host that no route serves. Paths are not checked, since a route for them may be
/// added while the job is open.
fn unknown_scorer_host<'a>(table: &RouteTable, job: &'a BatchJob) -> Option<&'a str> {
    let hosts = job.items.iter().filter_map(|item| item.scorer.as_ref()).map(|scorer| scorer.host.as_str());
    let mut checked = None;
    for host in hosts {
        if checked == Some(host) {
            continue;
        }
        checked = Some(host);
        if !table.routes.iter().any(|route| route.host == host) {
            return Some(host);
        }
    }
    None
}

/// Answers a call for an existing job.
pub(super) async fn handle(ingress: &Ingress, caller: &Caller, call: Request<Incoming>) -> Response<Body> {
    let path = call.uri().path().to_owned();
    let method = call.method().clone();
    if let Some(id) = path.strip_prefix(batch::JOB_PREFIX) {
        let id = BatchId::new(id);
        return match method {
            Method::GET => read(ingress, caller, id, &call).await,
            // `ends` holds this end since it was read before the first configuration; the caller has to
            // retry.
            Method::DELETE => Refusal::NoConfiguration.respond(&ingress.context, &call),
            _ => Refusal::NoRoute.respond(&ingress.context, &call),
        };
    }
    let item = request::query_parameter(&call, batch::ITEM_PARAMETER);
    match (path.strip_prefix(batch::ITEM_PREFIX), item) {
        (Some(id), Some(item)) if method == Method::GET => {
            item_body(ingress, caller, BatchId::new(id), item).await
        }
        (Some(_), None) => Refusal::Incomplete.respond(&ingress.context, &call),
        _ => Refusal::NoRoute.respond(&ingress.context, &call),
    }
}

async fn read(
    ingress: &Ingress,
    caller: &Caller,
    batch: BatchId,
    call: &Request<Incoming>,
) -> Response<Body> {
    let from = request::query_parameter(call, batch::FROM_PARAMETER);
    let Ok(from) = from.map_or(Ok(0), |from| from.parse::<u64>()) else {
        return Refusal::Incomplete.respond(&ingress.context, call);
    };
    // A missing or invalid wait time means no wait.
    let wait_ms = headers::text(call.headers(), names::WAIT_MS).and_then(|wait| wait.trim().parse().ok());
    let wait_ms = wait_ms.unwrap_or(0).min(MAX_READ_WAIT_MS);
    if !ingress.unread.admits() {
        return Refusal::UnreadAnswers.respond(&ingress.context, call);
    }
    let subject = batch.to_string();
    let caller = caller.tenant().cloned();
    let request = BatchRequest::Read { batch: batch.clone(), from, wait_ms, caller };
    match ingress.batch.ask_about(&batch, request).await {
        BatchResponse::Results { total, results } => write_results(ingress, &subject, total, from, results),
        other => refuse(ingress, &subject, &other),
    }
}

fn write_results(
    ingress: &Ingress,
    subject: &str,
    total: u64,
    from: u64,
    results: Vec<ListedResult>,
) -> Response<Body> {
    let results: Vec<_> = results.into_iter().map(|listed| (listed.item, listed.result)).collect();
    let total = usize::try_from(total).unwrap_or(usize::MAX);
    match batch::write_results(total, from, &results) {
        Ok(body) => {
            let mut answer = Response::new(response::full(body));
            answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
        }
        Err(error) => {
            ::log::error!(target: "batch", "Failed to encode batch results: {error}.");
            Refusal::NoOwner.respond_to(&ingress.context, Some(subject))
        }
    }
}

async fn item_body(ingress: &Ingress, caller: &Caller, batch: BatchId, item: String) -> Response<Body> {
    let subject = item.clone();
    let request = BatchRequest::ItemBody { batch: batch.clone(), item, caller: caller.tenant().cloned() };
    match ingress.batch.ask_about(&batch, request).await {
        BatchResponse::Body(body) => Response::new(response::full(body)),
        other => refuse(ingress, &subject, &other),
    }
}

/// Returns the refusal of a read or an end that failed. Both are safe to repeat, so every response other than
/// an unknown job asks the caller to retry.
pub(super) fn refuse(ingress: &Ingress, subject: &str, response: &BatchResponse) -> Response<Body> {
    let refusal = match response {
        BatchResponse::Unknown => Refusal::UnknownBatch,
        _ => Refusal::NoOwner,
    };
    refusal.respond_to(&ingress.context, Some(subject))
}

pub(super) fn empty_response(status: StatusCode, id: &str) -> Response<Body> {
    let mut answer = response::empty(status);
    if let Ok(id) = HeaderValue::from_str(id) {
        answer.headers_mut().insert(names::REQUEST_ID, id);
    }
    answer
}
