//! The stand-in model engine: see [`lichenpulley_protocol::engine`] for its interface and [`faults`] for its faults.
//!
//! [`model`] is the engine without I/O, which simulations drive on a virtual clock; the rest
//! puts sockets and timers round it.

pub mod answer;
mod api;
mod batch;
mod cache;
mod event_source;
pub mod faults;
mod load;
pub mod model;
mod registration;
mod service;
mod stream;
mod weights;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::{PoolName, ReplicaId, WeightVersion, ZoneName};
use tokio_util::sync::{CancellationToken, DropGuard};

use self::faults::{EngineCounters, EngineFault};
use self::model::EngineConfig;
use self::service::{Shared, SharedEngine};
use crate::arguments::{self, StandInArguments};
use crate::error::LabError;
use crate::http::{self, ANY_PORT, Server};

pub use self::cache::CacheLookup;
pub use self::stream::{End, Slice, TokenRun};

/// How an engine is started.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// How the engine behaves.
    pub model: EngineConfig,
    /// Its pool.
    pub pool: PoolName,
    /// Its zone.
    pub zone: ZoneName,
    /// The weights it starts with.
    pub weight_version: WeightVersion,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Where it takes faults.
    pub faults_address: SocketAddr,
    /// Where it fetches weights; `None` makes a fetch instant.
    pub weight_store: Option<SocketAddr>,
    /// Where it registers itself; `None` registers nowhere.
    pub machine_list: Option<SocketAddr>,
}

impl EngineOptions {
    /// A replica of a pool in a zone on ephemeral loopback ports, with weights 1, which registers nowhere.
    pub fn new(replica: impl Into<String>, pool: PoolName, zone: ZoneName) -> Self {
        Self {
            model: EngineConfig::new(ReplicaId::new(replica)),
            pool,
            zone,
            weight_version: WeightVersion(1),
            address: ANY_PORT,
            faults_address: ANY_PORT,
            weight_store: None,
            machine_list: None,
        }
    }
}

/// A running engine. Dropping it closes its ports and ends its work at once, as if its process had died.
pub struct Engine {
    shared: SharedEngine,
    server: Server,
    faults: Server,
    _stop: DropGuard,
}

impl Engine {
    /// Where it serves.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Where it takes faults.
    pub const fn faults_address(&self) -> SocketAddr {
        self.faults.address
    }

    /// Brings a fault about; returns when a crashed engine is back.
    pub async fn inject(&self, fault: EngineFault) {
        self.shared.inject(fault).await;
    }

    /// What it has done so far.
    pub fn counters(&self) -> EngineCounters {
        self.shared.counters()
    }

    /// Ends it at once.
    pub fn stop(self) {
        drop(self);
    }
}

/// Starts an engine on the current runtime.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(options: EngineOptions) -> Result<Engine, LabError> {
    let shared = Arc::new(Shared::new(options.clone()));
    let serving = Arc::clone(&shared);
    let server =
        http::serve(options.address, move |request| api::answer(Arc::clone(&serving), request)).await?;
    let serving = Arc::clone(&shared);
    let faults =
        http::serve(options.faults_address, move |request| api::answer_faults(Arc::clone(&serving), request))
            .await?;
    let stop = CancellationToken::new();
    let steps = Arc::clone(&shared);
    spawn_until(&stop, async move { steps.run_steps().await });
    let fetches = Arc::clone(&shared);
    spawn_until(&stop, async move { fetches.run_fetches().await });
    spawn_until(&stop, registration::register(options, server.address));
    Ok(Engine { shared, server, faults, _stop: stop.drop_guard() })
}

/// `lichenpulley-lab engine`.
///
/// # Errors
/// When the command line is wrong or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some((options, stand_in)) = parse(arguments)? else {
        return Ok(());
    };
    let engine = start(options).await?;
    stand_in.announce(&[("http", engine.address()), ("faults", engine.faults_address())])?;
    arguments::stop_signal().await
}

fn parse(arguments: &[String]) -> Result<Option<(EngineOptions, StandInArguments)>, LabError> {
    let mut flags = arguments::stand_in_options();
    flags.optopt("", "faults-address", "take fault orders here (default 127.0.0.1:0)", "IP:PORT");
    flags.optopt("", "replica", "the replica's id", "ID");
    flags.optopt("", "pool", "its model pool", "NAME");
    flags.optopt("", "zone", "its zone", "NAME");
    flags.optopt("", "capacity", "streams that run at once (default 16)", "COUNT");
    flags.optopt("", "step-ms", "time of one step (default 5)", "MILLISECONDS");
    flags.optopt("", "swap-ms", "time of a weight swap (default 200)", "MILLISECONDS");
    flags.optopt("", "weight-version", "the weights it starts with (default 1)", "VERSION");
    flags.optopt("", "weight-store", "where it fetches weights (default: nowhere, at once)", "IP:PORT");
    flags.optopt("", "machine-list", "where it registers itself (default: nowhere)", "IP:PORT");
    let Some(matches) = arguments::parse("engine", &flags, arguments)? else {
        return Ok(None);
    };
    let stand_in = StandInArguments::from_matches(&matches)?;
    let replica: String = arguments::required(&matches, "replica")?;
    let pool: String = arguments::required(&matches, "pool")?;
    let zone: String = arguments::required(&matches, "zone")?;
    let mut options = EngineOptions::new(replica, PoolName::new(pool), ZoneName::new(zone));
    options.model.capacity = arguments::value_or(&matches, "capacity", "16")?;
    options.model.step_time = Duration::from_millis(arguments::value_or(&matches, "step-ms", "5")?);
    options.model.swap_time = Duration::from_millis(arguments::value_or(&matches, "swap-ms", "200")?);
    options.weight_version = WeightVersion(arguments::value_or(&matches, "weight-version", "1")?);
    options.weight_store = arguments::optional(&matches, "weight-store")?;
    options.machine_list = arguments::optional(&matches, "machine-list")?;
    options.address = stand_in.address;
    options.faults_address = arguments::address_of(&matches, "faults-address")?;
    Ok(Some((options, stand_in)))
}

fn spawn_until(stop: &CancellationToken, work: impl Future<Output = ()> + Send + 'static) {
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(work).await });
}
