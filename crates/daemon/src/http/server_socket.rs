//! The socket of an accepted connection, as the HTTP library sees it.
//!
//! The library can't close it: [`super::connection`] does, and has to know whether it may send a final response.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::CallerConnection;
use super::unread::ConnectionMeter;

/// A socket that stays open when the HTTP library shuts it down.
pub(super) struct ServerSocket {
    stream: TcpStream,
    /// Whether all that the library had to write is written: it flushes the socket only then.
    is_flushed: bool,
    has_peer_ended: bool,
    /// Learns when all is written.
    connection: CallerConnection,
    /// Learns of the caller's progress, if unread responses are counted.
    meter: Option<ConnectionMeter>,
}

impl ServerSocket {
    pub(super) const fn new(
        stream: TcpStream,
        connection: CallerConnection,
        meter: Option<ConnectionMeter>,
    ) -> Self {
        Self { stream, is_flushed: true, has_peer_ended: false, connection, meter }
    }

    fn set_flushed(&mut self, is_flushed: bool) {
        if self.is_flushed != is_flushed {
            self.is_flushed = is_flushed;
            self.connection.set_flushed(is_flushed);
        }
    }

    /// Returns whether no response is written in part and the peer can still send a request. Valid once the HTTP
    /// library has finished with the socket.
    pub(super) const fn is_between_responses(&self) -> bool {
        self.is_flushed && !self.has_peer_ended
    }

    fn record_progress(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(meter), Poll::Ready(Ok(1..))) = (&self.meter, written) {
            meter.record_progress();
        }
    }

    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.has_peer_ended |= buffer.filled().len() == length_before && buffer.remaining() > 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_flushed(false);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_progress(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_flushed(false);
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_progress(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.set_flushed(true);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(context)
    }
}
