//! Request handler of a simulated replica: reports, load orders, and other requests according to its behaviour.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_platform::headers;
use lichenpulley_platform::replica::{LoadOrder, ORDER_PATH, REPORT_PATH, ReplicaReport};

use super::event_stream::{StreamGuard, events};
use super::{HEALTH_PATH, ReplicaBehaviour, SeenRequest, State, crash, models};
use crate::http::{self, Body, Reply};
use crate::locked::lock;

pub(super) async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, REPORT_PATH) => report(&state).into(),
        (&Method::POST, ORDER_PATH) => order(&state, request).await.into(),
        (&Method::GET, HEALTH_PATH) => {
            lock(&state).health_checks += 1;
            with_load(&state, http::empty(StatusCode::OK).into())
        }
        _ => cut_head(&state, with_load(&state, run(&state, request).await)),
    }
}

/// Size of the part of each head at some byte of which it is cut; no head is shorter.
const CUT_RANGE_BYTES: usize = 96;

/// Cuts the head of every second answer if that is the replica's behaviour, each at another byte.
fn cut_head(state: &Mutex<State>, reply: Reply) -> Reply {
    let state = lock(state);
    let is_cut = state.behaviour == ReplicaBehaviour::CutsHeads && state.seen.len().is_multiple_of(2);
    match reply {
        Reply::Send(answer) if is_cut => Reply::Cut(answer, state.seen.len() / 2 % CUT_RANGE_BYTES),
        other => other,
    }
}

/// Adds the reported load to an answer.
fn with_load(state: &Mutex<State>, mut reply: Reply) -> Reply {
    let load = lock(state).load;
    if let (Reply::Send(answer), Some(load)) = (&mut reply, load)
        && let Ok(load) = HeaderValue::from_str(&headers::format_load(&load))
    {
        answer.headers_mut().insert(headers::LOAD, load);
    }
    reply
}

fn report(state: &Mutex<State>) -> Response<Body> {
    let state = lock(state);
    let report = ReplicaReport {
        models: models(&state.plan),
        num_busy: false,
        seq: state.orders.len() as u64,
        num_waiting: 0,
        num_running: 0,
        kv_used: 0,
        kv_total: 100_000,
        born: Some(state.started_at_ms),
    };
    http::json(StatusCode::OK, &report)
}

async fn order(state: &Mutex<State>, request: Request<Incoming>) -> Response<Body> {
    let order: LoadOrder = match http::read_json(request).await {
        Ok(order) => order,
        Err(error_response) => return error_response,
    };
    let mut state = lock(state);
    let highest_fence = state.orders.iter().map(|order| order.fence).max().unwrap_or(0);
    if order.fence < highest_fence {
        return http::empty(StatusCode::PRECONDITION_FAILED);
    }
    if order.expect_rev != state.orders.len() as u64 {
        return http::empty(StatusCode::CONFLICT);
    }
    state.plan.models.insert(order.model.clone(), order.version);
    state.orders.push(order);
    http::empty(StatusCode::ACCEPTED)
}

async fn run(state: &Arc<Mutex<State>>, request: Request<Incoming>) -> Reply {
    let seen = match read(request).await {
        Ok(seen) => seen,
        Err(error_response) => return error_response.into(),
    };
    let (plan, behaviour) = {
        let state = lock(state);
        (state.plan.clone(), state.behaviour)
    };
    let expected = seen.headers.get(headers::EXPECT_REPLICA);
    if expected.is_some_and(|expected| expected != &plan.id) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST).into();
    }
    let survives = lock(state).cold.as_mut().is_none_or(|cold| cold.survives_request(Instant::now()));
    if !survives {
        return Reply::Hang;
    }
    if behaviour == ReplicaBehaviour::Rejects {
        return signed(StatusCode::SERVICE_UNAVAILABLE, &seen.id, &[(headers::NOT_RUN, "1")]).into();
    }
    lock(state).seen.push(seen.clone());
    let is_stream = seen.line.contains("/stream/");
    let crashes = plan.crash_on_body.as_ref() == Some(&seen.body);
    if crashes && !is_stream {
        tokio::time::sleep(plan.pause).await;
        crash(state);
        return Reply::Hang;
    }
    match behaviour {
        ReplicaBehaviour::LosesAnswers => Reply::Hang,
        ReplicaBehaviour::AnswersBriefly if !is_stream => signed(StatusCode::OK, &seen.id, &[]).into(),
        ReplicaBehaviour::Fails => signed(StatusCode::INTERNAL_SERVER_ERROR, &seen.id, &[]).into(),
        ReplicaBehaviour::AnswersForAnother => signed(StatusCode::OK, "another", &[]).into(),
        _ if is_stream => {
            let guard = StreamGuard { state: Arc::clone(state), is_finished: false, crashes };
            events(&plan, behaviour, &seen, guard).into()
        }
        _ => {
            if let ReplicaBehaviour::Takes(time) = behaviour {
                tokio::time::sleep(time).await;
            }
            let mut answer = signed(StatusCode::OK, &seen.id, &[]);
            *answer.body_mut() = match behaviour {
                ReplicaBehaviour::DelaysBody(time) => delayed_body(seen.body, time),
                _ => http_body_util::Full::new(seen.body).map_err(|never| match never {}).boxed(),
            };
            answer.into()
        }
    }
}

fn delayed_body(body: Bytes, time: Duration) -> Body {
    let frame = async move {
        tokio::time::sleep(time).await;
        Ok(Frame::data(body))
    };
    StreamBody::new(stream::once(frame)).boxed()
}

async fn read(request: Request<Incoming>) -> Result<SeenRequest, Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|error| http::bad_request(&error.to_string()))?;
    let fields = parts.headers.iter().map(|(name, value)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    let fields: BTreeMap<String, String> = fields.collect();
    let id = fields.get(headers::REQUEST_ID).cloned().unwrap_or_default();
    let line = format!("{} {}", parts.method, parts.uri);
    Ok(SeenRequest { id, line, headers: fields, body: body.to_bytes(), at: Instant::now() })
}

/// Id prefix of score requests, whose signature contains the id, so that a score identifies the request that gave it.
const SCORE_ID_PREFIX: &str = "score-";

pub(super) fn signed(
    status: StatusCode,
    id: &str,
    extra_headers: &[(&'static str, &'static str)],
) -> Response<Body> {
    let mut answer = http::empty(status);
    let fields = answer.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        fields.insert(headers::REQUEST_ID, id);
    }
    let signature = if id.starts_with(SCORE_ID_PREFIX) { format!("seal of {id}") } else { "seal".to_owned() };
    if let Ok(signature) = HeaderValue::from_str(&signature) {
        fields.insert(headers::SIGNATURE, signature);
    }
    for (name, value) in extra_headers {
        fields.insert(*name, HeaderValue::from_static(value));
    }
    answer
}
