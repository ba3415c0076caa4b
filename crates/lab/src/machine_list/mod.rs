//! Stand-in for the platform's machine list: it lags by a set time, and faults are switched on by request.
//!
//! The interface is described in [`lichenpulley_protocol::platform`]; `DELETE /machines/{id}` takes a machine out.
//! The faults' port answers `GET /faults` and `PUT /faults` with [`MachineListFaults`].

mod register;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lichenpulley_core::time::Timestamp;
use lichenpulley_daemon::http::request::percent_decode;
use lichenpulley_protocol::platform::Machine;
use serde::{Deserialize, Serialize};

pub use register::MachineRegister;

use crate::arguments::{StandInArguments, parse, stand_in_options, stop_signal, value_or};
use crate::error::LabError;
use crate::http::{self, Body, Reply, Server};

const MACHINES: &str = "/machines/";

/// The body of `PUT /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListFaults {
    /// Every connection is closed without an answer.
    pub down: bool,
    /// Milliseconds until a change shows in the list.
    pub lag_ms: u64,
}

/// How the stand-in starts.
#[derive(Clone, Debug)]
pub struct MachineListOptions {
    /// Where it serves; port 0 takes a free one.
    pub address: SocketAddr,
    /// Where it takes fault orders; port 0 takes a free one.
    pub faults_address: SocketAddr,
    /// The machines at the start.
    pub machines: Vec<Machine>,
    /// The lag and faults at the start.
    pub faults: MachineListFaults,
}

impl MachineListOptions {
    /// Empty, healthy and without lag, on free ports of the loopback address.
    pub fn loopback() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { address, faults_address: address, machines: Vec::new(), faults: MachineListFaults::default() }
    }
}

/// A running machine list. Dropping it closes its ports.
#[derive(Debug)]
pub struct MachineListServer {
    /// Where it serves.
    pub address: SocketAddr,
    /// Where it takes fault orders.
    pub faults_address: SocketAddr,
    state: Arc<State>,
    _servers: [Server; 2],
}

impl MachineListServer {
    /// Adds or changes a machine, as `PUT /machines/{id}` does.
    pub fn put(&self, machine: Machine) {
        let now = self.state.now();
        self.state.lock().register.put(machine, now);
    }

    /// Takes a machine out, as `DELETE /machines/{id}` does.
    pub fn remove(&self, id: &str) -> bool {
        let now = self.state.now();
        self.state.lock().register.remove(id, now)
    }

    /// Replaces the faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: MachineListFaults) {
        self.state.lock().faults = faults;
    }
}

/// Starts the stand-in on the current runtime.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(options: MachineListOptions) -> Result<MachineListServer, LabError> {
    let state = Arc::new(State::new(options.machines, options.faults));
    let serving = Arc::clone(&state);
    let server = http::serve(options.address, move |request| {
        let state = Arc::clone(&serving);
        async move { answer(&state, request).await }
    });
    let server = server.await?;
    let ordered = Arc::clone(&state);
    let faults = http::serve(options.faults_address, move |request| {
        let state = Arc::clone(&ordered);
        async move { answer_fault_order(&state, request).await.into() }
    });
    let faults = faults.await?;
    let (address, faults_address) = (server.address, faults.address);
    Ok(MachineListServer { address, faults_address, state, _servers: [server, faults] })
}

/// `lichenpulley-lab machine-list`.
///
/// # Errors
/// When the command line is wrong, the machines' file can't be read, or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = stand_in_options();
    options.optopt("", "machines", "start with the machines of this JSON file (a list)", "FILE");
    options.optopt("", "lag-ms", "milliseconds until a change shows (default 0)", "MS");
    let Some(matches) = parse("machine-list", &options, arguments)? else { return Ok(()) };
    let arguments = StandInArguments::from_matches(&matches)?;
    let machines = match matches.opt_str("machines") {
        Some(path) => read_machines(&path)?,
        None => Vec::new(),
    };
    let options = MachineListOptions {
        address: arguments.address,
        faults_address: arguments.faults_address,
        machines,
        faults: MachineListFaults { down: false, lag_ms: value_or(&matches, "lag-ms", "0")? },
    };
    let machine_list = start(options).await?;
    arguments.announce(&[("http", machine_list.address), ("faults", machine_list.faults_address)])?;
    stop_signal().await
}

fn read_machines(path: &str) -> Result<Vec<Machine>, LabError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| LabError::Usage(format!("--machines {path}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| LabError::Usage(format!("--machines {path}: {error}")))
}

async fn answer(state: &State, request: Request<Incoming>) -> Reply {
    if state.lock().faults.down {
        return Reply::Hang;
    }
    let path = request.uri().path().to_owned();
    let response = match (request.method().clone(), path.strip_prefix(MACHINES)) {
        (Method::GET, None) if path == "/machines" => http::json(StatusCode::OK, &state.visible()),
        (Method::PUT, Some(id)) => put(state, &percent_decode(id), request).await,
        (Method::DELETE, Some(id)) => delete(state, &percent_decode(id)),
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
    state.lock().register.put(machine.clone(), now);
    http::json(StatusCode::OK, &machine)
}

fn delete(state: &State, id: &str) -> Response<Body> {
    let now = state.now();
    let removed = state.lock().register.remove(id, now);
    if removed { http::empty(StatusCode::NO_CONTENT) } else { http::not_found(id) }
}

async fn answer_fault_order(state: &State, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/faults") => http::json(StatusCode::OK, &state.lock().faults),
        (&Method::PUT, "/faults") => match http::read_json::<MachineListFaults>(request).await {
            Ok(faults) => {
                state.lock().faults = faults.clone();
                http::json(StatusCode::OK, &faults)
            }
            Err(response) => response,
        },
        (_, path) => http::not_found(path),
    }
}

/// What requests and fault orders share.
#[derive(Debug)]
struct State {
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    register: MachineRegister,
    faults: MachineListFaults,
}

impl State {
    fn new(machines: Vec<Machine>, faults: MachineListFaults) -> Self {
        let inner = Inner { register: MachineRegister::new(machines), faults };
        Self { started: Instant::now(), inner: Mutex::new(inner) }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.started.elapsed()
    }

    fn visible(&self) -> lichenpulley_protocol::platform::MachineList {
        let now = self.now();
        let inner = self.lock();
        inner.register.as_of(now, Duration::from_millis(inner.faults.lag_ms))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The state is whole after every step, so a panic elsewhere does not spoil it.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
