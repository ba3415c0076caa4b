//! Stand-in for the platform's object API: versions, watches, and faults on request.
//!
//! The interface is described in [`lichenpulley_protocol::platform`]. The faults' port answers `GET /faults`,
//! `PUT /faults` with [`ObjectApiFaults`], and `GET /faults/counters` with [`ObjectApiCounters`].

mod faults;
mod requests;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;

pub use faults::{FaultState, ObjectApiCounters, ObjectApiFaults};
pub use store::ObjectStore;

use crate::arguments::{StandInArguments, parse, stand_in_options, stop_signal};
use crate::error::LabError;
use crate::http::{self, Reply, Server};

/// How the stand-in starts.
#[derive(Clone, Debug)]
pub struct ObjectApiOptions {
    /// Where it serves; port 0 takes a free one.
    pub address: SocketAddr,
    /// Where it takes fault orders; port 0 takes a free one.
    pub faults_address: SocketAddr,
    /// The faults at the start.
    pub faults: ObjectApiFaults,
}

impl ObjectApiOptions {
    /// Healthy, on free ports of the loopback address.
    pub fn loopback() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { address, faults_address: address, faults: ObjectApiFaults::default() }
    }
}

/// A running object API. Dropping it closes its ports; its objects are lost.
#[derive(Debug)]
pub struct ObjectApi {
    /// Where it serves.
    pub address: SocketAddr,
    /// Where it takes fault orders.
    pub faults_address: SocketAddr,
    state: Arc<State>,
    _servers: [Server; 2],
}

impl ObjectApi {
    /// Replaces the faults, as `PUT /faults` does.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        self.state.set_faults(faults);
    }

    /// What was counted so far.
    pub fn counters(&self) -> ObjectApiCounters {
        self.state.lock().counters.clone()
    }

    /// A copy of the objects.
    pub fn objects(&self) -> ObjectStore {
        self.state.lock().store.clone()
    }
}

/// Starts the stand-in on the current runtime.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(options: ObjectApiOptions) -> Result<ObjectApi, LabError> {
    let state = Arc::new(State::new(options.faults));
    let serving = Arc::clone(&state);
    let server = http::serve(options.address, move |request| {
        let state = Arc::clone(&serving);
        async move { requests::answer(state, request).await }
    });
    let server = server.await?;
    let ordered = Arc::clone(&state);
    let faults = http::serve(options.faults_address, move |request| {
        let state = Arc::clone(&ordered);
        async move { answer_fault_order(&state, request).await }
    });
    let faults = faults.await?;
    Ok(ObjectApi {
        address: server.address,
        faults_address: faults.address,
        state,
        _servers: [server, faults],
    })
}

/// `lichenpulley-lab object-api`.
///
/// # Errors
/// When the command line is wrong or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(matches) = parse("object-api", &stand_in_options(), arguments)? else { return Ok(()) };
    let arguments = StandInArguments::from_matches(&matches)?;
    let options = ObjectApiOptions {
        address: arguments.address,
        faults_address: arguments.faults_address,
        faults: ObjectApiFaults::default(),
    };
    let object_api = start(options).await?;
    arguments.announce(&[("http", object_api.address), ("faults", object_api.faults_address)])?;
    stop_signal().await
}

async fn answer_fault_order(state: &State, request: Request<Incoming>) -> Reply {
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/faults") => http::json(StatusCode::OK, state.lock().faults.faults()),
        (&Method::GET, "/faults/counters") => http::json(StatusCode::OK, &state.lock().counters),
        (&Method::PUT, "/faults") => match http::read_json::<ObjectApiFaults>(request).await {
            Ok(faults) => {
                state.set_faults(faults.clone());
                http::json(StatusCode::OK, &faults)
            }
            Err(response) => response,
        },
        (_, path) => http::not_found(path),
    };
    response.into()
}

/// What requests and fault orders share.
#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    /// Wakes watches when an object changes or the faults change.
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct Inner {
    store: ObjectStore,
    faults: FaultState,
    counters: ObjectApiCounters,
}

impl State {
    fn new(faults: ObjectApiFaults) -> Self {
        let inner = Inner {
            store: ObjectStore::default(),
            faults: FaultState::new(faults),
            counters: ObjectApiCounters::default(),
        };
        Self { inner: Mutex::new(inner), changed: watch::Sender::new(()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The state is whole after every step, so a panic elsewhere does not spoil it.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: ObjectApiFaults) {
        self.lock().faults = FaultState::new(faults);
        self.changed.send_replace(());
    }
}
