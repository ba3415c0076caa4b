//! A connection that closes after the first bytes of an answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be written.
#[derive(Clone, Debug)]
pub(super) struct WriteLimit(Arc<AtomicUsize>);

impl WriteLimit {
    /// Fails all writes after this many bytes.
    pub(super) fn cut_after(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// # Errors
    /// When no byte is left.
    fn left(&self) -> io::Result<usize> {
        match self.0.load(Ordering::Relaxed) {
            0 => Err(io::Error::new(io::ErrorKind::BrokenPipe, "the answer is cut on purpose")),
            left => Ok(left),
        }
    }

    fn record(&self, written: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.store(left - written, Ordering::Relaxed);
        }
    }
}

/// A TCP stream whose writes may be limited.
pub(super) struct CutStream {
    stream: TcpStream,
    limit: WriteLimit,
}

impl CutStream {
    pub(super) fn new(stream: TcpStream) -> (Self, WriteLimit) {
        let limit = WriteLimit(Arc::new(AtomicUsize::new(usize::MAX)));
        (Self { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = self.limit.left()?.min(bytes.len());
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[..count]))?;
        self.limit.record(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
