//! Client of the engines' HTTP interface for streams and load reports.
//!
//! Translates the engines' protocol into the core's events and classifies failures by whether the engine may
//! have admitted the request. Relies on [`HttpClient`] to distinguish a request of which nothing was written
//! from one that may have arrived.

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

/// Timeout of a request for an engine's load report.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request to cancel a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of a request to start or resume a stream at an engine.
#[derive(Debug)]
pub enum StreamOpening {
    /// The stream is open.
    Open(EngineStream),
    /// The engine refused the request before admitting it.
    Refused(EngineRefusal, RefusalCause),
    /// No byte of the request was written, so the engine can't have admitted it.
    NothingWritten,
    /// The engine does not know the stream.
    UnknownStream,
    /// The call failed after the engine may have received the request.
    InDoubt(ClientError),
}

/// A client of the engines. Cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client that gives up a connection attempt after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { http: HttpClient::new(connect_timeout) }
    }

    /// Starts a stream.
    pub async fn dispatch(&self, address: SocketAddr, request: &StreamRequest) -> StreamOpening {
        let opened = self.http.post_events(address, "/v1/streams", request, ENGINE_ANSWER_TIMEOUT).await;
        match opened {
            Ok(reader) => StreamOpening::Open(EngineStream { reader }),
            Err(error) if error.nothing_sent() => StreamOpening::NothingWritten,
            Err(error) => match refusal(&error) {
                Some((refusal, cause)) => StreamOpening::Refused(refusal, cause),
                None => StreamOpening::InDoubt(error),
            },
        }
    }

    /// Resumes a stream.
    pub async fn resume(&self, address: SocketAddr, attempt: &AttemptId, from: u32) -> StreamOpening {
        let path = format!("{}?from={from}", stream_path(attempt));
        match self.http.get_events(address, &path, ENGINE_ANSWER_TIMEOUT).await {
            Ok(reader) => StreamOpening::Open(EngineStream { reader }),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => StreamOpening::UnknownStream,
            Err(error) => StreamOpening::InDoubt(error),
        }
    }

    /// Cancels a stream.
    ///
    /// # Errors
    /// When the engine does not confirm the cancellation.
    pub async fn cancel(&self, address: SocketAddr, attempt: &AttemptId) -> Result<(), ClientError> {
        self.http.delete(address, &stream_path(attempt), CANCEL_TIMEOUT).await
    }

    /// Requests the engine's load report, which includes its role.
    ///
    /// # Errors
    /// When no report arrives in time.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, ClientError> {
        self.http.get_json(address, "/v1/load", LOAD_REPORT_TIMEOUT).await
    }
}

fn stream_path(attempt: &AttemptId) -> String {
    format!("/v1/streams/{}", percent_encode(attempt.as_str()))
}

/// Returns the refusal in an error response. Only a 503 whose body is a refusal proves that the engine did
/// not admit the attempt.
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

/// Reads the events of one stream.
#[derive(Debug)]
pub struct EngineStream {
    reader: EventReader,
}

impl EngineStream {
    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    /// When the stream breaks off or an event can't be decoded.
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
