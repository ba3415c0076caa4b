//! Server-sent events: written to callers and peers, read from engines and stores of the same release.
//!
//! The streams of the platform's replicas are split by [`crate::ingress::sse`], which explains why it is
//! separate.

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
use super::unread::ConnectionMeter;

/// Maximum size of an event that is read, in bytes; bounds the memory of one stream.
const EVENT_LIMIT_BYTES: usize = 16 << 20;
/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// The reader has closed its connection, so no more events can be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the reader of the events has disconnected; stop sending")]
pub struct ReaderDisconnected;

/// An item that a sender passes to the body of its stream.
#[derive(Debug)]
enum StreamItem {
    /// One event.
    Event(Bytes),
    /// The end of the stream.
    End,
}

/// Writes events to one reader.
///
/// Invariant: only [`EventSender::finish`] ends the stream well-formed. Dropping the sender earlier, for
/// instance because its task panicked, aborts the connection, as does the end of the process. So a reader
/// never takes a partial stream for a complete one.
#[derive(Debug)]
pub struct EventSender {
    sender: mpsc::Sender<StreamItem>,
    /// Counts the events that the reader has not read, if set.
    meter: Option<ConnectionMeter>,
}

impl EventSender {
    /// Sends `data: {json}`. Waits while the stream's buffer of `capacity` events is full.
    ///
    /// # Errors
    /// When the reader has disconnected.
    pub async fn send<T: Serialize>(&self, value: &T) -> Result<(), ReaderDisconnected> {
        self.send_bytes(encode_event(None, value)).await
    }

    /// Sends `event: {name}` with `data: {json}`.
    ///
    /// # Errors
    /// When the reader has disconnected.
    pub async fn send_named<T: Serialize>(&self, name: &str, value: &T) -> Result<(), ReaderDisconnected> {
        self.send_bytes(encode_event(Some(name), value)).await
    }

    /// Ends the stream well-formed, after all events sent before.
    ///
    /// # Errors
    /// When the reader has disconnected.
    pub async fn finish(self) -> Result<(), ReaderDisconnected> {
        self.sender.send(StreamItem::End).await.map_err(|_| ReaderDisconnected)
    }

    /// Waits until the reader has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Returns whether the reader has disconnected.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends an encoded event unchanged.
    ///
    /// # Errors
    /// When the reader has disconnected.
    pub(crate) async fn send_bytes(&self, bytes: Bytes) -> Result<(), ReaderDisconnected> {
        let bytes = match &self.meter {
            Some(meter) => meter.keep(bytes),
            None => bytes,
        };
        self.sender.send(StreamItem::Event(bytes)).await.map_err(|_| ReaderDisconnected)
    }
}

/// Creates a response that streams events, buffering up to `capacity` of them, and the sender for the events.
pub fn event_stream(capacity: usize) -> (EventSender, Response<Body>) {
    metered_event_stream(capacity, None)
}

/// Creates a response like [`event_stream`] whose unread events are counted with `meter`.
pub fn metered_event_stream(
    capacity: usize,
    meter: Option<ConnectionMeter>,
) -> (EventSender, Response<Body>) {
    let (sender, receiver) = mpsc::channel(capacity.max(1));
    let frames = stream::unfold(Some(receiver), next_frame);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    (EventSender { sender, meter }, response)
}

/// Returns the next frame of a stream and the rest of the stream; the frame is an error if the sender was
/// dropped before the end.
async fn next_frame(
    items: Option<mpsc::Receiver<StreamItem>>,
) -> Option<(io::Result<Frame<Bytes>>, Option<mpsc::Receiver<StreamItem>>)> {
    let mut items = items?;
    match items.recv().await {
        Some(StreamItem::Event(bytes)) => Some((Ok(Frame::data(bytes)), Some(items))),
        Some(StreamItem::End) => None,
        None => {
            let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the sender was dropped before the end");
            Some((Err(error), None))
        }
    }
}

fn encode_event<T: Serialize>(name: Option<&str>, value: &T) -> Bytes {
    let mut text = Vec::new();
    if let Some(name) = name {
        text.extend_from_slice(b"event: ");
        text.extend_from_slice(name.as_bytes());
        text.push(b'\n');
    }
    text.extend_from_slice(b"data: ");
    if let Err(error) = serde_json::to_writer(&mut text, value) {
        log::error!(target: "http", "An event can't be encoded as JSON: {error}.");
    }
    text.extend_from_slice(EVENT_END);
    Bytes::from(text)
}

/// A received event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Name, if the event has one.
    pub name: Option<String>,
    /// Data; several `data` lines are joined by line feeds.
    pub data: String,
}

impl ServerEvent {
    /// Decodes the data as JSON.
    ///
    /// # Errors
    /// When the data is not JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, EventStreamError> {
        serde_json::from_str(&self.data).map_err(|error| EventStreamError::BadEvent(error.to_string()))
    }
}

/// Why reading a stream of events failed.
#[derive(Debug, thiserror::Error)]
pub enum EventStreamError {
    /// The connection closed before the end of the stream.
    #[error("the stream broke off: {0}; resume it from the last event")]
    Broken(String),
    /// An event exceeds the size limit.
    #[error("an event is longer than {EVENT_LIMIT_BYTES} bytes; send shorter ones")]
    TooLong,
    /// An event can't be decoded.
    #[error("an event can't be decoded: {0}; check that both sides run the same release")]
    BadEvent(String),
}

/// Reads events from the body of a response.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    /// Length of the buffer's prefix that contains no event terminator.
    scanned: usize,
}

impl EventReader {
    /// Creates a reader of `body`.
    pub fn new(body: Incoming) -> Self {
        Self { body, buffer: BytesMut::new(), scanned: 0 }
    }

    /// Returns the next event, or `None` at the well-formed end of the stream. Cancel-safe: no event is lost
    /// if the future is dropped.
    ///
    /// # Errors
    /// When the stream breaks off or an event can't be decoded.
    pub async fn next(&mut self) -> Result<Option<ServerEvent>, EventStreamError> {
        loop {
            if let Some(event) = self.take_event()? {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.buffer_frame(frame)?,
                Some(Err(error)) => return Err(EventStreamError::Broken(error.to_string())),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(EventStreamError::Broken("it ended inside an event".to_owned())),
            }
        }
    }

    fn buffer_frame(&mut self, frame: Frame<Bytes>) -> Result<(), EventStreamError> {
        let Ok(data) = frame.into_data() else { return Ok(()) };
        if self.buffer.len() + data.len() > EVENT_LIMIT_BYTES {
            return Err(EventStreamError::TooLong);
        }
        self.buffer.extend_from_slice(&data);
        Ok(())
    }

    /// Removes the next event from the buffer, skipping comments and keep-alives.
    fn take_event(&mut self) -> Result<Option<ServerEvent>, EventStreamError> {
        loop {
            let from = self.scanned.saturating_sub(EVENT_END.len() - 1);
            let found = self.buffer[from..].windows(EVENT_END.len()).position(|window| window == EVENT_END);
            let Some(length) = found.map(|position| from + position) else {
                self.scanned = self.buffer.len();
                return Ok(None);
            };
            let block = self.buffer.split_to(length);
            self.buffer.advance(EVENT_END.len());
            self.scanned = 0;
            if let Some(event) = parse_event(&block)? {
                return Ok(Some(event));
            }
        }
    }
}

fn parse_event(block: &[u8]) -> Result<Option<ServerEvent>, EventStreamError> {
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
