//! The stand-in weight store: keeps which versions exist and gives their bytes at one limited rate for all readers.
//!
//! `PUT /weights/{pool}/{version}` says that a version exists; `GET` of the same path gives its bytes, 404 where it
//! does not exist.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use futures::stream;
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};

use crate::arguments::{self, StandInArguments};
use crate::error::LabError;
use crate::http::{self, Reply, Server, bad_request, json, not_found};
use crate::locked::lock;

/// Bytes that are sent at once, and the unit in which the rate is kept.
const CHUNK_BYTES: u32 = 64 * 1024;

/// Bytes of each version. Chosen, not measured: the engines of the tests swap within seconds.
const WEIGHT_BYTES: u32 = 1024 * 1024;

/// Bytes a second for all readers together. Chosen, not measured: one version takes a few milliseconds.
const BYTES_PER_SECOND: u32 = 256 * 1024 * 1024;

/// What the store has done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightStoreCounters {
    /// Reads begun.
    pub reads: u64,
}

/// A running weight store; dropping it closes its port.
pub struct WeightStore {
    store: Arc<Store>,
    server: Server,
}

impl WeightStore {
    /// Where it serves.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// What it has done so far.
    pub fn counters(&self) -> WeightStoreCounters {
        self.store.lock().counters.clone()
    }
}

struct Store {
    limiter: DefaultDirectRateLimiter,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    versions: BTreeSet<String>,
    counters: WeightStoreCounters,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Waits until the rate allows the next chunk.
    async fn next_chunk(&self, left: u32) -> Bytes {
        self.limiter.until_ready().await;
        let size = left.min(CHUNK_BYTES);
        Bytes::from_static(&[0; CHUNK_BYTES as usize]).slice(..size as usize)
    }
}

/// Starts a weight store on the current runtime.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(address: SocketAddr) -> Result<WeightStore, LabError> {
    let chunks_per_second = NonZeroU32::new(BYTES_PER_SECOND / CHUNK_BYTES).unwrap_or(NonZeroU32::MIN);
    let quota = Quota::per_second(chunks_per_second).allow_burst(NonZeroU32::MIN);
    let store = Arc::new(Store { limiter: RateLimiter::direct(quota), state: Mutex::default() });
    let serving = Arc::clone(&store);
    let server = http::serve(address, move |request| answer(Arc::clone(&serving), request)).await?;
    Ok(WeightStore { store, server })
}

async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Reply {
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
    let chunks = stream::unfold((store, WEIGHT_BYTES), |(store, left)| async move {
        if left == 0 {
            return None;
        }
        let chunk = store.next_chunk(left).await;
        let left = left - chunk.len() as u32;
        Some((Ok(Frame::data(chunk)), (store, left)))
    });
    Response::new(BodyExt::boxed(StreamBody::new(chunks)))
}

/// `lichenpulley-lab weight-store`.
///
/// # Errors
/// When the command line is wrong or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let flags = arguments::stand_in_options();
    let Some(matches) = arguments::parse("weight-store", &flags, arguments)? else {
        return Ok(());
    };
    let stand_in = StandInArguments::from_matches(&matches)?;
    let store = start(stand_in.address).await?;
    stand_in.announce(&[("http", store.address())])?;
    arguments::stop_signal().await
}
