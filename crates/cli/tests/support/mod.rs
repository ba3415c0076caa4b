//! Test support: an HTTP server with scripted responses, and a function that runs a command line in this process.

#![allow(dead_code, reason = "each test file uses only some of the items")]

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

/// A request that the server received.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    pub method: String,
    pub path: String,
    pub body: serde_json::Value,
}

/// A scripted response of the server.
pub enum Answer {
    Json(u16, serde_json::Value),
    Text(String),
    /// Closes the connection without a response.
    Dropped,
}

pub struct Server {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
}

#[derive(Debug, thiserror::Error)]
#[error("the test closes the connection without a response")]
struct DroppedConnection;

impl Server {
    /// Starts a server that answers each request with the result of `script`, called with the request's index from 0.
    pub async fn start(script: impl Fn(usize, &RecordedRequest) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests: Arc<Mutex<Vec<RecordedRequest>>> = Arc::default();
        tokio::spawn(accept(listener, Arc::new(script), Arc::clone(&requests)));
        Self { address, requests }
    }

    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().expect("no panic while held").clone()
    }
}

async fn accept<Script>(
    listener: TcpListener,
    script: Arc<Script>,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
) where
    Script: Fn(usize, &RecordedRequest) -> Answer + Send + Sync + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
        let service = service_fn(move |request| answer(request, Arc::clone(&script), Arc::clone(&requests)));
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn answer<Script>(
    request: Request<Incoming>,
    script: Arc<Script>,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
) -> Result<Response<Full<Bytes>>, DroppedConnection>
where
    Script: Fn(usize, &RecordedRequest) -> Answer + Send + Sync + 'static,
{
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let body = request.into_body().collect().await.map_err(|_| DroppedConnection)?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null);
    let received = RecordedRequest { method, path, body };
    let index = {
        let mut requests = requests.lock().expect("no panic while held");
        requests.push(received.clone());
        requests.len() - 1
    };
    match script(index, &received) {
        Answer::Dropped => Err(DroppedConnection),
        Answer::Text(text) => Ok(Response::new(Full::from(text))),
        Answer::Json(status, value) => {
            let mut response = Response::new(Full::from(value.to_string()));
            *response.status_mut() = status.try_into().expect("a status");
            Ok(response)
        }
    }
}

/// Result and output of a command.
pub struct CommandRun {
    pub result: Result<(), CliError>,
    pub results: String,
    pub notes: String,
}

/// Parses and runs a command line.
pub async fn run(line: &[&str]) -> CommandRun {
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
    CommandRun { result, results: text(results), notes: text(notes) }
}
