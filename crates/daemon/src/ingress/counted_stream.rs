//! A TCP stream to a replica that fails once one answer has taken too many bytes.
//!
//! `hyper` bounds a head, chunk extensions and trailers, but reads interim responses, leading zeros of a chunk size and
//! blanks after it without end. All of them count here, as do the bytes of the body. The limit before the head is small, so
//! that the caller's time is left for another replica.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that arrive before the head of an answer is complete, interim responses included.
pub const MAX_HEAD_BYTES: u64 = 1 << 20;
/// Maximum number of bytes after the head of an answer that declares no length: a plain answer or a stream of the longest
/// text, with their framing.
pub const MAX_UNDECLARED_BYTES: u64 = 16 << 20;

/// Counts the bytes of the current answer, and limits them.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBytes(Arc<Count>);

#[derive(Debug, Default)]
struct Count {
    received: AtomicU64,
    limit: AtomicU64,
}

impl AnswerBytes {
    /// Starts to count anew, before a request is sent. A head may follow.
    pub(super) fn await_head(&self) {
        self.0.limit.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        self.0.received.store(0, Ordering::Relaxed);
    }

    /// Allows the body that follows the head, of this length if it is declared.
    pub(super) fn await_body(&self, declared_bytes: Option<u64>) {
        let body_bytes = declared_bytes.unwrap_or(MAX_UNDECLARED_BYTES);
        self.0.limit.store(MAX_HEAD_BYTES.saturating_add(body_bytes), Ordering::Relaxed);
    }

    /// Counts bytes. Returns whether they are within the limit.
    fn count(&self, bytes: u64) -> bool {
        let received = self.0.received.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes);
        received <= self.0.limit.load(Ordering::Relaxed)
    }
}

/// A TCP stream that counts the bytes read from it.
pub(super) struct CountedStream {
    stream: TcpStream,
    received: AnswerBytes,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream) -> (Self, AnswerBytes) {
        let received = AnswerBytes::default();
        received.await_head();
        (Self { stream, received: received.clone() }, received)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = (buffer.filled().len() - before) as u64;
        if !self.received.count(read) {
            let error = "the answer has no end within its limit; check the replica";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
