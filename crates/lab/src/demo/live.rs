//! Live requests at a steady rate, each answer checked whole.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lichenpulley_core::identity::PoolName;
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_protocol::caller::{CompletionRequest, CompletionResponse, Priority};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::engine::answer::is_whole_answer;
use crate::error::LabError;

const MAX_TOKENS: u32 = 32;
const DEADLINE_MS: u64 = 5_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A gateway says that the deadline has passed; so much later nothing is to be expected of it.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Live requests of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LiveSummary {
    /// The pool.
    pub pool: String,
    /// Answers that were whole and right.
    pub completed: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Failed, and whether they ran is not known.
    pub unknown: u64,
    /// Answers with wrong or missing tokens.
    pub wrong: u64,
    /// Milliseconds until half of the whole answers were there.
    pub p50_ms: f64,
    /// Milliseconds until 99 of 100 whole answers were there.
    pub p99_ms: f64,
    /// What the first failure said.
    pub first_failure: Option<String>,
}

/// How one request ended.
enum Ending {
    Completed,
    NotRun(String),
    Unknown(String),
    Wrong(String),
}

struct Record {
    summary: LiveSummary,
    /// Microseconds of each whole answer.
    latencies: Histogram<u64>,
}

/// Callers of one pool, which send until they are finished.
pub struct LiveLoad {
    stop: CancellationToken,
    sending: JoinSet<()>,
    record: Arc<Mutex<Record>>,
}

impl LiveLoad {
    /// Begins to send a request at each interval, to one gateway after the other.
    ///
    /// # Errors
    /// When no room for the figures can be had.
    pub fn start(gateways: Vec<SocketAddr>, pool: PoolName, interval: Duration) -> Result<Self, LabError> {
        let latencies = Histogram::new(3)
            .map_err(|error| LabError::Part { part: "live load", message: error.to_string() })?;
        let summary = LiveSummary { pool: pool.to_string(), ..LiveSummary::default() };
        let record = Arc::new(Mutex::new(Record { summary, latencies }));
        let stop = CancellationToken::new();
        let mut sending = JoinSet::new();
        sending.spawn(send_steadily(gateways, pool, interval, Arc::clone(&record), stop.clone()));
        Ok(Self { stop, sending, record })
    }

    /// Sends nothing more, waits for the answers that are due, and sums up.
    pub async fn finish(mut self) -> LiveSummary {
        self.stop.cancel();
        while self.sending.join_next().await.is_some() {}
        let record = lock(&self.record);
        let milliseconds = |quantile| record.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        LiveSummary { p50_ms: milliseconds(0.5), p99_ms: milliseconds(0.99), ..record.summary.clone() }
    }
}

async fn send_steadily(
    gateways: Vec<SocketAddr>,
    pool: PoolName,
    interval: Duration,
    record: Arc<Mutex<Record>>,
    stop: CancellationToken,
) {
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let mut due = tokio::time::interval(interval);
    let mut requests = JoinSet::new();
    for (number, gateway) in (0_u64..).zip(gateways.iter().cycle()) {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = due.tick() => {}
        }
        let request = completion(&pool, number);
        requests.spawn(send(client.clone(), *gateway, request, Arc::clone(&record)));
    }
    while requests.join_next().await.is_some() {}
}

fn completion(pool: &PoolName, number: u64) -> CompletionRequest {
    CompletionRequest {
        pool: pool.clone(),
        prompt: format!("Ticket {}: is the phone ready?", number % 50),
        max_tokens: MAX_TOKENS,
        priority: Priority::Live,
        deadline_ms: Some(DEADLINE_MS),
        repeatable: true,
        request_id: None,
        issued_at_unix_ms: None,
        seed: number,
        stream: false,
    }
}

async fn send(
    client: HttpClient,
    gateway: SocketAddr,
    request: CompletionRequest,
    record: Arc<Mutex<Record>>,
) {
    let begin = Instant::now();
    let ending = complete(&client, gateway, &request).await;
    let micros = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
    lock(&record).add(ending, micros);
}

async fn complete(client: &HttpClient, gateway: SocketAddr, request: &CompletionRequest) -> Ending {
    let limit = Duration::from_millis(DEADLINE_MS) + ANSWER_GRACE;
    let answered = client.post_json(gateway, "/v1/completions", request, limit).await;
    match answered {
        Ok(answer) => check(request, &answer),
        Err(error @ ClientError::BadAnswer { .. }) => Ending::Wrong(error.to_string()),
        Err(error) if proves_not_run(&error) => Ending::NotRun(error.to_string()),
        Err(error) => Ending::Unknown(error.to_string()),
    }
}

fn check(request: &CompletionRequest, answer: &CompletionResponse) -> Ending {
    if is_whole_answer(&request.prompt, request.seed, request.max_tokens, &answer.tokens) {
        return Ending::Completed;
    }
    Ending::Wrong(format!("{}: not the tokens of its prompt", answer.request_id))
}

fn proves_not_run(error: &ClientError) -> bool {
    let execution = error.body::<ErrorBody>().and_then(|body| body.execution);
    error.nothing_sent() || execution == Some(Execution::NotRun)
}

impl Record {
    fn add(&mut self, ending: Ending, micros: u64) {
        let summary = &mut self.summary;
        let failure = match ending {
            Ending::Completed => {
                summary.completed += 1;
                self.latencies.saturating_record(micros);
                return;
            }
            Ending::NotRun(failure) => {
                summary.not_run += 1;
                failure
            }
            Ending::Unknown(failure) => {
                summary.unknown += 1;
                failure
            }
            Ending::Wrong(failure) => {
                summary.wrong += 1;
                failure
            }
        };
        summary.first_failure.get_or_insert(failure);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    // A record is whole after every step, so a panic elsewhere does not spoil it.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
