//! A small HTTP server with scripted answers, and a way to run a command line against it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lichenpulley_cli::arguments::{Environment, Invocation};
use lichenpulley_cli::error::CliError;
use lichenpulley_cli::output::Output;
use tokio::net::TcpListener;

/// What the server saw.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub body: serde_json::Value,
}

/// What the server answers.
pub enum Answer {
    Json(u16, serde_json::Value),
    Text(String),
    /// The connection closes without an answer.
    Lost,
}

pub struct Server {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

#[derive(Debug, thiserror::Error)]
#[error("the answer is lost on purpose")]
struct LostAnswer;

impl Server {
    /// Answers the n-th request (from 0) with what the script gives for it.
    pub async fn start(script: impl Fn(usize, &Seen) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        tokio::spawn(accept(listener, Arc::new(script), Arc::clone(&seen)));
        Self { address, seen }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no panic while held").clone()
    }
}

async fn accept<Script>(listener: TcpListener, script: Arc<Script>, seen: Arc<Mutex<Vec<Seen>>>)
where
    Script: Fn(usize, &Seen) -> Answer + Send + Sync + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let (script, seen) = (Arc::clone(&script), Arc::clone(&seen));
        let service = service_fn(move |request| answer(request, Arc::clone(&script), Arc::clone(&seen)));
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn answer<Script>(
    request: Request<Incoming>,
    script: Arc<Script>,
    seen: Arc<Mutex<Vec<Seen>>>,
) -> Result<Response<Full<Bytes>>, LostAnswer>
where
    Script: Fn(usize, &Seen) -> Answer + Send + Sync + 'static,
{
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let body = request.into_body().collect().await.map_err(|_| LostAnswer)?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null);
    let this = Seen { method, path, body };
    let number = {
        let mut seen = seen.lock().expect("no panic while held");
        seen.push(this.clone());
        seen.len() - 1
    };
    match script(number, &this) {
        Answer::Lost => Err(LostAnswer),
        Answer::Text(text) => Ok(Response::new(Full::from(text))),
        Answer::Json(status, value) => {
            let mut response = Response::new(Full::from(value.to_string()));
            *response.status_mut() = status.try_into().expect("a status");
            Ok(response)
        }
    }
}

/// What a command printed, and how it ended.
pub struct Run {
    pub result: Result<(), CliError>,
    pub results: String,
    pub notes: String,
}

/// Runs a command line.
pub async fn run(line: &[&str]) -> Run {
    let arguments: Vec<String> = line.iter().map(|word| (*word).to_owned()).collect();
    let (mut results, mut notes) = (Vec::new(), Vec::new());
    let result = match Invocation::parse(&arguments, &Environment::default()) {
        Ok(invocation) => {
            let json = invocation.options.json;
            let mut output = Output::new(&mut results, &mut notes, json);
            lichenpulley_cli::run(invocation, &mut output).await
        }
        Err(error) => Err(error),
    };
    let text = |bytes| String::from_utf8(bytes).expect("text");
    Run { result, results: text(results), notes: text(notes) }
}
