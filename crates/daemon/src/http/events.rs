//! Server-sent events between parts of one release: written to callers and peers, read from engines and
//! stores.
//!
//! [`crate::ingress::sse`] cuts the streams of the platform's replicas, whose events are others; its head
//! gives the reason.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::Body;

/// The longest event that is read, in bytes. Chosen, not measured: bounds the memory of one stream.
const EVENT_LIMIT_BYTES: usize = 16 << 20;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// The reader has gone: nothing more can be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the reader of the events has gone; stop sending")]
pub struct ReaderGone;

/// What a sender hands to the body of its stream.
#[derive(Debug)]
enum Piece {
    /// One event.
    Event(Bytes),
    /// Nothing follows.
    End,
}

/// Writes events to one reader.
///
/// Invariant: only [`EventSender::finish`] ends the stream well-formed. A sender that is dropped before,
/// because its task panicked or the node was killed, breaks the connection off, so a reader never takes a
/// part for the whole (brief point 4).
#[derive(Debug)]
pub struct EventSender {
    sender: mpsc::Sender<Piece>,
}

impl EventSender {
    /// Sends `data: {json}`. Waits while the reader is `capacity` events behind.
    ///
    /// # Errors
    /// When the reader has gone.
    pub async fn send<T: Serialize>(&self, value: &T) -> Result<(), ReaderGone> {
        self.send_bytes(encode(None, value)).await
    }

    /// Sends `event: {name}` with `data: {json}`.
    ///
    /// # Errors
    /// When the reader has gone.
    pub async fn send_named<T: Serialize>(&self, name: &str, value: &T) -> Result<(), ReaderGone> {
        self.send_bytes(encode(Some(name), value)).await
    }

    /// Ends the stream well-formed, after all events sent before.
    ///
    /// # Errors
    /// When the reader has gone.
    pub async fn finish(self) -> Result<(), ReaderGone> {
        self.sender.send(Piece::End).await.map_err(|_| ReaderGone)
    }

    /// Resolves when the reader has gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    async fn send_bytes(&self, bytes: Bytes) -> Result<(), ReaderGone> {
        self.sender.send(Piece::Event(bytes)).await.map_err(|_| ReaderGone)
    }
}

/// An answer that streams events, and the sender for them.
pub fn event_stream(capacity: usize) -> (EventSender, Response<Body>) {
    let (sender, receiver) = mpsc::channel(capacity.max(1));
    let frames = stream::unfold(Some(receiver), next_frame);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    (EventSender { sender }, response)
}

/// The next frame of a stream and what is left of it; an error where the sender went before the end.
async fn next_frame(
    pieces: Option<mpsc::Receiver<Piece>>,
) -> Option<(io::Result<Frame<Bytes>>, Option<mpsc::Receiver<Piece>>)> {
    let mut pieces = pieces?;
    match pieces.recv().await {
        Some(Piece::Event(bytes)) => Some((Ok(Frame::data(bytes)), Some(pieces))),
        Some(Piece::End) => None,
        None => {
            let broken =
                io::Error::new(io::ErrorKind::UnexpectedEof, "the events broke off before their end");
            Some((Err(broken), None))
        }
    }
}

fn encode<T: Serialize>(name: Option<&str>, value: &T) -> Bytes {
    let mut text = Vec::new();
    if let Some(name) = name {
        text.extend_from_slice(b"event: ");
        text.extend_from_slice(name.as_bytes());
        text.push(b'\n');
    }
    text.extend_from_slice(b"data: ");
    if let Err(error) = serde_json::to_writer(&mut text, value) {
        log::error!(target: "http", "An event can't be written as JSON: {error}.");
    }
    text.extend_from_slice(EVENT_END);
    Bytes::from(text)
}

/// One event as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its name; `None` where it has none.
    pub name: Option<String>,
    /// Its data.
    pub data: String,
}

impl ServerEvent {
    /// Reads the data as JSON.
    ///
    /// # Errors
    /// When the data is not JSON of the expected form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, EventStreamError> {
        serde_json::from_str(&self.data).map_err(|error| EventStreamError::BadEvent(error.to_string()))
    }
}

/// Why a stream of events can't be read on.
#[derive(Debug, thiserror::Error)]
pub enum EventStreamError {
    /// The connection broke before the stream's end.
    #[error("the stream broke off: {0}; resume it from the last event")]
    Broken(String),
    /// An event is longer than is accepted.
    #[error("an event is longer than {EVENT_LIMIT_BYTES} bytes; send shorter ones")]
    TooLong,
    /// An event is not of the expected form.
    #[error("an event can't be read: {0}; check that both sides run the same release")]
    BadEvent(String),
}

/// Reads events from the body of an answer.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
}

impl EventReader {
    /// Reads from a body.
    pub fn new(body: Incoming) -> Self {
        Self { body, buffer: BytesMut::new(), searched: 0 }
    }

    /// The next event; `None` at the well-formed end of the stream. Nothing is lost where the future is
    /// dropped before it is done.
    ///
    /// # Errors
    /// When the stream breaks off or an event can't be read.
    pub async fn next(&mut self) -> Result<Option<ServerEvent>, EventStreamError> {
        loop {
            if let Some(event) = self.take_event()? {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.add(frame)?,
                Some(Err(error)) => return Err(EventStreamError::Broken(error.to_string())),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(EventStreamError::Broken("it ends inside an event".to_owned())),
            }
        }
    }

    fn add(&mut self, frame: Frame<Bytes>) -> Result<(), EventStreamError> {
        let Ok(data) = frame.into_data() else { return Ok(()) };
        if self.buffer.len() + data.len() > EVENT_LIMIT_BYTES {
            return Err(EventStreamError::TooLong);
        }
        self.buffer.extend_from_slice(&data);
        Ok(())
    }

    /// Takes events out of the buffer, passing over comments and keep-alives.
    fn take_event(&mut self) -> Result<Option<ServerEvent>, EventStreamError> {
        loop {
            let from = self.searched.saturating_sub(EVENT_END.len() - 1);
            let found = self.buffer[from..].windows(EVENT_END.len()).position(|window| window == EVENT_END);
            let Some(length) = found.map(|position| from + position) else {
                self.searched = self.buffer.len();
                return Ok(None);
            };
            let block = self.buffer.split_to(length);
            self.buffer.advance(EVENT_END.len());
            self.searched = 0;
            if let Some(event) = parse(&block)? {
                return Ok(Some(event));
            }
        }
    }
}

fn parse(block: &[u8]) -> Result<Option<ServerEvent>, EventStreamError> {
    let text = std::str::from_utf8(block).map_err(|error| EventStreamError::BadEvent(error.to_string()))?;
    let mut name = None;
    let mut data: Option<String> = None;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => name = Some(value.to_owned()),
            "data" => match &mut data {
                None => data = Some(value.to_owned()),
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
            },
            _ => {}
        }
    }
    Ok(data.map(|data| ServerEvent { name, data }))
}
