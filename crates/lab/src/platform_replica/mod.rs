//! A stand-in for a replica of the users' platform: plain requests, streams of numbered events, reports and orders, and
//! the ways in which replicas fail.
//!
//! Owns what the replica is made of and what it has run. Relies on the lab's HTTP server and on the platform crate's
//! names.

mod answers;
mod cold;
mod event_stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use lichenpulley_core::ingress::replicas::ReplicaIncarnation;
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_platform::replica::{LoadOrder, ModelState};

use crate::error::LabError;
use crate::http::{self, ANY_PORT, Server};
use crate::locked::lock;
use cold::ColdStretch;

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// As it should.
    #[default]
    Well,
    /// It states that it runs nothing.
    Rejects,
    /// It runs requests, and their answers are lost.
    LosesAnswers,
    /// It takes so long for each plain answer, and before each event of a stream.
    Takes(Duration),
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
pub struct ReplicaPlan {
    /// Its id, which later incarnations may have as well.
    pub id: String,
    /// Events of each stream.
    pub events: u64,
    /// Pause before each event.
    pub pause: Duration,
    /// Its models.
    pub models: BTreeMap<String, u64>,
    /// The body of requests under which it ends, like a process that crashes.
    pub crash_on_body: Option<Bytes>,
}

struct State {
    plan: ReplicaPlan,
    behaviour: ReplicaBehaviour,
    seen: Vec<SeenRequest>,
    orders: Vec<LoadOrder>,
    /// When it started, in milliseconds since the Unix epoch.
    started_at_ms: u64,
    /// Streams whose reader left before their end.
    abandoned: u64,
    cold: Option<ColdStretch>,
    /// None once it has ended.
    server: Option<Server>,
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
pub async fn start(plan: ReplicaPlan) -> Result<Replica, LabError> {
    start_at(ANY_PORT, plan).await
}

/// Starts a replica at an address, such as that of an earlier incarnation.
///
/// # Errors
/// When the address can't be had.
pub async fn start_at(address: SocketAddr, plan: ReplicaPlan) -> Result<Replica, LabError> {
    let behaviour = ReplicaBehaviour::Well;
    let state = State {
        plan,
        behaviour,
        seen: Vec::new(),
        orders: Vec::new(),
        started_at_ms: unix_milliseconds(),
        abandoned: 0,
        cold: None,
        server: None,
    };
    let state = Arc::new(Mutex::new(state));
    let answering = Arc::clone(&state);
    let handler = move |request| answers::answer(Arc::clone(&answering), request);
    let server = http::serve(address, handler).await?;
    let address = server.address;
    lock(&state).server = Some(server);
    Ok(Replica { address, state })
}

impl Replica {
    /// Behaves otherwise from now on.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Turns cold for `lasts`; beyond `stands` requests in one second it falls over.
    pub fn turn_cold(&self, lasts: Duration, stands: usize) {
        let until = Instant::now() + lasts;
        lock(&self.state).cold = Some(ColdStretch::new(until, stands));
    }

    /// Whether it got more than it stands while it was cold.
    pub fn has_failed(&self) -> bool {
        lock(&self.state).cold.as_ref().is_some_and(|cold| cold.has_failed)
    }

    /// Its id, which later incarnations may have as well.
    pub fn id(&self) -> String {
        lock(&self.state).plan.id.clone()
    }

    /// The id of this incarnation as nodes know it.
    pub fn incarnation(&self) -> String {
        let state = lock(&self.state);
        ReplicaIncarnation { name: &state.plan.id, started_at_ms: Some(state.started_at_ms) }.to_string()
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
            "born": state.started_at_ms,
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

fn models(plan: &ReplicaPlan) -> Vec<ModelState> {
    plan.models.iter().map(|(name, version)| ModelState { name: name.clone(), version: *version }).collect()
}
