//! A replica that sends only the first bytes of its first answer to each request, and whole answers afterwards.
//!
//! The path of a request tells which: `/ROUTE/STATUS/FORM/BYTES/END`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Events of each stream.
pub(super) const EVENTS: u64 = 3;
/// Body of each plain answer.
pub(super) const PLAIN_BODY: &str = "the whole body";

/// How an answer is framed and written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// With a length.
    Sized,
    /// In chunks, with a trailer.
    Chunked,
    /// Without a length; it ends with its connection.
    Unframed,
    /// Without a length, with a transfer coding that doesn't delimit it.
    Identity,
    /// An interim answer comes before it.
    Interim,
    /// Its lines end with a line feed alone.
    LineFeeds,
}

pub(super) const FORMS: [Form; 6] =
    [Form::Sized, Form::Chunked, Form::Unframed, Form::Identity, Form::Interim, Form::LineFeeds];

/// How the connection goes on after an answer that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CutEnd {
    Closed,
    Reset,
}

/// An answer as it is sent.
pub(super) struct AnswerBytes {
    pub(super) bytes: String,
    /// Length of the head, interim answers included.
    pub(super) head: usize,
}

impl Form {
    pub(super) fn has_length(self) -> bool {
        !matches!(self, Self::Unframed | Self::Identity)
    }

    /// Returns the answer of this form and status to a request with this id.
    pub(super) fn answer(self, status: u16, id: &str, body: &str) -> AnswerBytes {
        let length = body.len();
        let (framing, body) = match self {
            Self::Sized | Self::Interim | Self::LineFeeds => {
                (format!("content-length: {length}\r\n"), body.to_owned())
            }
            Self::Chunked => ("transfer-encoding: chunked\r\n".to_owned(), chunks(body)),
            Self::Unframed => ("connection: close\r\n".to_owned(), body.to_owned()),
            Self::Identity => {
                ("transfer-encoding: identity\r\nconnection: close\r\n".to_owned(), body.to_owned())
            }
        };
        let interim =
            if self == Self::Interim { "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n" } else { "" };
        let head = format!(
            "{interim}HTTP/1.1 {status} Status\r\nattempt-id: {id}\r\n{framing}weight-versions: 1\r\nserver-seal: seal of {id}\r\n\r\n"
        );
        let head = if self == Self::LineFeeds { head.replace('\r', "") } else { head };
        AnswerBytes { bytes: format!("{head}{body}"), head: head.len() }
    }
}

/// Two chunks and a trailer.
fn chunks(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk =
        |part: &str| if part.is_empty() { String::new() } else { format!("{:x}\r\n{part}\r\n", part.len()) };
    format!("{}{}0\r\nx-trailer: 1\r\n\r\n", chunk(first), chunk(second))
}

/// The events after `last`.
pub(super) fn events(last: Option<u64>) -> String {
    let numbers = last.map_or(0, |last| last + 1)..EVENTS;
    numbers.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// What was sent to any of the replicas.
#[derive(Default)]
pub(super) struct Sends {
    by_request: Mutex<HashMap<String, u32>>,
    cut_on_kept: AtomicUsize,
}

impl Sends {
    fn record(&self, id: &str) -> u32 {
        let mut sends = self.by_request.lock().expect("no panic");
        let count = sends.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    }

    pub(super) fn of(&self, id: &str) -> u32 {
        self.by_request.lock().expect("no panic").get(id).copied().unwrap_or_default()
    }

    /// Returns how many answers were cut on a connection that had carried a whole one.
    pub(super) fn cut_on_kept(&self) -> usize {
        self.cut_on_kept.load(Ordering::Relaxed)
    }
}

/// Starts a replica.
pub(super) async fn start(sends: Arc<Sends>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            let sends = Arc::clone(&sends);
            tokio::spawn(async move { answer_connection(&sends, connection).await });
        }
    });
    address
}

async fn answer_connection(sends: &Sends, mut connection: TcpStream) -> Option<()> {
    connection.set_nodelay(true).ok()?;
    let mut is_kept = false;
    while let Some(head) = read_request(&mut connection).await {
        if answer(sends, &mut connection, &head).await.is_none() {
            sends.cut_on_kept.fetch_add(usize::from(is_kept), Ordering::Relaxed);
            return None;
        }
        is_kept = true;
    }
    Some(())
}

/// Reads a request with its body and returns its head; `None` at the end of the connection.
async fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len()
                >= field(head, "content-length").map_or(0, |length| length.parse().expect("a length"))
        {
            return Some(head.to_owned());
        }
        if connection.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Answers a request; `None` if that ends the connection.
async fn answer(sends: &Sends, connection: &mut TcpStream, head: &str) -> Option<()> {
    let id = field(head, "attempt-id").unwrap_or_default();
    let path = head.split(' ').nth(1)?;
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let [route, status, form, bytes, end] = parts[..] else {
        // Reports and checks of other kinds.
        let _ = connection.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
        return Some(());
    };
    let form = FORMS.into_iter().find(|known| format!("{known:?}") == form)?;
    let last = field(head, "last-event-id").and_then(|last| last.parse().ok());
    let status: u16 = status.parse().ok()?;
    let has_events = matches!(route, "stream" | "chat") && status == 200;
    let body = if has_events { events(last) } else { PLAIN_BODY.to_owned() };
    if sends.record(id) == 1 {
        let sent: usize = bytes.parse().ok()?;
        let answer = form.answer(status, id, &body).bytes;
        return cut(connection, &answer[..sent.min(answer.len())], end).await;
    }
    let answer = Form::Sized.answer(status, id, &body).bytes;
    connection.write_all(answer.as_bytes()).await.ok()
}

async fn cut(connection: &mut TcpStream, bytes: &str, end: &str) -> Option<()> {
    connection.write_all(bytes.as_bytes()).await.ok()?;
    if end == format!("{:?}", CutEnd::Reset) {
        // A reset discards what has not been read.
        tokio::time::sleep(Duration::from_millis(5)).await;
        connection.set_zero_linger().ok()?;
    }
    None
}
