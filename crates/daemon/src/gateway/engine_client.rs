//! What the gateway asks of engines, with answers sorted by what they prove.
//!
//! Translates the engines' protocol into the core's events. Relies on [`HttpClient`] to distinguish a request
//! of which nothing was written from one that may have arrived.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::AttemptId;
use lichenpulley_core::request::assembly::Chunk;
use lichenpulley_core::request::execution::{ENGINE_ANSWER_TIMEOUT, EngineEvent, RefusalCause};
use lichenpulley_core::request::outcome::EngineRefusal;
use lichenpulley_core::routing::LoadReport;
use lichenpulley_protocol::engine::{RefusalBody, RefusalReason, StreamEvent, StreamRequest};

use crate::http::client::{ClientError, HttpClient};
use crate::http::events::{EventReader, EventStreamError};
use crate::http::request::percent_encode;

/// How long an engine may take to report its load. Chosen, not measured: a probe is repeated after the same
/// time.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an engine may take to cancel a stream. Chosen, not measured: nobody waits for it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// What came of asking an engine to start or resume a stream.
#[derive(Debug)]
pub enum Opening {
    /// Events follow.
    Open(EngineStream),
    /// The engine refused before admission.
    Refused(EngineRefusal, RefusalCause),
    /// No byte left this node.
    NothingWritten,
    /// The engine does not know the stream.
    UnknownStream,
    /// Nobody can tell what the engine did.
    InDoubt(ClientError),
}

/// Calls engines. Cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// A client whose connections are made within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { http: HttpClient::new(connect_timeout) }
    }

    /// Starts a stream.
    pub async fn dispatch(&self, address: SocketAddr, request: &StreamRequest) -> Opening {
        let opened = self.http.post_events(address, "/v1/streams", request, ENGINE_ANSWER_TIMEOUT).await;
        match opened {
            Ok(reader) => Opening::Open(EngineStream { reader }),
            Err(error) if error.nothing_sent() => Opening::NothingWritten,
            Err(error) => match refusal(&error) {
                Some((refusal, cause)) => Opening::Refused(refusal, cause),
                None => Opening::InDoubt(error),
            },
        }
    }

    /// Resumes a stream.
    pub async fn resume(&self, address: SocketAddr, attempt: &AttemptId, from: u32) -> Opening {
        let path = format!("{}?from={from}", stream_path(attempt));
        match self.http.get_events(address, &path, ENGINE_ANSWER_TIMEOUT).await {
            Ok(reader) => Opening::Open(EngineStream { reader }),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Opening::UnknownStream,
            Err(error) => Opening::InDoubt(error),
        }
    }

    /// Cancels a stream.
    ///
    /// # Errors
    /// When the engine did not confirm it.
    pub async fn cancel(&self, address: SocketAddr, attempt: &AttemptId) -> Result<(), ClientError> {
        self.http.delete(address, &stream_path(attempt), CANCEL_TIMEOUT).await
    }

    /// Asks for the engine's load and role.
    ///
    /// # Errors
    /// When no report came in time.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, ClientError> {
        self.http.get_json(address, "/v1/load", LOAD_REPORT_TIMEOUT).await
    }
}

fn stream_path(attempt: &AttemptId) -> String {
    format!("/v1/streams/{}", percent_encode(attempt.as_str()))
}

/// Only a 503 whose body is a refusal proves that the engine did not admit the attempt.
fn refusal(error: &ClientError) -> Option<(EngineRefusal, RefusalCause)> {
    if error.status() != Some(StatusCode::SERVICE_UNAVAILABLE) {
        return None;
    }
    let refusal: RefusalBody = error.body()?;
    let cause = match refusal.reason {
        RefusalReason::Overloaded => RefusalCause::Overloaded,
        RefusalReason::Draining | RefusalReason::NoWeights => RefusalCause::NotServing,
    };
    Some((EngineRefusal { attempt: refusal.attempt }, cause))
}

/// The events of one stream.
#[derive(Debug)]
pub struct EngineStream {
    reader: EventReader,
}

impl EngineStream {
    /// The next event; `None` where the stream ended.
    ///
    /// # Errors
    /// When the stream broke off or an event can't be read.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, EventStreamError> {
        let Some(event) = self.reader.next().await? else { return Ok(None) };
        Ok(Some(translate(event.json()?)))
    }
}

fn translate(event: StreamEvent) -> EngineEvent {
    match event {
        StreamEvent::Admitted { load, .. } => EngineEvent::Admitted(load),
        StreamEvent::Tokens { first_token, tokens, weight_version } => {
            EngineEvent::Tokens(Chunk { first_token, tokens, weight_version })
        }
        StreamEvent::Finished { token_count, finish_reason, load } => {
            EngineEvent::Finished { token_count, finish_reason, load }
        }
        StreamEvent::Failed { .. } => EngineEvent::Failed,
    }
}
