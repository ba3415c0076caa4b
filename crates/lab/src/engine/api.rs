//! The engine's HTTP interface, and that of its faults.

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::identity::AttemptId;
use lichenpulley_daemon::http::request::{percent_decode, query_parameter};
use lichenpulley_protocol::engine::{Order, RefusalBody, RefusalReason, StreamRequest};
use lichenpulley_protocol::error::ErrorBody;

use super::event_source::EventSource;
use super::faults::EngineFault;
use super::model::SubmitError;
use super::service::SharedEngine;
use crate::http::{Body, Reply, bad_request, empty, json, not_found, read_json};

const STREAMS: &str = "/v1/streams";
const STREAM_PREFIX: &str = "/v1/streams/";
/// The wait that a refusal advises, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Answers one request to the engine.
pub async fn answer(shared: SharedEngine, request: Request<Incoming>) -> Reply {
    shared.thawed().await;
    let path = request.uri().path().to_owned();
    if let Some(attempt) = path.strip_prefix(STREAM_PREFIX) {
        let attempt = AttemptId::new(percent_decode(attempt));
        return answer_stream(shared, attempt, &request);
    }
    match (request.method(), path.as_str()) {
        (&Method::POST, STREAMS) => start_stream(shared, request).await,
        (&Method::GET, "/v1/load") => found(shared.lagging_load()),
        (&Method::GET, "/v1/cache-events") => found(shared.cache_events(number(&request, "after"))),
        (&Method::POST, "/v1/orders") => take_order(&shared, request).await,
        _ => not_found(&path).into(),
    }
}

/// Answers one request to the faults port.
pub async fn answer_faults(shared: SharedEngine, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/faults") => match read_json::<EngineFault>(request).await {
            Ok(fault) => {
                shared.inject(fault.clone()).await;
                json(StatusCode::OK, &fault).into()
            }
            Err(response) => response.into(),
        },
        (&Method::GET, "/faults") => json(StatusCode::OK, &shared.wire_faults()).into(),
        (&Method::GET, "/faults/counters") => json(StatusCode::OK, &shared.counters()).into(),
        (_, path) => not_found(path).into(),
    }
}

async fn start_stream(shared: SharedEngine, request: Request<Incoming>) -> Reply {
    let stream_request: StreamRequest = match read_json(request).await {
        Ok(stream_request) => stream_request,
        Err(response) => return response.into(),
    };
    let Some(outcome) = shared.submit(&stream_request) else {
        return Reply::Hang;
    };
    match outcome {
        Ok(_) => {
            let first = u32::try_from(stream_request.prior_tokens.len()).unwrap_or(u32::MAX);
            event_stream(EventSource::new(shared, stream_request.attempt, first)).into()
        }
        Err(SubmitError::Refused(reason)) => refused(stream_request.attempt, reason).into(),
        Err(error @ SubmitError::AttemptUsed(_)) => {
            let body = ErrorBody::new("attempt_used", error.to_string(), "use a new attempt id");
            json(StatusCode::CONFLICT, &body).into()
        }
        Err(error @ SubmitError::WrongPriorTokens(_)) => bad_request(&error.to_string()).into(),
    }
}

fn answer_stream(shared: SharedEngine, attempt: AttemptId, request: &Request<Incoming>) -> Reply {
    match *request.method() {
        Method::GET => {
            let from = u32::try_from(number(request, "from")).unwrap_or(u32::MAX);
            if shared.read(&attempt, from).is_none() {
                let message = format!("attempt {attempt} has no stream here, or not from token {from}");
                let body =
                    ErrorBody::new("unknown_stream", message, "start the stream, or resume it earlier");
                return json(StatusCode::NOT_FOUND, &body).into();
            }
            event_stream(EventSource::new(shared, attempt, from)).into()
        }
        Method::DELETE => {
            shared.cancel(&attempt);
            empty(StatusCode::NO_CONTENT).into()
        }
        _ => not_found(request.uri().path()).into(),
    }
}

async fn take_order(shared: &SharedEngine, request: Request<Incoming>) -> Reply {
    let order: Order = match read_json(request).await {
        Ok(order) => order,
        Err(response) => return response.into(),
    };
    match shared.order(&order) {
        Some(Ok(accepted)) => json(StatusCode::OK, &accepted).into(),
        Some(Err(refused)) => json(StatusCode::CONFLICT, &refused).into(),
        None => Reply::Hang,
    }
}

fn event_stream(source: EventSource) -> Response<Body> {
    let mut response = Response::new(source.into_body());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

fn refused(attempt: AttemptId, reason: RefusalReason) -> Response<Body> {
    let refusal = RefusalBody { attempt, reason, retry_after_ms: Some(RETRY_AFTER_MS) };
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &refusal);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_MS.div_ceil(1_000)));
    response
}

/// The value, or a lost connection while the engine is down.
fn found<Value: serde::Serialize>(value: Option<Value>) -> Reply {
    value.map_or(Reply::Hang, |value| json(StatusCode::OK, &value).into())
}

fn number(request: &Request<Incoming>, name: &str) -> u64 {
    query_parameter(request, name).and_then(|value| value.parse().ok()).unwrap_or_default()
}
