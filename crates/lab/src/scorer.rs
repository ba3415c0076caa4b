//! The stand-in scorer: `POST /score` gives a reward that depends on prompt and tokens alone.

use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lichenpulley_protocol::platform::{ScoreRequest, ScoreResponse};
use xxhash_rust::xxh3::Xxh3;

use crate::arguments::{self, StandInArguments};
use crate::error::LabError;
use crate::http::{self, Reply, Server, json, not_found, read_json};

/// A running scorer; dropping it closes its port.
pub struct Scorer {
    server: Server,
}

impl Scorer {
    /// Where it serves.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
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
/// When the address can't be bound.
pub async fn start(address: SocketAddr) -> Result<Scorer, LabError> {
    let server = http::serve(address, answer).await?;
    Ok(Scorer { server })
}

async fn answer(request: Request<Incoming>) -> Reply {
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

/// `lichenpulley-lab scorer`.
///
/// # Errors
/// When the command line is wrong or an address can't be bound.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some(matches) = arguments::parse("scorer", &arguments::stand_in_options(), arguments)? else {
        return Ok(());
    };
    let stand_in = StandInArguments::from_matches(&matches)?;
    let scorer = start(stand_in.address).await?;
    stand_in.announce(&[("http", scorer.address())])?;
    arguments::stop_signal().await
}
