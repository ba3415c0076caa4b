//! The stand-in weight store: keeps which versions exist and gives their bytes at one limited rate for all readers.
//!
//! `PUT /weights/{pool}/{version}` says that a version exists; `GET` of the same path gives its bytes, 404 where it
//! does not exist.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::arguments::{self, StandInArguments};
use crate::error::LabError;
use crate::http::{self, Reply, Server, bad_request, json, not_found, read_json};

/// Bytes that are sent at once, and the unit in which the rate is kept.
const CHUNK_BYTES: u32 = 64 * 1024;

/// How a weight store is started.
#[derive(Clone, Debug)]
pub struct WeightStoreOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it takes faults.
    pub faults_address: SocketAddr,
    /// Bytes of each version.
    pub weight_bytes: u32,
    /// Bytes a second for all readers together.
    pub bytes_per_second: u32,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any_port,
            faults_address: any_port,
            weight_bytes: 1024 * 1024,
            bytes_per_second: 256 * 1024 * 1024,
        }
    }
}

/// Faults of the weight store, as `PUT /faults` takes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreFaults {
    /// Every request's connection is closed unanswered.
    pub down: bool,
    /// Each chunk waits this much longer, in milliseconds.
    pub chunk_delay_ms: u64,
}

/// What the store has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreCounters {
    /// Reads begun.
    pub reads: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// A running weight store; dropping it closes its ports.
pub struct WeightStore {
    store: Arc<Store>,
    server: Server,
    faults: Server,
}

impl WeightStore {
    /// Where it serves.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Where it takes faults.
    pub const fn faults_address(&self) -> SocketAddr {
        self.faults.address
    }

    /// Replaces the faults.
    pub fn inject(&self, faults: WeightStoreFaults) {
        self.store.lock().faults = faults;
    }

    /// What it has done so far.
    pub fn counters(&self) -> WeightStoreCounters {
        self.store.lock().counters.clone()
    }
}

struct Store {
    weight_bytes: u32,
    limiter: DefaultDirectRateLimiter,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    versions: BTreeSet<String>,
    faults: WeightStoreFaults,
    counters: WeightStoreCounters,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the rate allows the next chunk.
    async fn next_chunk(&self, left: u32) -> Bytes {
        self.limiter.until_ready().await;
        let delay = Duration::from_millis(self.lock().faults.chunk_delay_ms);
        tokio::time::sleep(delay).await;
        let size = left.min(CHUNK_BYTES);
        self.lock().counters.bytes += u64::from(size);
        Bytes::from_static(&[0; CHUNK_BYTES as usize]).slice(..size as usize)
    }
}

/// Starts a weight store on the current runtime.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(options: WeightStoreOptions) -> Result<WeightStore, LabError> {
    let chunks_per_second =
        NonZeroU32::new(options.bytes_per_second / CHUNK_BYTES).unwrap_or(NonZeroU32::MIN);
    let quota = Quota::per_second(chunks_per_second).allow_burst(NonZeroU32::MIN);
    let store = Arc::new(Store {
        weight_bytes: options.weight_bytes,
        limiter: RateLimiter::direct(quota),
        state: Mutex::default(),
    });
    let serving = Arc::clone(&store);
    let server = http::serve(options.address, move |request| answer(Arc::clone(&serving), request)).await?;
    let serving = Arc::clone(&store);
    let faults =
        http::serve(options.faults_address, move |request| answer_faults(Arc::clone(&serving), request))
            .await?;
    Ok(WeightStore { store, server, faults })
}

async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Reply {
    if store.lock().faults.down {
        return Reply::Hang;
    }
    let path = request.uri().path().to_owned();
    let Some(version) = path.strip_prefix("/weights/") else {
        return not_found(&path).into();
    };
    match *request.method() {
        Method::PUT => store_version(&store, version).into(),
        Method::GET if store.lock().versions.contains(version) => send_weights(store).into(),
        _ => not_found(&path).into(),
    }
}

fn store_version(store: &Store, path: &str) -> Response<http::Body> {
    let version = path.rsplit('/').next().and_then(|version| version.parse::<u64>().ok());
    let Some(version) = version else {
        return bad_request("the path is not /weights/{pool}/{version} with a number for the version");
    };
    store.lock().versions.insert(path.to_owned());
    json(StatusCode::OK, &version)
}

fn send_weights(store: Arc<Store>) -> Response<http::Body> {
    store.lock().counters.reads += 1;
    let left = store.weight_bytes;
    let chunks = stream::unfold((store, left), |(store, left)| async move {
        if left == 0 {
            return None;
        }
        let chunk = store.next_chunk(left).await;
        let left = left - chunk.len() as u32;
        Some((Ok(Frame::data(chunk)), (store, left)))
    });
    Response::new(BodyExt::boxed(StreamBody::new(chunks)))
}

async fn answer_faults(store: Arc<Store>, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/faults") => match read_json(request).await {
            Ok(faults) => {
                store.lock().faults = faults;
                json(StatusCode::OK, &store.lock().faults).into()
            }
            Err(response) => response.into(),
        },
        (&Method::GET, "/faults") => json(StatusCode::OK, &store.lock().faults).into(),
        (&Method::GET, "/faults/counters") => json(StatusCode::OK, &store.lock().counters).into(),
        (_, path) => not_found(path).into(),
    }
}

/// `lichenpulley-lab weight-store`.
///
/// # Errors
/// When the command line is wrong or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut flags = arguments::stand_in_options();
    flags.optopt("", "weight-kib", "size of each version (default 1024)", "KIB");
    flags.optopt("", "kib-per-second", "rate for all readers together (default 262144)", "KIB");
    let Some(matches) = arguments::parse("weight-store", &flags, arguments)? else {
        return Ok(());
    };
    let stand_in = StandInArguments::from_matches(&matches)?;
    let weight_kib: u32 = arguments::value_or(&matches, "weight-kib", "1024")?;
    let kib_per_second: u32 = arguments::value_or(&matches, "kib-per-second", "262144")?;
    let options = WeightStoreOptions {
        address: stand_in.address,
        faults_address: stand_in.faults_address,
        weight_bytes: weight_kib.saturating_mul(1024),
        bytes_per_second: kib_per_second.saturating_mul(1024),
    };
    let store = start(options).await?;
    stand_in.announce(store.address(), store.faults_address())?;
    arguments::stop_signal().await
}
