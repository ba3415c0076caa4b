//! One request and what became of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lichenpulley_core::identity::{AttemptId, PoolName};
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::http::events::{EventReader, EventStreamError, ServerEvent};
use lichenpulley_protocol::caller::{CompletionChunk, CompletionRequest, CompletionResponse, Priority};
use lichenpulley_protocol::engine::{StreamEvent, StreamRequest};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use serde::Serialize;

use super::workload::Prompt;
use crate::engine::answer::is_whole_answer;

/// How long an answer may take beyond the caller's own deadline.
const GRACE: Duration = Duration::from_secs(5);

/// Whom requests go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A gateway; the answer comes whole.
    Gateway(SocketAddr),
    /// A gateway; the answer is streamed.
    GatewayStream(SocketAddr),
    /// Straight to an engine.
    Engine(SocketAddr),
}

/// What every request of a run has in common.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// The pool.
    pub pool: PoolName,
    /// At most this many tokens.
    pub max_tokens: u32,
    /// Who waits.
    pub priority: Priority,
    /// The caller's deadline.
    pub deadline: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The whole answer came, and it was the right one.
    Completed,
    /// A success came with wrong or missing tokens: a broken promise.
    Wrong,
    /// Refused as not run.
    NotRun,
    /// Ended in doubt, and said so.
    Unknown,
    /// Failed in another way, such as a body that was refused.
    Failed,
    /// The connection broke, or no answer came in time.
    NoAnswer,
}

/// One request's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// What became of it.
    pub outcome: CallOutcome,
    /// Time to the end.
    pub whole: Duration,
}

/// An answer as it came.
#[derive(Default)]
struct Answer {
    tokens: Vec<u32>,
    finished: bool,
}

/// Sends one request to `target` and verifies the answer. `scheduled` is when it was to be sent: the times count
/// from there, so that a slow system can't hide behind a caller that waits.
pub async fn call(
    client: &HttpClient,
    target: Target,
    options: &CallOptions,
    prompt: &Prompt,
    number: u64,
    scheduled: Instant,
) -> CallRecord {
    let limit = options.deadline + GRACE;
    let ask = ask(client, target, options, prompt, number);
    let asked = tokio::time::timeout(limit, ask).await.unwrap_or(Err(CallOutcome::NoAnswer));
    let whole = scheduled.elapsed();
    let answer = match asked {
        Ok(answer) => answer,
        Err(outcome) => return CallRecord { outcome, whole },
    };
    let right =
        answer.finished && is_whole_answer(&prompt.text, prompt.seed, options.max_tokens, &answer.tokens);
    CallRecord { outcome: if right { CallOutcome::Completed } else { CallOutcome::Wrong }, whole }
}

async fn ask(
    client: &HttpClient,
    target: Target,
    options: &CallOptions,
    prompt: &Prompt,
    number: u64,
) -> Result<Answer, CallOutcome> {
    let limit = options.deadline + GRACE;
    match target {
        Target::Gateway(address) => {
            let request = completion(options, prompt, false);
            let answered = client.post_json(address, "/v1/completions", &request, limit).await;
            let response: CompletionResponse = answered.map_err(|error| outcome_of(&error))?;
            Ok(Answer { tokens: response.tokens, finished: true })
        }
        Target::GatewayStream(address) => {
            let request = completion(options, prompt, true);
            let opened = client.post_events(address, "/v1/completions", &request, limit).await;
            read(opened, read_chunk).await
        }
        Target::Engine(address) => {
            let request = stream_request(options, prompt, number);
            let opened = client.post_events(address, "/v1/streams", &request, limit).await;
            read(opened, read_stream_event).await
        }
    }
}

fn completion(options: &CallOptions, prompt: &Prompt, stream: bool) -> CompletionRequest {
    CompletionRequest {
        pool: options.pool.clone(),
        prompt: prompt.text.clone(),
        max_tokens: options.max_tokens,
        priority: options.priority,
        deadline_ms: Some(options.deadline.as_millis() as u64),
        repeatable: true,
        request_id: None,
        issued_at_unix_ms: None,
        seed: prompt.seed,
        stream,
    }
}

fn stream_request(options: &CallOptions, prompt: &Prompt, number: u64) -> StreamRequest {
    StreamRequest {
        attempt: AttemptId::new(format!("load-{number}-{:016x}", prompt.seed)),
        prompt: prompt.text.clone(),
        prior_tokens: Vec::new(),
        max_tokens: options.max_tokens,
        priority: options.priority,
        seed: prompt.seed,
    }
}

async fn read(
    opened: Result<EventReader, ClientError>,
    take: fn(&ServerEvent, &mut Answer) -> Result<(), CallOutcome>,
) -> Result<Answer, CallOutcome> {
    let mut reader = opened.map_err(|error| outcome_of(&error))?;
    let mut answer = Answer::default();
    while let Some(event) = reader.next().await.map_err(|_: EventStreamError| CallOutcome::NoAnswer)? {
        take(&event, &mut answer)?;
    }
    Ok(answer)
}

fn read_chunk(event: &ServerEvent, answer: &mut Answer) -> Result<(), CallOutcome> {
    if event.name.as_deref() == Some("error") {
        let error: ErrorBody = event.json().map_err(|_| CallOutcome::Failed)?;
        return Err(outcome_of_body(&error));
    }
    let chunk: CompletionChunk = event.json().map_err(|_| CallOutcome::Failed)?;
    append(answer, chunk.first_token, &chunk.tokens)?;
    answer.finished = chunk.finish_reason.is_some();
    Ok(())
}

fn read_stream_event(event: &ServerEvent, answer: &mut Answer) -> Result<(), CallOutcome> {
    match event.json().map_err(|_| CallOutcome::Failed)? {
        StreamEvent::Admitted { .. } => Ok(()),
        StreamEvent::Tokens { first_token, tokens, .. } => append(answer, first_token, &tokens),
        StreamEvent::Finished { .. } => {
            answer.finished = true;
            Ok(())
        }
        StreamEvent::Failed { .. } => Err(CallOutcome::Failed),
    }
}

/// Appends tokens that must follow those received, without gap or repeat.
fn append(answer: &mut Answer, first_token: u32, tokens: &[u32]) -> Result<(), CallOutcome> {
    if first_token as usize != answer.tokens.len() && !tokens.is_empty() {
        return Err(CallOutcome::Wrong);
    }
    answer.tokens.extend_from_slice(tokens);
    Ok(())
}

fn outcome_of(error: &ClientError) -> CallOutcome {
    log::debug!(target: "load", "{error}.");
    if error.nothing_sent() {
        return CallOutcome::NotRun;
    }
    let Some(status) = error.status() else {
        return CallOutcome::NoAnswer;
    };
    match error.body::<ErrorBody>() {
        Some(body) => outcome_of_body(&body),
        // An engine's refusal has a body of its own.
        None if status == hyper::StatusCode::SERVICE_UNAVAILABLE => CallOutcome::NotRun,
        None => CallOutcome::Failed,
    }
}

const fn outcome_of_body(body: &ErrorBody) -> CallOutcome {
    match body.execution {
        Some(Execution::NotRun) => CallOutcome::NotRun,
        Some(Execution::Unknown) => CallOutcome::Unknown,
        None => CallOutcome::Failed,
    }
}
