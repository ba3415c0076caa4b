//! Reads request bodies of callers within limits of size, time and memory.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use lichenpulley_core::intake::bodies::SHORT_BODY_BYTES;
use memmap2::MmapMut;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body_memory::{BodyHold, BodyMemory, NoBodyMemory};
use super::connections::CallerConnection;

/// Longest body that is kept on the heap. A longer one has pages of its own, which the operating system has back as soon
/// as the body is dropped; the allocator would keep some for each of its arenas.
const MAX_HEAP_BYTES: usize = SHORT_BODY_BYTES as usize;

/// Bounds of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Maximum length in bytes.
    pub bytes: usize,
    /// When it has to be complete.
    pub deadline: Instant,
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed, or announces to be.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It was not complete in time.
    #[error("the body was not complete in time")]
    TooSlow,
    /// It broke off, or its framing is invalid.
    #[error("the body broke off: {0}")]
    Broken(hyper::Error),
    /// There was no memory for it.
    #[error(transparent)]
    NoMemory(#[from] NoBodyMemory),
    /// Its connection had to make room for others.
    #[error("there are too many connections; send it again later, or raise the limit of descriptors")]
    ConnectionEvicted,
}

/// A complete body, which holds memory until it is dropped.
pub struct RequestBody {
    bytes: BodyBytes,
    hold: Option<BodyHold>,
}

impl RequestBody {
    /// Reads the body of the request with this head to its end. One that announces a length over the bound is refused unread.
    ///
    /// # Errors
    /// When the body exceeds a bound, breaks off or finds no memory.
    pub async fn read(
        parts: &Parts,
        body: Incoming,
        bounds: BodyBounds,
        memory: &BodyMemory,
    ) -> Result<Self, BodyError> {
        if body.is_end_stream() {
            return Ok(Self { bytes: BodyBytes::Heap(Vec::new()), hold: None });
        }
        let announced = body.size_hint();
        if announced.lower() > bounds.bytes as u64 {
            return Err(BodyError::TooLong);
        }
        let longest_bytes =
            announced.exact().and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(bounds.bytes);
        let connection = parts.extensions.get::<CallerConnection>();
        let body_evicted = CancellationToken::new();
        let hold = memory.begin(body_evicted.clone());
        let mut reading =
            Reading { body, bytes: BodyBytes::Heap(Vec::new()), hold, longest_bytes, connection };
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at(bounds.deadline, reading.read_to_end()) => read,
            () = body_evicted.cancelled() => return Err(NoBodyMemory.into()),
            () = connection_evicted(connection) => return Err(BodyError::ConnectionEvicted),
        };
        read.map_err(|_| BodyError::TooSlow)??;
        let Reading { bytes, mut hold, .. } = reading;
        hold.complete()?;
        if let Some(connection) = connection {
            connection.complete_body();
        }
        Ok(Self { bytes, hold: Some(hold) })
    }

    /// Returns the body.
    pub fn as_slice(&self) -> &[u8] {
        self.bytes.as_ref()
    }

    /// Takes memory for `bytes` beside the body.
    ///
    /// # Errors
    /// When there is no memory.
    pub async fn cover_more(&mut self, bytes: u64) -> Result<(), NoBodyMemory> {
        let received_bytes = self.as_slice().len() as u64;
        match &mut self.hold {
            Some(hold) => hold.cover(received_bytes + bytes, received_bytes).await,
            None => Ok(()),
        }
    }

    /// Drops the body and returns its hold on memory, for what was made of it.
    pub fn into_hold(self) -> Option<BodyHold> {
        self.hold
    }

    /// Returns the body in a form that is cheap to clone. The memory is held until the last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.hold.is_none() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for RequestBody {
    fn as_ref(&self) -> &[u8] {
        self.as_slice()
    }
}

/// Waits until the connection has to make room for others.
async fn connection_evicted(connection: Option<&CallerConnection>) {
    match connection {
        Some(connection) => connection.evicted().await,
        None => std::future::pending().await,
    }
}

/// A body that is being read.
struct Reading<'a> {
    body: Incoming,
    bytes: BodyBytes,
    hold: BodyHold,
    /// The announced length, or the greatest that is allowed.
    longest_bytes: usize,
    connection: Option<&'a CallerConnection>,
}

impl Reading<'_> {
    async fn read_to_end(&mut self) -> Result<(), BodyError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            let length = self.bytes.as_ref().len() + data.len();
            if length > self.longest_bytes {
                return Err(BodyError::TooLong);
            }
            if let Some(connection) = self.connection {
                connection.record_received(data.len());
            }
            self.hold.cover(length as u64, length as u64).await?;
            self.bytes.append(&data, self.longest_bytes)?;
        }
        Ok(())
    }
}

/// The bytes of a body.
enum BodyBytes {
    Heap(Vec<u8>),
    /// Pages for the longest body that may come, of which those that were written to take memory.
    Pages {
        pages: MmapMut,
        length: usize,
    },
}

impl BodyBytes {
    /// Appends bytes to a body that may become `longest_bytes` long.
    fn append(&mut self, data: &[u8], longest_bytes: usize) -> Result<(), NoBodyMemory> {
        match self {
            Self::Heap(bytes) if bytes.len() + data.len() <= MAX_HEAP_BYTES => bytes.extend_from_slice(data),
            Self::Heap(bytes) => {
                let mut pages = map_pages(longest_bytes)?;
                let length = bytes.len() + data.len();
                pages[..bytes.len()].copy_from_slice(bytes);
                pages[bytes.len()..length].copy_from_slice(data);
                *self = Self::Pages { pages, length };
            }
            Self::Pages { pages, length } => {
                pages[*length..*length + data.len()].copy_from_slice(data);
                *length += data.len();
            }
        }
        Ok(())
    }
}

impl AsRef<[u8]> for BodyBytes {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Pages { pages, length } => &pages[..*length],
        }
    }
}

fn map_pages(bytes: usize) -> Result<MmapMut, NoBodyMemory> {
    let no_memory = |error| {
        log::warn!(target: "http", "No pages for a request body: {error}; raise the limit of the address space.");
        NoBodyMemory
    };
    let pages = MmapMut::map_anon(bytes).map_err(no_memory)?;
    // Huge pages would take memory that was not written to. Without the advice the system's own setting holds.
    #[cfg(target_os = "linux")]
    let _ = pages.advise(memmap2::Advice::NoHugePage);
    Ok(pages)
}
