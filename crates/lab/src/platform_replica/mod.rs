//! Simulated replica of the users' platform, for tests and the soak.
//!
//! It serves plain requests, streams of numbered events, reports and load orders over HTTP, records the requests that it
//! runs, and simulates the ways in which replicas fail.

mod answers;
mod cold;
mod event_stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::ReplicaIncarnation;
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_platform::replica::{LoadOrder, ModelState};

use crate::error::LabError;
use crate::http::{self, ANY_PORT, Server};
use crate::locked::lock;
use cold::ColdPeriod;

/// Path of health checks, which are answered at once.
pub const HEALTH_PATH: &str = "/-/health";

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// Works as specified.
    #[default]
    Well,
    /// Rejects each request and states that it was not run.
    Rejects,
    /// Runs requests and never responds.
    LosesAnswers,
    /// Takes this long for each plain response and before each event of a stream.
    Takes(Duration),
    /// Sends the head of each plain response at once and its body after this time.
    DelaysBody(Duration),
    /// Responds without the body of the request.
    AnswersBriefly,
    /// Responds that each request failed.
    Fails,
    /// Breaks each stream after this many events.
    BreaksAfter(u64),
    /// Responds with the id of another request.
    AnswersForAnother,
    /// Closes the connection of every second request within the head of its response.
    CutsHeads,
}

/// A request that a replica began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRequest {
    /// Request id.
    pub id: String,
    /// Method, path and query.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Request body.
    pub body: Bytes,
    /// When the request was read to its end.
    pub at: Instant,
}

/// Parameters of a simulated replica.
#[derive(Clone, Debug)]
pub struct ReplicaPlan {
    /// Replica id, which later incarnations may share.
    pub id: String,
    /// Number of events in each stream.
    pub events: u64,
    /// Pause before each event.
    pub pause: Duration,
    /// Loaded weight version, by model name.
    pub models: BTreeMap<String, u64>,
    /// Body of requests that crash the replica.
    pub crash_on_body: Option<Bytes>,
}

struct State {
    plan: ReplicaPlan,
    behaviour: ReplicaBehaviour,
    seen: Vec<SeenRequest>,
    orders: Vec<LoadOrder>,
    /// When it started, in milliseconds since the Unix epoch.
    started_at_ms: u64,
    /// Number of streams whose reader disconnected before the end.
    abandoned: u64,
    cold: Option<ColdPeriod>,
    /// Load reported with each answer to a request; `None` if the replica does not report it.
    load: Option<ReplicaLoad>,
    /// Number of health checks answered.
    health_checks: u64,
    /// `None` once the replica has ended.
    server: Option<Server>,
}

/// A running simulated replica, which ends on drop.
pub struct Replica {
    /// Address that the replica listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Starts a replica on a free loopback port.
///
/// # Errors
/// When no port can be bound.
pub async fn start(plan: ReplicaPlan) -> Result<Replica, LabError> {
    start_at(ANY_PORT, plan).await
}

/// Starts a replica at an address, such as that of an earlier incarnation.
///
/// # Errors
/// When the address can't be bound.
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
        load: None,
        health_checks: 0,
        server: None,
    };
    let state = Arc::new(Mutex::new(state));
    let handler_state = Arc::clone(&state);
    let handler = move |request| answers::answer(Arc::clone(&handler_state), request);
    let server = http::serve(address, handler).await?;
    let address = server.address;
    lock(&state).server = Some(server);
    Ok(Replica { address, state })
}

impl Replica {
    /// Sets the behaviour for requests from now on.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Sets the load that the replica reports with each answer from now on.
    pub fn report_load(&self, load: Option<ReplicaLoad>) {
        lock(&self.state).load = load;
    }

    /// Returns the number of health checks that the replica has answered.
    pub fn health_checks(&self) -> u64 {
        lock(&self.state).health_checks
    }

    /// Makes the replica cold for `duration`; it fails if it receives more than `max_requests_per_s` requests in one second.
    pub fn turn_cold(&self, duration: Duration, max_requests_per_s: usize) {
        let until = Instant::now() + duration;
        lock(&self.state).cold = Some(ColdPeriod::new(until, max_requests_per_s));
    }

    /// Returns whether the replica has failed because it received too many requests while it was cold.
    pub fn has_failed(&self) -> bool {
        lock(&self.state).cold.as_ref().is_some_and(|cold| cold.has_failed)
    }

    /// Returns the replica's id, which later incarnations may share.
    pub fn id(&self) -> String {
        lock(&self.state).plan.id.clone()
    }

    /// Returns the id by which nodes know this incarnation.
    pub fn incarnation(&self) -> String {
        let state = lock(&self.state);
        ReplicaIncarnation { name: &state.plan.id, started_at_ms: Some(state.started_at_ms) }.to_string()
    }

    /// Returns the number of events in each stream.
    pub fn events(&self) -> u64 {
        lock(&self.state).plan.events
    }

    /// Ends the replica like a process that crashes: its connections close, and new ones are refused.
    pub fn end(&self) {
        crash(&self.state);
    }

    /// Returns whether the replica has ended.
    pub fn has_ended(&self) -> bool {
        lock(&self.state).server.is_none()
    }

    /// Returns the requests that the replica began to run, in order.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns the number of streams that stopped because their reader disconnected.
    pub fn abandoned_streams(&self) -> u64 {
        lock(&self.state).abandoned
    }

    /// Returns the load orders that the replica accepted, in order.
    pub fn orders(&self) -> Vec<LoadOrder> {
        lock(&self.state).orders.clone()
    }

    /// Returns the replica's record for the metadata store.
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
        // The server's handler and the state own each other; ending the replica breaks the cycle.
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
