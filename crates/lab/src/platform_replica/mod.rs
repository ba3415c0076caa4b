//! A stand-in for a replica of the users' platform: plain requests, streams of numbered events, reports and orders, and
//! the ways in which replicas fail.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::ingress::replicas::ReplicaIncarnation;
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_platform::headers;
use lichenpulley_platform::replica::{LoadOrder, ModelState, ORDER_PATH, REPORT_PATH, ReplicaReport};

use crate::error::LabError;
use crate::http::{self, Body, Reply, Server};

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// As it should.
    #[default]
    Well,
    /// It states that it runs nothing.
    Rejects,
    /// It runs requests, and their answers are lost.
    LosesAnswers,
    /// It answers that each run failed.
    Fails,
    /// It breaks streams off after so many events.
    BreaksAfter(u64),
    /// Its answers carry the id of another request.
    AnswersForAnother,
}

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRequest {
    /// Its id.
    pub id: String,
    /// Method, path and query.
    pub line: String,
    /// Header fields in lower case.
    pub headers: BTreeMap<String, String>,
    /// Its body.
    pub body: Bytes,
    /// When it was read whole.
    pub at: Instant,
}

/// What a replica is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its id, which later lives may have as well.
    pub id: String,
    /// Events of each stream.
    pub events: u64,
    /// Pause before each event.
    pub pause: Duration,
    /// Its models.
    pub models: BTreeMap<String, u64>,
    /// The body of requests under which it ends, like a process that crashes.
    pub ends_on: Option<Bytes>,
}

struct State {
    plan: Plan,
    behaviour: Behaviour,
    seen: Vec<SeenRequest>,
    orders: Vec<LoadOrder>,
    /// When it started, in milliseconds since the Unix epoch.
    born_ms: u64,
    /// Streams whose reader left before their end.
    abandoned: u64,
    cold: Option<Cold>,
    /// None once it has ended.
    server: Option<Server>,
}

/// A replica that bears little for a while.
struct Cold {
    until: Instant,
    /// Requests in one second beyond which it falls over, for good.
    stands: usize,
    arrivals: VecDeque<Instant>,
    has_fallen: bool,
}

impl Cold {
    /// Takes a request; returns whether it is borne.
    fn bears(&mut self, now: Instant) -> bool {
        if now < self.until {
            self.arrivals.push_back(now);
        }
        while self.arrivals.front().is_some_and(|arrival| now - *arrival >= Duration::from_secs(1)) {
            self.arrivals.pop_front();
        }
        self.has_fallen |= self.arrivals.len() > self.stands;
        !self.has_fallen
    }
}

/// Counts a stream that is dropped before its end.
struct StreamGuard {
    state: Arc<Mutex<State>>,
    is_whole: bool,
    /// Whether the replica ends under it.
    ends: bool,
}

impl StreamGuard {
    /// The stream has ended by itself.
    fn finish(mut self) {
        self.is_whole = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.is_whole {
            lock(&self.state).abandoned += 1;
        }
    }
}

/// A running stand-in.
pub struct Replica {
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Starts a replica on a free loopback port.
///
/// # Errors
/// When no port can be had.
pub async fn start(plan: Plan) -> Result<Replica, LabError> {
    start_at(SocketAddr::from(([127, 0, 0, 1], 0)), plan).await
}

/// Starts a replica at an address, such as that of an earlier life.
///
/// # Errors
/// When the address can't be had.
pub async fn start_at(address: SocketAddr, plan: Plan) -> Result<Replica, LabError> {
    let behaviour = Behaviour::Well;
    let state = State {
        plan,
        behaviour,
        seen: Vec::new(),
        orders: Vec::new(),
        born_ms: unix_milliseconds(),
        abandoned: 0,
        cold: None,
        server: None,
    };
    let state = Arc::new(Mutex::new(state));
    let answering = Arc::clone(&state);
    let handler = move |request| answer(Arc::clone(&answering), request);
    let server = http::serve(address, handler).await?;
    let address = server.address;
    lock(&state).server = Some(server);
    Ok(Replica { address, state })
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Replica {
    /// Behaves otherwise from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Turns cold for so long; beyond so many requests in one second it falls over.
    pub fn turn_cold(&self, lasts: Duration, stands: usize) {
        let until = Instant::now() + lasts;
        lock(&self.state).cold = Some(Cold { until, stands, arrivals: VecDeque::new(), has_fallen: false });
    }

    /// Whether it got more than it stands while it was cold.
    pub fn has_fallen(&self) -> bool {
        lock(&self.state).cold.as_ref().is_some_and(|cold| cold.has_fallen)
    }

    /// Its id, which later lives may have as well.
    pub fn id(&self) -> String {
        lock(&self.state).plan.id.clone()
    }

    /// The id of this life as nodes know it.
    pub fn life(&self) -> String {
        let state = lock(&self.state);
        ReplicaIncarnation { name: &state.plan.id, born_ms: Some(state.born_ms) }.to_string()
    }

    /// Events of each stream.
    pub fn events(&self) -> u64 {
        lock(&self.state).plan.events
    }

    /// Ends, like a process that crashes: its connections close, and new ones are refused.
    pub fn end(&self) {
        crash(&self.state);
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        lock(&self.state).server.is_none()
    }

    /// Requests that it began to run, in order.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state).seen.clone()
    }

    /// How many streams it stopped because their reader had left.
    pub fn abandoned_streams(&self) -> u64 {
        lock(&self.state).abandoned
    }

    /// Orders that it took, in order.
    pub fn orders(&self) -> Vec<LoadOrder> {
        lock(&self.state).orders.clone()
    }

    /// What it writes into the metadata store.
    pub fn record(&self, service: &str, zone: &str) -> serde_json::Value {
        let state = lock(&self.state);
        let cold_left = state.cold.as_ref().map(|cold| cold.until.saturating_duration_since(Instant::now()));
        let cold_left_ms = cold_left.unwrap_or_default().as_secs_f64() * 1_000.0;
        serde_json::json!({
            "service": service, "address": self.address.to_string(), "zone": zone, "version": "v1", "slots": 4,
            "state": "ready", "cold_left_ms": cold_left_ms, "stage": "both", "models": models(&state.plan), "seq": 1,
            "born": state.born_ms,
        })
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        // The handler of the server holds the state, and the state the server.
        self.end();
    }
}

fn crash(state: &Mutex<State>) {
    let server = lock(state).server.take();
    drop(server);
}

fn models(plan: &Plan) -> Vec<ModelState> {
    plan.models.iter().map(|(name, version)| ModelState { name: name.clone(), version: *version }).collect()
}

async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, REPORT_PATH) => report(&state).into(),
        (&Method::POST, ORDER_PATH) => order(&state, request).await.into(),
        _ => run(&state, request).await,
    }
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
        born: Some(state.born_ms),
    };
    http::json(StatusCode::OK, &report)
}

async fn order(state: &Mutex<State>, request: Request<Incoming>) -> Response<Body> {
    let order: LoadOrder = match http::read_json(request).await {
        Ok(order) => order,
        Err(refusal) => return refusal,
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
        Err(refusal) => return refusal.into(),
    };
    let (plan, behaviour) = {
        let state = lock(state);
        (state.plan.clone(), state.behaviour)
    };
    let expected = seen.headers.get(headers::EXPECT_REPLICA);
    if expected.is_some_and(|expected| expected != &plan.id) {
        return http::empty(StatusCode::MISDIRECTED_REQUEST).into();
    }
    let is_borne = lock(state).cold.as_mut().is_none_or(|cold| cold.bears(Instant::now()));
    if !is_borne {
        return Reply::Hang;
    }
    if behaviour == Behaviour::Rejects {
        return signed(StatusCode::SERVICE_UNAVAILABLE, &seen.id, &[(headers::NOT_RUN, "1")]).into();
    }
    lock(state).seen.push(seen.clone());
    let is_stream = seen.line.contains("/stream/");
    let ends = plan.ends_on.as_ref() == Some(&seen.body);
    if ends && !is_stream {
        tokio::time::sleep(plan.pause).await;
        crash(state);
        return Reply::Hang;
    }
    match behaviour {
        Behaviour::LosesAnswers => Reply::Hang,
        Behaviour::Fails => signed(StatusCode::INTERNAL_SERVER_ERROR, &seen.id, &[]).into(),
        Behaviour::AnswersForAnother => signed(StatusCode::OK, "another", &[]).into(),
        _ if is_stream => {
            let guard = StreamGuard { state: Arc::clone(state), is_whole: false, ends };
            events(&plan, behaviour, &seen, guard).into()
        }
        _ => {
            let mut answer = signed(StatusCode::OK, &seen.id, &[]);
            *answer.body_mut() = http_body_util::Full::new(seen.body).map_err(|never| match never {}).boxed();
            answer.into()
        }
    }
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

/// Requests whose ids begin so get a signature that names them, so that a score shows which request it came of.
const SCORE_ID_PREFIX: &str = "score-";

fn signed(status: StatusCode, id: &str, more: &[(&'static str, &'static str)]) -> Response<Body> {
    let mut answer = http::empty(status);
    let fields = answer.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        fields.insert(headers::REQUEST_ID, id);
    }
    let seal = if id.starts_with(SCORE_ID_PREFIX) { format!("seal of {id}") } else { "seal".to_owned() };
    if let Ok(seal) = HeaderValue::from_str(&seal) {
        fields.insert(headers::SIGNATURE, seal);
    }
    for (name, value) in more {
        fields.insert(*name, HeaderValue::from_static(value));
    }
    answer
}

/// Events of a stream before the replica ends under it.
const EVENTS_BEFORE_END: u64 = 2;

/// A stream of numbered events after the one that the reader has.
fn events(plan: &Plan, behaviour: Behaviour, seen: &SeenRequest, guard: StreamGuard) -> Response<Body> {
    let last = seen.headers.get(headers::LAST_EVENT_ID).and_then(|number| number.parse::<u64>().ok());
    let first = last.map_or(0, |number| number + 1);
    let broken_at = match behaviour {
        Behaviour::BreaksAfter(events) => first + events,
        _ if guard.ends => first + EVENTS_BEFORE_END,
        _ => u64::MAX,
    };
    let (pause, end) = (plan.pause, plan.events);
    let frames = stream::unfold((first, guard), move |(number, mut guard)| async move {
        if number >= broken_at && number < end {
            let broken = std::io::Error::new(std::io::ErrorKind::ConnectionReset, "broken off on purpose");
            guard.is_whole = true;
            if guard.ends {
                crash(&guard.state);
            }
            return Some((Err(broken), (u64::MAX, guard)));
        }
        if number >= end {
            guard.finish();
            return None;
        }
        tokio::time::sleep(pause).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), (number + 1, guard)))
    });
    let mut answer = signed(StatusCode::OK, &seen.id, &[]);
    let fields = answer.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    let version = plan.models.values().copied().max().unwrap_or(1);
    fields.insert(headers::WEIGHT_VERSION, HeaderValue::from(version));
    *answer.body_mut() = StreamBody::new(frames).boxed();
    answer
}
