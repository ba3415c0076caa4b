//! Stand-in for the platform's machine list, with a configurable lag and simulated outages.
//!
//! It serves the interface of [`lichenpulley_protocol::platform`]; `DELETE /machines/{id}` removes a machine.
//! [`MachineListServer::set_faults`] sets the lag and the outages.

mod history;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::time::Timestamp;
use lichenpulley_daemon::http::request::percent_decode;
use lichenpulley_protocol::platform::Machine;

pub use history::MachineListHistory;

use crate::arguments::{StandInArguments, parse, stand_in_options, stop_signal};
use crate::error::LabError;
use crate::http::{self, Body, Reply, Server};
use crate::locked::lock;

const MACHINES_PREFIX: &str = "/machines/";

/// Faults that the machine list simulates; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineListFaults {
    /// Closes every connection without a response.
    pub down: bool,
    /// Delay until a change is visible in the list, in milliseconds.
    pub lag_ms: u64,
}

/// Handle of a running machine list. Dropping it stops the server.
#[derive(Debug)]
pub struct MachineListServer {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl MachineListServer {
    /// Adds or replaces a machine, as `PUT /machines/{id}` does.
    pub fn put(&self, machine: Machine) {
        let now = self.state.now();
        self.state.lock().history.put(machine, now);
    }

    /// Removes a machine, as `DELETE /machines/{id}` does, and returns whether it was in the list.
    pub fn remove(&self, id: &str) -> bool {
        let now = self.state.now();
        self.state.lock().history.remove(id, now)
    }

    /// Sets the faults to simulate from now on.
    pub fn set_faults(&self, faults: MachineListFaults) {
        self.state.lock().faults = faults;
    }
}

/// Starts the machine list on the current runtime with the given machines.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(address: SocketAddr, machines: Vec<Machine>) -> Result<MachineListServer, LabError> {
    let state = Arc::new(State::new(machines));
    let handler_state = Arc::clone(&state);
    let server = http::serve(address, move |request| answer(Arc::clone(&handler_state), request)).await?;
    Ok(MachineListServer { address: server.address, state, _server: server })
}

/// Runs the command `lichenpulley-lab machine-list`.
///
/// # Errors
/// When the command line is invalid or the address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(matches) = parse("machine-list", &stand_in_options(), arguments)? else { return Ok(()) };
    let arguments = StandInArguments::from_matches(&matches)?;
    let machine_list = start(arguments.address, Vec::new()).await?;
    arguments.announce(&[("http", machine_list.address)])?;
    stop_signal().await
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Reply {
    if state.lock().faults.down {
        return Reply::Hang;
    }
    let path = request.uri().path().to_owned();
    let response = match (request.method().clone(), path.strip_prefix(MACHINES_PREFIX)) {
        (Method::GET, None) if path == "/machines" => http::json(StatusCode::OK, &state.visible_list()),
        (Method::PUT, Some(id)) => put(&state, &percent_decode(id), request).await,
        (Method::DELETE, Some(id)) => delete(&state, &percent_decode(id)),
        _ => http::not_found(&path),
    };
    response.into()
}

async fn put(state: &State, id: &str, request: Request<Incoming>) -> Response<Body> {
    let machine = match http::read_json::<Machine>(request).await {
        Ok(machine) => machine,
        Err(response) => return response,
    };
    if machine.id != id {
        return http::bad_request("the id in the path and the id in the body differ");
    }
    let now = state.now();
    state.lock().history.put(machine.clone(), now);
    http::json(StatusCode::OK, &machine)
}

fn delete(state: &State, id: &str) -> Response<Body> {
    let now = state.now();
    let removed = state.lock().history.remove(id, now);
    if removed { http::empty(StatusCode::NO_CONTENT) } else { http::not_found(id) }
}

/// State shared by the handle and the request handlers.
#[derive(Debug)]
struct State {
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    history: MachineListHistory,
    faults: MachineListFaults,
}

impl State {
    fn new(machines: Vec<Machine>) -> Self {
        let inner =
            Inner { history: MachineListHistory::new(machines), faults: MachineListFaults::default() };
        Self { started: Instant::now(), inner: Mutex::new(inner) }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.started.elapsed()
    }

    fn visible_list(&self) -> lichenpulley_protocol::platform::MachineList {
        let now = self.now();
        let inner = self.lock();
        inner.history.as_of(now, Duration::from_millis(inner.faults.lag_ms))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}
