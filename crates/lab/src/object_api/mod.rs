//! Stand-in for the platform's object API: versions, watches, and faults on request.
//!
//! The interface is described in [`lichenpulley_protocol::platform`]; [`ObjectApi::set_faults`] orders
//! faults.

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

/// A running object API. Dropping it closes its port; its objects are lost.
#[derive(Debug)]
pub struct ObjectApi {
    /// Where it serves.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl ObjectApi {
    /// Replaces the faults.
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
/// When the address can't be bound.
pub async fn start(address: SocketAddr) -> Result<ObjectApi, LabError> {
    let state = Arc::new(State::new());
    let serving = Arc::clone(&state);
    let server = http::serve(address, move |request| requests::answer(Arc::clone(&serving), request)).await?;
    Ok(ObjectApi { address: server.address, state, _server: server })
}

/// `lichenpulley-lab object-api`.
///
/// # Errors
/// When the command line is wrong or the address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(matches) = parse("object-api", &stand_in_options(), arguments)? else { return Ok(()) };
    let arguments = StandInArguments::from_matches(&matches)?;
    let object_api = start(arguments.address).await?;
    arguments.announce(&[("http", object_api.address)])?;
    stop_signal().await
}

/// What requests and the handle share.
#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    /// Wakes watches when an object changes or the faults change.
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
