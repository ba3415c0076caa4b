//! The `tarpc` transport: `speedy`-encoded messages in length-delimited frames of limited size.
//!
//! A frame that is too long or can't be decoded closes its connection with a typed error and does not affect others.
//! Deadlines are sent as remaining time because the clocks of different nodes can't be compared. The tracing context
//! of `tarpc` is not sent.

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

/// Maximum frame length in bytes; bounds the memory that one peer can use and still fits a trainer's sample pull.
pub const FRAME_LIMIT_BYTES: usize = 16 << 20;

/// Errors that close a connection between nodes.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// A frame exceeds the length limit.
    #[error("a frame is longer than {FRAME_LIMIT_BYTES} bytes; ask for fewer items at once")]
    FrameTooLong,
    /// There is no memory for the rest of a frame.
    #[error("frames that arrive hold all memory for them; send it again, or give the machine more memory")]
    NoMemory,
    /// A frame does not contain a valid message.
    #[error("a frame can't be decoded: {0}; check that all nodes run the same release")]
    Undecodable(speedy::Error),
    /// A message can't be encoded.
    #[error("a message can't be encoded: {0}; check that all nodes run the same release")]
    Unencodable(String),
    /// The socket failed.
    #[error("the connection failed: {0}; it is re-established on the next use")]
    Socket(io::Error),
}

impl TransportError {
    /// Returns the error kind as a metrics label.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::FrameTooLong => "frame_too_long",
            Self::NoMemory => "no_memory",
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

/// The client side of a connection between nodes.
pub type ClientTransport<S> = Framed<S, MessageCodec<Response<PeerResponse>, ClientMessage<PeerRequest>>>;
/// The server side of a connection between nodes.
pub type ServerTransport<S> = Framed<S, MessageCodec<ClientMessage<PeerRequest>, Response<PeerResponse>>>;

/// Wraps a stream in the client side of the transport.
pub fn client<S: AsyncRead + AsyncWrite>(stream: S) -> ClientTransport<S> {
    Framed::new(stream, MessageCodec::new())
}

/// Wraps a stream in the server side of the transport.
pub fn server<S: AsyncRead + AsyncWrite>(stream: S) -> ServerTransport<S> {
    Framed::new(stream, MessageCodec::new())
}

/// Wraps a stream in the server side of the transport. Calls `meter` for each frame and `admit_partial` for each part of one.
pub fn metered_server<S: AsyncRead + AsyncWrite>(
    stream: S,
    meter: FrameMeter,
    admit_partial: PartialFrameCheck,
) -> ServerTransport<S> {
    let codec =
        MessageCodec { meter: Some(meter), admit_partial: Some(admit_partial), ..MessageCodec::new() };
    Framed::new(stream, codec)
}

/// Direction of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// The frame was received.
    Received,
    /// The frame was sent.
    Sent,
}

/// Callback that receives each frame's direction and its length in bytes, including the length field.
pub type FrameMeter = Arc<dyn Fn(Direction, usize) + Send + Sync>;

/// Callback that receives the bytes of a frame that has arrived in part, and 0 once it is complete. Returns whether more of it
/// may arrive.
pub type PartialFrameCheck = Box<dyn FnMut(usize) -> bool + Send>;

/// Size in bytes of the length field before each frame.
const LENGTH_FIELD_BYTES: usize = 4;

/// Encodes and decodes messages, one per frame.
pub struct MessageCodec<Incoming, Outgoing> {
    frames: LengthDelimitedCodec,
    meter: Option<FrameMeter>,
    admit_partial: Option<PartialFrameCheck>,
    message_types: PhantomData<fn(Outgoing) -> Incoming>,
}

impl<Incoming, Outgoing> MessageCodec<Incoming, Outgoing> {
    /// Creates a codec with the frame limit [`FRAME_LIMIT_BYTES`].
    pub fn new() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(FRAME_LIMIT_BYTES)
            .new_codec();
        Self { frames, meter: None, admit_partial: None, message_types: PhantomData }
    }

    fn check_partial(&mut self, bytes: usize) -> Result<(), TransportError> {
        let is_admitted = self.admit_partial.as_mut().is_none_or(|admit| admit(bytes));
        if is_admitted { Ok(()) } else { Err(TransportError::NoMemory) }
    }

    fn report_frame(&self, direction: Direction, body_bytes: usize) {
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
                self.check_partial(0)?;
                self.report_frame(Direction::Received, frame.len());
                Incoming::from_frame(&frame).map(Some)
            }
            None => self.check_partial(buffer.len()).map(|()| None),
        }
    }
}

impl<Incoming, Outgoing: WireMessage> Encoder<Outgoing> for MessageCodec<Incoming, Outgoing> {
    type Error = TransportError;

    fn encode(&mut self, message: Outgoing, buffer: &mut BytesMut) -> Result<(), TransportError> {
        let body = message.to_frame()?;
        self.report_frame(Direction::Sent, body.len());
        Ok(self.frames.encode(Bytes::from(body), buffer)?)
    }
}

/// A `tarpc` message with a wire encoding.
pub trait WireMessage: Sized {
    /// Encodes the message as a frame body.
    ///
    /// # Errors
    /// If the message can't be encoded or is too long.
    fn to_frame(&self) -> Result<Vec<u8>, TransportError>;

    /// Decodes a frame body.
    ///
    /// # Errors
    /// If the bytes are not exactly one message.
    fn from_frame(frame: &[u8]) -> Result<Self, TransportError>;
}

/// Header of a frame sent by a client.
#[derive(Readable, Writable)]
enum ClientFrame {
    /// A request; the encoded message follows.
    Request { id: u64, remaining_us: u64 },
    /// The client no longer waits for a response.
    Cancel { id: u64 },
}

/// Header of a frame sent by a server.
#[derive(Readable, Writable)]
enum ServerFrame {
    /// A response; the encoded message follows.
    Answer { id: u64 },
    /// The request failed without a response.
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
                let header = ClientFrame::Request { id: request.id, remaining_us };
                encode_frame(&header, Some(&request.message))
            }
            Self::Cancel { request_id, .. } => {
                encode_frame::<T>(&ClientFrame::Cancel { id: *request_id }, None)
            }
            other => Err(TransportError::Unencodable(format!("{:?}", std::mem::discriminant(other)))),
        }
    }

    fn from_frame(frame: &[u8]) -> Result<Self, TransportError> {
        let (header, body) = decode_header::<ClientFrame>(frame)?;
        match header {
            ClientFrame::Request { id, remaining_us } => {
                let mut context = tarpc::context::current();
                context.deadline = deadline_after(remaining_us);
                let message = decode_body(body)?;
                Ok(Self::Request(Request { context, id, message }))
            }
            ClientFrame::Cancel { id } => {
                expect_no_trailing_bytes(body)?;
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
            Ok(message) => encode_frame(&ServerFrame::Answer { id }, Some(message)),
            Err(error) => {
                return encode_frame::<T>(&ServerFrame::Failure { id, detail: error.detail.clone() }, None);
            }
        };
        match answer {
            // Fails this call only and keeps the connection for the other calls on it.
            Err(TransportError::FrameTooLong) => {
                let detail = TransportError::FrameTooLong.to_string();
                encode_frame::<T>(&ServerFrame::Failure { id, detail }, None)
            }
            other => other,
        }
    }

    fn from_frame(frame: &[u8]) -> Result<Self, TransportError> {
        let (header, body) = decode_header::<ServerFrame>(frame)?;
        match header {
            ServerFrame::Answer { id } => Ok(Self { request_id: id, message: Ok(decode_body(body)?) }),
            ServerFrame::Failure { id, detail } => {
                expect_no_trailing_bytes(body)?;
                let error = ServerError::new(io::ErrorKind::Other, detail);
                Ok(Self { request_id: id, message: Err(error) })
            }
        }
    }
}

/// Maximum remaining time accepted from a peer, so that a deadline can't overflow.
const MAX_REMAINING_TIME: Duration = Duration::from_secs(24 * 3_600);

fn deadline_after(remaining_us: u64) -> Instant {
    Instant::now() + Duration::from_micros(remaining_us).min(MAX_REMAINING_TIME)
}

fn encode_frame<T: Writable<LittleEndian>>(
    header: &impl Writable<LittleEndian>,
    message: Option<&T>,
) -> Result<Vec<u8>, TransportError> {
    let unencodable = |error: speedy::Error| TransportError::Unencodable(error.to_string());
    let mut frame = header.write_to_vec().map_err(unencodable)?;
    if let Some(message) = message {
        message.write_to_stream(&mut frame).map_err(unencodable)?;
    }
    if frame.len() > FRAME_LIMIT_BYTES {
        return Err(TransportError::FrameTooLong);
    }
    Ok(frame)
}

fn decode_header<'a, Header: Readable<'a, LittleEndian>>(
    frame: &'a [u8],
) -> Result<(Header, &'a [u8]), TransportError> {
    let (header, length) = Header::read_with_length_from_buffer(frame);
    let header = header.map_err(TransportError::Undecodable)?;
    Ok((header, frame.get(length..).unwrap_or_default()))
}

fn decode_body<T: for<'a> Readable<'a, LittleEndian>>(body: &[u8]) -> Result<T, TransportError> {
    let (message, length) = T::read_with_length_from_buffer(body);
    let message = message.map_err(TransportError::Undecodable)?;
    expect_no_trailing_bytes(body.get(length..).unwrap_or_default())?;
    Ok(message)
}

fn expect_no_trailing_bytes(rest: &[u8]) -> Result<(), TransportError> {
    if rest.is_empty() {
        return Ok(());
    }
    Err(TransportError::Undecodable(speedy::Error::custom("trailing bytes after the message")))
}

/// Formats an error and its chain of sources on one line.
pub fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
