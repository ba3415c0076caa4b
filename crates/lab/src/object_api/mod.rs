//! Stand-in for the platform's object API, with versioned objects, watches and simulated faults.
//!
//! It serves the interface of [`lichenpulley_protocol::platform`]; [`ObjectApi::set_faults`] sets the faults.

mod faults;
mod requests;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

pub use faults::{ObjectApiCounters, ObjectApiFaults};
pub use store::ObjectStore;

use crate::arguments::{StandInArguments, parse, stand_in_options, stop_signal};
use crate::error::LabError;
use crate::http::{self, Server};
use crate::locked::lock;

/// Handle of a running object API. Dropping it stops the server and discards the objects.
#[derive(Debug)]
pub struct ObjectApi {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl ObjectApi {
    /// Sets the faults to simulate from now on.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> ObjectApiCounters {
        self.state.lock().counters.clone()
    }

    /// Returns a copy of the objects.
    pub fn objects(&self) -> ObjectStore {
        self.state.lock().store.clone()
    }
}

/// Starts an empty object API on the current runtime.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(address: SocketAddr) -> Result<ObjectApi, LabError> {
    let state = Arc::new(State::new());
    let handler_state = Arc::clone(&state);
    let server =
        http::serve(address, move |request| requests::answer(Arc::clone(&handler_state), request)).await?;
    Ok(ObjectApi { address: server.address, state, _server: server })
}

/// Runs the command `lichenpulley-lab object-api`.
///
/// # Errors
/// When the command line is invalid or the address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(matches) = parse("object-api", &stand_in_options(), arguments)? else { return Ok(()) };
    let arguments = StandInArguments::from_matches(&matches)?;
    let object_api = start(arguments.address).await?;
    arguments.announce(&[("http", object_api.address)])?;
    stop_signal().await
}

/// State shared by the handle and the request handlers.
#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    /// Notifies watches of changes to the objects or the faults.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    store: ObjectStore,
    faults: ObjectApiFaults,
    counters: ObjectApiCounters,
}

impl State {
    fn new() -> Self {
        Self { inner: Mutex::default(), changed: watch::Sender::new(()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    fn set_faults(&self, faults: ObjectApiFaults) {
        self.lock().faults = faults;
        self.changed.send_replace(());
    }
}
