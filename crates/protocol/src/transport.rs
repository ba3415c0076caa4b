//! The `tarpc` transport: `speedy` bodies in length-delimited frames with a limit.
//!
//! A frame that is too long or can't be decoded ends its connection with a typed error; other connections don't
//! notice. Deadlines travel as time remaining, since clocks of different nodes can't be compared. The tracing
//! context that `tarpc` adds does not travel.

use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use speedy::{LittleEndian, Readable, Writable};
use tarpc::{ClientMessage, Request, Response, ServerError};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec, LengthDelimitedCodecError};

use crate::internal::{PeerRequest, PeerResponse};

/// Longest frame, in bytes: holds a trainer's pull of samples. Chosen, not measured: shorter refuses pulls of long samples, longer
/// lets one peer take more memory.
pub const FRAME_LIMIT_BYTES: usize = 16 << 20;

/// Why a connection between our processes ended.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// A frame is longer than the limit.
    #[error("a frame is longer than {FRAME_LIMIT_BYTES} bytes; ask for fewer items at once")]
    FrameTooLong,
    /// A frame's bytes are no message.
    #[error("a frame can't be decoded: {0}; check that all nodes run the same release")]
    Undecodable(speedy::Error),
    /// A message has no encoding.
    #[error("a message can't be encoded: {0}; check that all nodes run the same release")]
    Unencodable(String),
    /// The socket failed.
    #[error("the connection failed: {0}; it is made again on next use")]
    Socket(io::Error),
}

impl TransportError {
    /// The kind as a metrics label.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::FrameTooLong => "frame_too_long",
            Self::Undecodable(_) => "undecodable",
            Self::Unencodable(_) => "unencodable",
            Self::Socket(_) => "socket",
        }
    }
}

impl From<io::Error> for TransportError {
    fn from(error: io::Error) -> Self {
        let too_long = error.get_ref().is_some_and(|source| source.is::<LengthDelimitedCodecError>());
        if too_long { Self::FrameTooLong } else { Self::Socket(error) }
    }
}

/// The client's end of a connection between nodes.
pub type ClientTransport<S> = Framed<S, MessageCodec<Response<PeerResponse>, ClientMessage<PeerRequest>>>;
/// The server's end of a connection between nodes.
pub type ServerTransport<S> = Framed<S, MessageCodec<ClientMessage<PeerRequest>, Response<PeerResponse>>>;

/// Frames a client's connection.
pub fn client<S: AsyncRead + AsyncWrite>(stream: S) -> ClientTransport<S> {
    Framed::new(stream, MessageCodec::new())
}

/// Frames a server's connection.
pub fn server<S: AsyncRead + AsyncWrite>(stream: S) -> ServerTransport<S> {
    Framed::new(stream, MessageCodec::new())
}

/// Frames a server's connection, and tells `meter` of each frame.
pub fn metered_server<S: AsyncRead + AsyncWrite>(stream: S, meter: FrameMeter) -> ServerTransport<S> {
    Framed::new(stream, MessageCodec { meter: Some(meter), ..MessageCodec::new() })
}

/// Which way a frame went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// It arrived.
    Received,
    /// It was sent.
    Sent,
}

/// Told of each frame's direction and its bytes, the length field included.
pub type FrameMeter = Arc<dyn Fn(Direction, usize) + Send + Sync>;

/// Bytes of the length field before each frame.
const LENGTH_FIELD_BYTES: usize = 4;

/// Encodes and decodes whole messages, one to a frame.
pub struct MessageCodec<Incoming, Outgoing> {
    frames: LengthDelimitedCodec,
    meter: Option<FrameMeter>,
    directions: PhantomData<fn(Outgoing) -> Incoming>,
}

impl<Incoming, Outgoing> MessageCodec<Incoming, Outgoing> {
    /// A codec with the frame limit.
    pub fn new() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(FRAME_LIMIT_BYTES)
            .new_codec();
        Self { frames, meter: None, directions: PhantomData }
    }

    fn measure(&self, direction: Direction, body_bytes: usize) {
        if let Some(meter) = &self.meter {
            meter(direction, body_bytes + LENGTH_FIELD_BYTES);
        }
    }
}

impl<Incoming, Outgoing> Default for MessageCodec<Incoming, Outgoing> {
    fn default() -> Self {
        Self::new()
    }
}

impl<Incoming: WireMessage, Outgoing> Decoder for MessageCodec<Incoming, Outgoing> {
    type Item = Incoming;
    type Error = TransportError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Incoming>, TransportError> {
        match self.frames.decode(buffer)? {
            Some(frame) => {
                self.measure(Direction::Received, frame.len());
                Incoming::from_frame(&frame).map(Some)
            }
            None => Ok(None),
        }
    }
}

impl<Incoming, Outgoing: WireMessage> Encoder<Outgoing> for MessageCodec<Incoming, Outgoing> {
    type Error = TransportError;

    fn encode(&mut self, message: Outgoing, buffer: &mut BytesMut) -> Result<(), TransportError> {
        let body = message.to_frame()?;
        self.measure(Direction::Sent, body.len());
        Ok(self.frames.encode(Bytes::from(body), buffer)?)
    }
}

/// A message of `tarpc` that has a form on the wire.
pub trait WireMessage: Sized {
    /// The frame's body.
    ///
    /// # Errors
    /// When the message has no encoding or is too long.
    fn to_frame(&self) -> Result<Vec<u8>, TransportError>;

    /// Reads a frame's body.
    ///
    /// # Errors
    /// When the bytes are no message, or hold more than one.
    fn from_frame(frame: &[u8]) -> Result<Self, TransportError>;
}

/// What a client sends.
#[derive(Readable, Writable)]
enum ClientFrame {
    /// A request; the encoded message follows.
    Request { id: u64, remaining_us: u64 },
    /// The client no longer waits for an answer.
    Cancel { id: u64 },
}

/// What a server sends.
#[derive(Readable, Writable)]
enum ServerFrame {
    /// An answer; the encoded message follows.
    Answer { id: u64 },
    /// The request was not answered.
    Failure { id: u64, detail: String },
}

impl<T> WireMessage for ClientMessage<T>
where
    T: Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    fn to_frame(&self) -> Result<Vec<u8>, TransportError> {
        match self {
            Self::Request(request) => {
                let remaining = request.context.deadline.saturating_duration_since(Instant::now());
                let remaining_us = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
                let head = ClientFrame::Request { id: request.id, remaining_us };
                join(&head, Some(&request.message))
            }
            Self::Cancel { request_id, .. } => join::<T>(&ClientFrame::Cancel { id: *request_id }, None),
            other => Err(TransportError::Unencodable(format!("{:?}", std::mem::discriminant(other)))),
        }
    }

    fn from_frame(frame: &[u8]) -> Result<Self, TransportError> {
        let (head, body) = split::<ClientFrame>(frame)?;
        match head {
            ClientFrame::Request { id, remaining_us } => {
                let mut context = tarpc::context::current();
                context.deadline = deadline_after(remaining_us);
                let message = read_whole(body)?;
                Ok(Self::Request(Request { context, id, message }))
            }
            ClientFrame::Cancel { id } => {
                expect_end(body)?;
                let trace_context = tarpc::trace::Context::default();
                Ok(Self::Cancel { trace_context, request_id: id })
            }
        }
    }
}

impl<T> WireMessage for Response<T>
where
    T: Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    fn to_frame(&self) -> Result<Vec<u8>, TransportError> {
        let id = self.request_id;
        let answer = match &self.message {
            Ok(message) => join(&ServerFrame::Answer { id }, Some(message)),
            Err(error) => return join::<T>(&ServerFrame::Failure { id, detail: error.detail.clone() }, None),
        };
        match answer {
            // Only this call fails, not the connection with every other call on it.
            Err(TransportError::FrameTooLong) => {
                let detail = TransportError::FrameTooLong.to_string();
                join::<T>(&ServerFrame::Failure { id, detail }, None)
            }
            other => other,
        }
    }

    fn from_frame(frame: &[u8]) -> Result<Self, TransportError> {
        let (head, body) = split::<ServerFrame>(frame)?;
        match head {
            ServerFrame::Answer { id } => Ok(Self { request_id: id, message: Ok(read_whole(body)?) }),
            ServerFrame::Failure { id, detail } => {
                expect_end(body)?;
                let error = ServerError::new(io::ErrorKind::Other, detail);
                Ok(Self { request_id: id, message: Err(error) })
            }
        }
    }
}

/// Longest time remaining that is taken from the wire, so that no peer can overflow a deadline. Chosen: far beyond any deadline in
/// use.
const DEADLINE_LIMIT: Duration = Duration::from_secs(24 * 3_600);

fn deadline_after(remaining_us: u64) -> Instant {
    Instant::now() + Duration::from_micros(remaining_us).min(DEADLINE_LIMIT)
}

fn join<T: Writable<LittleEndian>>(
    head: &impl Writable<LittleEndian>,
    message: Option<&T>,
) -> Result<Vec<u8>, TransportError> {
    let unencodable = |error: speedy::Error| TransportError::Unencodable(error.to_string());
    let mut frame = head.write_to_vec().map_err(unencodable)?;
    if let Some(message) = message {
        message.write_to_stream(&mut frame).map_err(unencodable)?;
    }
    if frame.len() > FRAME_LIMIT_BYTES {
        return Err(TransportError::FrameTooLong);
    }
    Ok(frame)
}

fn split<'a, Head: Readable<'a, LittleEndian>>(frame: &'a [u8]) -> Result<(Head, &'a [u8]), TransportError> {
    let (head, length) = Head::read_with_length_from_buffer(frame);
    let head = head.map_err(TransportError::Undecodable)?;
    Ok((head, frame.get(length..).unwrap_or_default()))
}

fn read_whole<T: for<'a> Readable<'a, LittleEndian>>(body: &[u8]) -> Result<T, TransportError> {
    let (message, length) = T::read_with_length_from_buffer(body);
    let message = message.map_err(TransportError::Undecodable)?;
    expect_end(body.get(length..).unwrap_or_default())?;
    Ok(message)
}

fn expect_end(rest: &[u8]) -> Result<(), TransportError> {
    if rest.is_empty() {
        return Ok(());
    }
    Err(TransportError::Undecodable(speedy::Error::custom("bytes follow the message")))
}

/// An error with its causes in one line: the text of a library's own error names the step that failed only.
pub fn describe(error: &(dyn std::error::Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
