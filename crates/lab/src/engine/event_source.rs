//! One connection's view of a stream: reads the model from a token number on and writes server-sent events.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{self, Stream as Events};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use lichenpulley_core::identity::AttemptId;
use lichenpulley_protocol::engine::StreamEvent;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::faults::WireFaults;
use super::service::Shared;
use super::stream::{End, Slice};
use crate::http::Body;

/// Reads one stream for one connection.
pub struct EventSource {
    shared: Arc<Shared>,
    attempt: AttemptId,
    next_token: u32,
    admission_sent: bool,
    ended: bool,
    steps: watch::Receiver<u64>,
    incarnation: CancellationToken,
    faults: WireFaults,
    chunks: u32,
    carried_tokens: u32,
    held_back: Option<Bytes>,
}

impl EventSource {
    /// A source of the attempt's events from token `from` on.
    pub fn new(shared: Arc<Shared>, attempt: AttemptId, from: u32) -> Self {
        let steps = shared.watch_steps();
        let incarnation = shared.incarnation_token();
        let faults = shared.wire_faults();
        Self {
            shared,
            attempt,
            next_token: from,
            admission_sent: false,
            ended: false,
            steps,
            incarnation,
            faults,
            chunks: 0,
            carried_tokens: 0,
            held_back: None,
        }
    }

    /// The response body: ends after the stream's last event, breaks off when the engine crashes.
    pub fn into_body(self) -> Body {
        BodyExt::boxed(StreamBody::new(self.into_frames()))
    }

    fn into_frames(self) -> impl Events<Item = io::Result<Frame<Bytes>>> + Send + Sync {
        stream::unfold(Some(self), |source| async move {
            let mut source = source?;
            match source.next_bytes().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(source))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    /// The next bytes to send; `None` after the end.
    async fn next_bytes(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            self.shared.thawed().await;
            if self.incarnation.is_cancelled() || self.must_break() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if self.ended {
                return Ok(None);
            }
            self.steps.mark_unchanged();
            let bytes = self.read_model();
            if !bytes.is_empty() {
                return Ok(Some(bytes.into()));
            }
            tokio::select! {
                () = self.incarnation.cancelled() => {}
                _ = self.steps.changed() => {}
            }
        }
    }

    fn must_break(&self) -> bool {
        self.faults.drop_after_tokens.is_some_and(|limit| self.carried_tokens >= limit)
    }

    /// Everything the model has beyond what was sent, encoded.
    fn read_model(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if !self.admission_sent {
            self.admission_sent = true;
            let load = self.shared.present_load();
            encode(&StreamEvent::Admitted { replica: self.shared.replica().clone(), load }, &mut bytes);
        }
        let Some(slice) = self.shared.read(&self.attempt, self.next_token) else {
            // Cancelled, or ended so long ago that it is forgotten.
            let reason = "the stream was cancelled, or its tokens are no longer kept".to_owned();
            encode(&StreamEvent::Failed { reason }, &mut bytes);
            self.ended = true;
            return bytes;
        };
        self.write_slice(slice, &mut bytes);
        bytes
    }

    fn write_slice(&mut self, slice: Slice, bytes: &mut Vec<u8>) {
        for run in slice.runs {
            self.next_token = run.first_token + run.tokens.len() as u32;
            self.carried_tokens += run.tokens.len() as u32;
            let event = StreamEvent::Tokens {
                first_token: run.first_token,
                tokens: run.tokens,
                weight_version: run.weight_version,
            };
            self.write_chunk(&event, bytes);
        }
        let Some(end) = slice.end else { return };
        bytes.extend(self.held_back.take().unwrap_or_default());
        encode(&self.end_event(end), bytes);
        self.ended = true;
    }

    /// Writes a chunk of tokens with the harm that was ordered.
    fn write_chunk(&mut self, event: &StreamEvent, bytes: &mut Vec<u8>) {
        self.chunks += 1;
        if is_nth(self.chunks, self.faults.reorder_every) && self.held_back.is_none() {
            let mut held_back = Vec::new();
            encode(event, &mut held_back);
            self.held_back = Some(held_back.into());
            return;
        }
        encode(event, bytes);
        if is_nth(self.chunks, self.faults.duplicate_every) {
            encode(event, bytes);
        }
        bytes.extend(self.held_back.take().unwrap_or_default());
    }

    fn end_event(&self, end: End) -> StreamEvent {
        match end {
            End::Finished(finish_reason) => StreamEvent::Finished {
                token_count: self.next_token,
                finish_reason,
                load: self.shared.present_load(),
            },
            End::Failed(reason) => StreamEvent::Failed { reason },
        }
    }
}

fn is_nth(count: u32, every: u32) -> bool {
    every != 0 && count.is_multiple_of(every)
}

/// Appends one server-sent event.
fn encode(event: &StreamEvent, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(b"data: ");
    // A type of ours with string keys always encodes.
    let _ = serde_json::to_writer(&mut *bytes, event);
    bytes.extend_from_slice(b"\n\n");
}
