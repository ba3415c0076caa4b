//! The stand-in scorer: `POST /score` gives a reward that depends on prompt and tokens alone.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lichenpulley_protocol::platform::{ScoreRequest, ScoreResponse};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::arguments::{self, StandInArguments};
use crate::error::LabError;
use crate::http::{self, Reply, Server, json, not_found, read_json};

/// Faults of the scorer, as `PUT /faults` takes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ScorerFaults {
    /// Every request's connection is closed unanswered.
    pub down: bool,
    /// Each answer waits this long, in milliseconds.
    pub delay_ms: u64,
}

/// A running scorer; dropping it closes its ports.
pub struct Scorer {
    faults: Arc<Mutex<ScorerFaults>>,
    server: Server,
    faults_server: Server,
}

impl Scorer {
    /// Where it serves.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Where it takes faults.
    pub const fn faults_address(&self) -> SocketAddr {
        self.faults_server.address
    }

    /// Replaces the faults.
    pub fn inject(&self, faults: ScorerFaults) {
        *lock(&self.faults) = faults;
    }
}

/// The reward of an answer, from 0 up to 1.
pub fn reward(prompt: &str, tokens: &[u32]) -> f64 {
    let mut hasher = Xxh3::new();
    hasher.update(prompt.as_bytes());
    for token in tokens {
        hasher.update(&token.to_le_bytes());
    }
    (hasher.digest() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Starts a scorer on the current runtime.
///
/// # Errors
/// When an address can't be bound.
pub async fn start(address: SocketAddr, faults_address: SocketAddr) -> Result<Scorer, LabError> {
    let faults = Arc::new(Mutex::new(ScorerFaults::default()));
    let serving = Arc::clone(&faults);
    let server = http::serve(address, move |request| answer(Arc::clone(&serving), request)).await?;
    let serving = Arc::clone(&faults);
    let faults_server =
        http::serve(faults_address, move |request| answer_faults(Arc::clone(&serving), request)).await?;
    Ok(Scorer { faults, server, faults_server })
}

async fn answer(faults: Arc<Mutex<ScorerFaults>>, request: Request<Incoming>) -> Reply {
    let faults = lock(&faults).clone();
    if faults.down {
        return Reply::Hang;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/score") => match read_json::<ScoreRequest>(request).await {
            Ok(score) => {
                let reward = reward(&score.prompt, &score.tokens);
                json(StatusCode::OK, &ScoreResponse { reward }).into()
            }
            Err(response) => response.into(),
        },
        (_, path) => not_found(path).into(),
    }
}

async fn answer_faults(faults: Arc<Mutex<ScorerFaults>>, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/faults") => match read_json(request).await {
            Ok(ordered) => {
                *lock(&faults) = ordered;
                json(StatusCode::OK, &*lock(&faults)).into()
            }
            Err(response) => response.into(),
        },
        (&Method::GET, "/faults") => json(StatusCode::OK, &*lock(&faults)).into(),
        (_, path) => not_found(path).into(),
    }
}

fn lock(faults: &Mutex<ScorerFaults>) -> MutexGuard<'_, ScorerFaults> {
    faults.lock().unwrap_or_else(PoisonError::into_inner)
}

/// `lichenpulley-lab scorer`.
///
/// # Errors
/// When the command line is wrong or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(matches) = arguments::parse("scorer", &arguments::stand_in_options(), arguments)? else {
        return Ok(());
    };
    let stand_in = StandInArguments::from_matches(&matches)?;
    let scorer = start(stand_in.address, stand_in.faults_address).await?;
    stand_in.announce(scorer.address(), scorer.faults_address())?;
    arguments::stop_signal().await
}
