//! Callers that upload bodies and leave their connections open.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::PATIENCE;

/// Bytes that a caller hands to its system at a time.
const WRITE_BYTES: usize = 64 << 10;
/// A crowd that sends nothing more for this time has sent what it can.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// How the length of a body is told.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// Announced in the head.
    Length(usize),
    /// In chunks of this size, the last of which is not sent.
    Chunks(usize),
    /// Not at all: the body is sent as it is, without a head.
    None,
}

/// One upload.
#[derive(Clone, Debug)]
pub struct Upload {
    /// Request line and headers that the framing doesn't add, without the line end of the last.
    pub head: String,
    pub framing: Framing,
    pub body: Arc<Vec<u8>>,
    /// How much of the body is sent.
    pub sent_bytes: usize,
    /// Pause between two writes.
    pub pause: Duration,
}

impl Upload {
    fn new(head: &str, framing: Framing, body: &Arc<Vec<u8>>) -> Self {
        let (head, body) = (head.to_owned(), Arc::clone(body));
        Self { head, framing, sent_bytes: body.len(), body, pause: Duration::ZERO }
    }

    /// A body with its length, of which the last `missing` bytes are not sent.
    pub fn announced(head: &str, body: &Arc<Vec<u8>>, missing: usize) -> Self {
        Self { sent_bytes: body.len() - missing, ..Self::new(head, Framing::Length(body.len()), body) }
    }

    /// A body in chunks whose last one is not sent.
    pub fn chunked(head: &str, body: &Arc<Vec<u8>>, chunk_bytes: usize) -> Self {
        Self::new(head, Framing::Chunks(chunk_bytes), body)
    }

    /// A text that is sent as it is.
    pub fn raw(text: &Arc<Vec<u8>>) -> Self {
        Self::new("", Framing::None, text)
    }

    pub fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    async fn send(&self, stream: &mut TcpStream, sent: &AtomicU64) -> io::Result<()> {
        let framing = match self.framing {
            Framing::Length(length) => Some(format!("content-length: {length}")),
            Framing::Chunks(_) => Some("transfer-encoding: chunked".to_owned()),
            Framing::None => None,
        };
        if let Some(framing) = framing {
            stream.write_all(format!("{}\r\n{framing}\r\n\r\n", self.head).as_bytes()).await?;
        }
        let body = &self.body[..self.sent_bytes];
        match self.framing {
            Framing::Chunks(size) => send_pieces(&chunks(body, size), stream, self.pause, sent).await,
            Framing::Length(_) | Framing::None => send_pieces(body, stream, self.pause, sent).await,
        }
    }
}

async fn send_pieces(
    payload: &[u8],
    stream: &mut TcpStream,
    pause: Duration,
    sent: &AtomicU64,
) -> io::Result<()> {
    for piece in payload.chunks(WRITE_BYTES) {
        stream.write_all(piece).await?;
        sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}

fn chunks(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut framed = Vec::with_capacity(body.len() + body.len() / chunk_bytes * 8);
    for chunk in body.chunks(chunk_bytes) {
        framed.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
    }
    framed
}

/// Callers that keep their connections open until they are dropped or the server closes them.
pub struct Crowd {
    callers: Vec<JoinHandle<()>>,
    sent: Arc<AtomicU64>,
}

impl Crowd {
    /// Starts one caller for each upload.
    pub fn start(address: SocketAddr, uploads: impl IntoIterator<Item = Upload>) -> Self {
        let sent = Arc::new(AtomicU64::new(0));
        let callers = uploads
            .into_iter()
            .map(|upload| {
                let sent = Arc::clone(&sent);
                tokio::spawn(async move {
                    let Ok(mut stream) = TcpStream::connect(address).await else { return };
                    // The server may refuse the body and close the connection.
                    let _ = upload.send(&mut stream, &sent).await;
                    // Held until the crowd leaves, also where the server has closed its side.
                    std::future::pending::<()>().await;
                })
            })
            .collect();
        Self { callers, sent }
    }

    /// Waits until the callers send nothing more: they are done, or the server doesn't read.
    pub async fn settled(&self) {
        let settled = async {
            let mut seen = self.sent.load(Ordering::Relaxed);
            loop {
                tokio::time::sleep(QUIET_TIME).await;
                let now = self.sent.load(Ordering::Relaxed);
                if now == seen {
                    return;
                }
                seen = now;
            }
        };
        tokio::time::timeout(PATIENCE, settled).await.expect("the crowd has sent what it can");
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
    }
}
