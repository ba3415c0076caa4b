//! Callers' calls for batch jobs: submits them, reads their results and item bodies, through the owner of
//! their shard.
//!
//! Owns nothing beyond one call. Relies on `batch` for the owner, and on [`job_placement`] for whether a job can
//! be kept.

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::batch::job::BatchJob;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_platform::{batch, headers as names};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, ListedResult};
use std::time::Duration;
use tokio::time::Instant;

use super::callers::Caller;
use super::refusal::Refusal;
use super::request_body::read_body;
use super::{Ingress, headers, job_placement};
use crate::batch::JobShard;
use crate::http::{Body, request, response};

/// A job whose body is not whole after this time is refused. Chosen, not measured: longer lets slow callers
/// hold memory.
const JOB_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a reader without new results is held, in milliseconds. Chosen, not measured: longer
/// holds connections, shorter has readers ask again more often.
const MAX_READ_WAIT_MS: u64 = 5_000;

/// Whether a path is a call for a batch job that was taken.
pub(super) fn is_call(path: &str) -> bool {
    path.starts_with(batch::JOB_PREFIX) || path.starts_with(batch::ITEM_PREFIX)
}

/// Takes a job.
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
    let limit = Instant::now() + JOB_BODY_TIMEOUT;
    let body = match read_body(request.into_body(), table.limits.body_bytes, limit).await {
        Ok(body) => body,
        Err(refusal) => return refuse(refusal),
    };
    let tenant = caller.tenant().cloned();
    let job = batch::read_job(BatchId::new(id.clone()), host, &route.name, tenant, &body);
    let job = match job.map_err(|error| error.to_string()).and_then(|job| check_scorers(table, job)) {
        Ok(job) => job,
        Err(cause) => {
            ::log::info!(target: "batch", "Batch job {id} is refused: {cause}.");
            return Refusal::BadBody.respond_because(&ingress.context, Some(&id), &cause);
        }
    };
    let regions = table.allowed_regions(route, job.tenant.as_ref());
    let shard = match job_placement::shard(ingress, table, route, &regions, &job) {
        Ok(shard) => shard,
        Err(refusal) => return refusal.respond_within(&ingress.context, Some(&id), &regions),
    };
    match submit_to(ingress, &shard, job).await {
        Ok(()) => answer_empty(StatusCode::ACCEPTED, &id),
        Err(refusal) => refuse(refusal),
    }
}

/// Has the owner of a shard take a job.
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

/// The job, where each scorer's host has a route; otherwise what is wrong with it.
fn check_scorers(table: &RouteTable, job: BatchJob) -> Result<BatchJob, String> {
    match unknown_scorer_host(table, &job) {
        Some(host) => {
            Err(format!("no route has the host {host}, which the field `scorer.host` of an item names"))
        }
        None => Ok(job),
    }
}

/// A host of a scorer that no route serves. A path without a route may get one while the job is open.
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

/// Answers a call for a job that was taken.
pub(super) async fn handle(ingress: &Ingress, caller: &Caller, call: Request<Incoming>) -> Response<Body> {
    let path = call.uri().path().to_owned();
    let method = call.method().clone();
    if let Some(id) = path.strip_prefix(batch::JOB_PREFIX) {
        let id = BatchId::new(id);
        return match method {
            Method::GET => read(ingress, caller, id, &call).await,
            // The first configuration came after this end was read: it is held, and nobody waits for it.
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
    // Without a time to wait, or with one that is no number, the answer comes at once.
    let wait_ms = headers::text(call.headers(), names::WAIT_MS).and_then(|wait| wait.trim().parse().ok());
    let wait_ms = wait_ms.unwrap_or(0).min(MAX_READ_WAIT_MS);
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
            ::log::error!(target: "batch", "Results can't be written: {error}.");
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

/// Reading and ending can always be repeated: whoever can't be sure says "come back".
pub(super) fn refuse(ingress: &Ingress, subject: &str, response: &BatchResponse) -> Response<Body> {
    let refusal = match response {
        BatchResponse::Unknown => Refusal::UnknownBatch,
        _ => Refusal::NoOwner,
    };
    refusal.respond_to(&ingress.context, Some(subject))
}

pub(super) fn answer_empty(status: StatusCode, id: &str) -> Response<Body> {
    let mut answer = response::empty(status);
    if let Ok(id) = HeaderValue::from_str(id) {
        answer.headers_mut().insert(names::REQUEST_ID, id);
    }
    answer
}
