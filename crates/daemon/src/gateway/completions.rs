//! Handles `POST /v1/completions`, answered as one JSON body or as server-sent events.
//!
//! Parses and validates the request, runs it through the [`Dispatcher`] and writes the outcome. Keeps no
//! state beyond one request. [`refusal`] builds the responses to requests that failed.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use lichenpulley_core::configuration::schema::REQUEST_DEADLINE_MS;
use lichenpulley_core::identity::{PoolName, RequestId};
use lichenpulley_core::request::answer::{Answer, FinishReason};
use lichenpulley_core::request::assembly::Chunk;
use lichenpulley_core::request::outcome::{RefusalReason, RequestOutcome};
use lichenpulley_protocol::caller::{
    CompletionChunk, CompletionRequest, CompletionResponse, IDEMPOTENCY_KEY_HEADER,
};
use lichenpulley_protocol::error::ErrorBody;
use tokio::sync::mpsc;

use super::dispatcher::{Dispatcher, Generation, Repetition};
use super::refusal;
use crate::http::body_memory::BodyHold;
use crate::http::events::{EventSender, event_stream};
use crate::http::request::{Held, read_json};
use crate::http::{Body, response};

/// Maximum number of tokens that a request may ask for; bounds the memory of one answer.
const MAX_TOKENS: u32 = 1 << 20;
/// Permitted deadlines, in milliseconds.
const DEADLINES_MS: std::ops::RangeInclusive<u64> = 1..=3_600_000;
/// Number of chunks buffered for a slow reader before its stream is blocked.
const STREAM_BACKLOG: usize = 64;

/// Handles one request.
pub async fn handle(dispatcher: &Dispatcher, request: Request<Incoming>) -> Response<Body> {
    let context = &dispatcher.shared.context;
    let headers = request.headers().clone();
    let limit_bytes = context.settings.gateway.body_limit_bytes;
    let read = read_json::<CompletionRequest>(request, limit_bytes, &context.body_memory).await;
    let Held { value: completion, hold } = match read {
        Ok(read) => read,
        Err(bad_request) => return bad_request.into(),
    };
    let stream = completion.stream;
    let generation = match parse_generation(completion, &headers, dispatcher) {
        Ok(generation) => generation,
        Err(body) => return response::error(StatusCode::BAD_REQUEST, &body),
    };
    if dispatcher.shared.context.draining.is_cancelled() {
        return error_response(&dispatcher.refuse(&generation, RefusalReason::NodeDraining));
    }
    if stream {
        answer_stream(dispatcher, generation, hold).await
    } else {
        let response = answer_json(dispatcher, generation).await;
        drop(hold);
        response
    }
}

/// Validates a request and converts it to a generation.
fn parse_generation(
    completion: CompletionRequest,
    headers: &HeaderMap,
    dispatcher: &Dispatcher,
) -> Result<Generation, ErrorBody> {
    let given_id = request_id(&completion, headers)?;
    let deadline = deadline(completion.deadline_ms, default_deadline(dispatcher, &completion.pool))?;
    if !(1..=MAX_TOKENS).contains(&completion.max_tokens) {
        return Err(bad_field("max_tokens", &format!("set it from 1 to {MAX_TOKENS}")));
    }
    let repetition = match (completion.repeatable, &given_id, completion.issued_at_unix_ms) {
        (true, _, _) => Repetition::Repeatable,
        (false, Some(_), Some(issued_at_unix_ms)) => Repetition::AtMostOnce { issued_at_unix_ms },
        (false, None, _) => {
            return Err(bad_field("request_id", "a request that is not repeatable needs an id of its own"));
        }
        (false, _, None) => {
            return Err(bad_field(
                "issued_at_unix_ms",
                "a request that is not repeatable needs the time at which its id was first issued",
            ));
        }
    };
    Ok(Generation {
        request: given_id.unwrap_or_else(|| RequestId::new(dispatcher.shared.next_execution_id())),
        pool: completion.pool,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        priority: completion.priority,
        seed: completion.seed,
        deadline,
        repetition,
        minimum_version: None,
    })
}

/// Returns the request id that the caller gave in the body or in the idempotency-key header.
fn request_id(completion: &CompletionRequest, headers: &HeaderMap) -> Result<Option<RequestId>, ErrorBody> {
    let header = match headers.get(IDEMPOTENCY_KEY_HEADER) {
        None => None,
        Some(value) => match value.to_str() {
            Ok(text) if !text.is_empty() => Some(RequestId::new(text)),
            _ => return Err(bad_field(IDEMPOTENCY_KEY_HEADER, "send visible ASCII characters")),
        },
    };
    match (&completion.request_id, header) {
        (Some(body), Some(header)) if *body != header => {
            Err(bad_field("request_id", "send the same id in the body and in the idempotency-key header"))
        }
        (Some(body), _) => Ok(Some(body.clone())),
        (None, header) => Ok(header),
    }
}

/// Returns the pool's deadline for requests that name none, or the node's own while it has no settings tree.
fn default_deadline(dispatcher: &Dispatcher, pool: &PoolName) -> Duration {
    let context = &dispatcher.shared.context;
    let configuration = context.configuration.load();
    if !configuration.known {
        return context.settings.gateway.default_deadline;
    }
    Duration::from_millis(configuration.for_pool(pool, &REQUEST_DEADLINE_MS))
}

fn deadline(requested_ms: Option<u64>, default: Duration) -> Result<Duration, ErrorBody> {
    match requested_ms {
        None => Ok(default),
        Some(requested) if DEADLINES_MS.contains(&requested) => Ok(Duration::from_millis(requested)),
        Some(_) => {
            let (least, most) = (DEADLINES_MS.start(), DEADLINES_MS.end());
            Err(bad_field("deadline_ms", &format!("set it from {least} to {most}")))
        }
    }
}

fn bad_field(field: &str, remedy: &str) -> ErrorBody {
    ErrorBody::new("bad_field", format!("`{field}` can't be used as it was sent"), remedy)
}

async fn answer_json(dispatcher: &Dispatcher, generation: Generation) -> Response<Body> {
    let request_id = generation.request.clone();
    match dispatcher.generate(generation).await {
        RequestOutcome::Completed { answer, attempts } => {
            response::json(StatusCode::OK, &completion_response(request_id, answer, attempts))
        }
        failed => error_response(&failed),
    }
}

fn completion_response(request_id: RequestId, answer: Answer, attempts: u32) -> CompletionResponse {
    CompletionResponse {
        request_id,
        text: render_tokens(&answer.tokens),
        tokens: answer.tokens,
        spans: answer.spans,
        finish_reason: answer.finish_reason,
        attempts,
    }
}

fn error_response(outcome: &RequestOutcome) -> Response<Body> {
    let (status, body) = status_and_body(outcome);
    response::error(status, &body)
}

fn status_and_body(outcome: &RequestOutcome) -> (StatusCode, ErrorBody) {
    match outcome {
        RequestOutcome::NotRun { reason, retry_after, .. } => refusal::not_run(*reason, *retry_after),
        RequestOutcome::Unknown { reason, retry_after, .. } => refusal::unknown(*reason, *retry_after),
        RequestOutcome::Completed { .. } => {
            let body = ErrorBody::new("already_answered", "the answer is whole", "read the answer");
            (StatusCode::INTERNAL_SERVER_ERROR, body)
        }
    }
}

/// Answers with server-sent events. Waits for the first tokens before it sends the response head, so that a
/// refusal is answered with its own status. Holds the memory of the request until its run has ended.
async fn answer_stream(
    dispatcher: &Dispatcher,
    generation: Generation,
    hold: Option<BodyHold>,
) -> Response<Body> {
    let request_id = generation.request.clone();
    let (sender, mut chunks) = mpsc::channel(STREAM_BACKLOG);
    let dispatcher = dispatcher.clone();
    let mut run = Box::pin(async move {
        let outcome = dispatcher.generate_stream(generation, sender).await;
        drop(hold);
        outcome
    });
    let first = tokio::select! {
        biased;
        first = chunks.recv() => first,
        outcome = &mut run => match (chunks.recv().await, outcome) {
            (Some(first), outcome) => return stream_remaining(request_id, first, chunks, outcome),
            (None, outcome) => return answer_without_tokens(request_id, outcome),
        },
    };
    let Some(first) = first else { return answer_without_tokens(request_id, run.await) };
    let (events, response) = event_stream(STREAM_BACKLOG);
    tokio::spawn(async move {
        let sending = async {
            if send_chunk(&events, &request_id, first).await.is_none() {
                return;
            }
            while let Some(chunk) = chunks.recv().await {
                if send_chunk(&events, &request_id, chunk).await.is_none() {
                    return;
                }
            }
        };
        let running = async {
            let ((), outcome) = tokio::join!(sending, run);
            outcome
        };
        let outcome = tokio::select! {
            outcome = running => outcome,
            () = events.closed() => return,
        };
        send_final_event(events, request_id, outcome).await;
    });
    response
}

/// Streams the buffered chunks of a run that ended before its first chunk was read.
fn stream_remaining(
    request_id: RequestId,
    first: Chunk,
    mut chunks: mpsc::Receiver<Chunk>,
    outcome: RequestOutcome,
) -> Response<Body> {
    let (events, response) = event_stream(STREAM_BACKLOG);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(chunk) = next {
            if send_chunk(&events, &request_id, chunk).await.is_none() {
                return;
            }
            next = chunks.recv().await;
        }
        send_final_event(events, request_id, outcome).await;
    });
    response
}

/// Answers a run that produced no tokens: an empty stream if it completed, else an error response.
fn answer_without_tokens(request_id: RequestId, outcome: RequestOutcome) -> Response<Body> {
    if !matches!(outcome, RequestOutcome::Completed { .. }) {
        return error_response(&outcome);
    }
    let (events, response) = event_stream(STREAM_BACKLOG);
    tokio::spawn(send_final_event(events, request_id, outcome));
    response
}

/// Sends one chunk; returns `None` if the caller has disconnected.
async fn send_chunk(events: &EventSender, request_id: &RequestId, chunk: Chunk) -> Option<()> {
    events.send(&completion_chunk(request_id, chunk, None)).await.ok()
}

/// Sends the last event, which holds the finish reason or the error, and ends the stream.
async fn send_final_event(events: EventSender, request_id: RequestId, outcome: RequestOutcome) {
    let sent = match outcome {
        RequestOutcome::Completed { answer, .. } => {
            // An answer without tokens has no weight version: its last event reports 0.
            let last = answer.spans.last();
            let end = Chunk {
                first_token: u32::try_from(answer.tokens.len()).unwrap_or(u32::MAX),
                tokens: Vec::new(),
                weight_version: last.map(|span| span.weight_version).unwrap_or_default(),
            };
            events.send(&completion_chunk(&request_id, end, Some(answer.finish_reason))).await
        }
        failed => events.send_named("error", &status_and_body(&failed).1).await,
    };
    // An error means that the caller has disconnected.
    if sent.is_ok() {
        let _ = events.finish().await;
    }
}

fn completion_chunk(
    request_id: &RequestId,
    chunk: Chunk,
    finish_reason: Option<FinishReason>,
) -> CompletionChunk {
    CompletionChunk {
        request_id: request_id.clone(),
        first_token: chunk.first_token,
        text: render_tokens(&chunk.tokens),
        tokens: chunk.tokens,
        weight_version: chunk.weight_version,
        finish_reason,
    }
}

/// Returns the text of tokens. The engines return token numbers only, so each is written as its number
/// followed by a space; the concatenated texts of the chunks equal the text of the whole answer.
fn render_tokens(tokens: &[u32]) -> String {
    tokens.iter().map(|token| format!("{token} ")).collect()
}
