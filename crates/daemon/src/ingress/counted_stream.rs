//! A TCP stream to a replica that fails once one answer has taken too many bytes.
//!
//! `hyper` bounds a head, chunk extensions and trailers, but reads interim responses, leading zeros of a chunk size and
//! blanks after it without end. All of them count here, as do the bytes of the body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of one answer with its head and framing. Twice the largest plain answer, and far more than a
/// stream of the longest text.
pub const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Counts the bytes that arrived since the last request was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBytes(Arc<AtomicU64>);

impl AnswerBytes {
    /// Starts to count anew, for the answer to the next request.
    pub(super) fn restart(&self) {
        self.0.store(0, Ordering::Relaxed);
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
        if self.received.0.fetch_add(read, Ordering::Relaxed) + read > MAX_ANSWER_BYTES {
            let error = format!("the answer has more than {MAX_ANSWER_BYTES} bytes; check the replica");
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
