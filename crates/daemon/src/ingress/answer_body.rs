//! Reads replicas' plain answers and failures within bounds, for each answer and for all that are being read.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::http::response::Parts;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::headers;
use crate::http::{Body, response};

/// Maximum size of a plain answer's body whose length is declared, in bytes. The body is buffered in memory before it is
/// returned.
pub const MAX_PLAIN_ANSWER_BYTES: usize = 32 << 20;
/// Maximum size of a plain answer's body without a declared length, in bytes. Only this bound ends it if it has no end.
pub const MAX_UNDECLARED_ANSWER_BYTES: usize = 8 << 20;
/// Bytes of each answer that are not counted against the memory of all, so that usual answers are read also while
/// others exceed it.
const UNCOUNTED_BYTES: usize = 64 << 10;
/// Divisor of the machine's memory for the counted bytes of all answers. A machine of 256 MiB reads one answer of the
/// largest size at a time.
const MEMORY_DIVISOR: usize = 8;
/// Bytes for one permit.
const PERMIT_BYTES: usize = 64 << 10;

/// Why the body of an answer was not read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection closed or the framing is invalid.
    #[error("it broke off: {0}; check the replica")]
    Broken(hyper::Error),
    /// The connection closed after the head of a success without a length.
    #[error(
        "its connection closed right after its head, which names no length; check the replica, or let it send `content-length: 0`"
    )]
    Missing,
    /// The body is too long.
    #[error(
        "it has more than {limit_bytes} bytes; check the replica, or let it declare a length or send less at a time"
    )]
    TooLong {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// Other long answers are being read.
    #[error("long answers take all the memory for them; check the replicas, or give the machine more memory")]
    NoMemory,
}

/// A replica's response with its complete body.
pub(super) struct BufferedAnswer {
    pub(super) head: Parts,
    body: Bytes,
}

impl BufferedAnswer {
    /// Returns the response to the caller.
    pub(super) fn into_response(self) -> Response<Body> {
        let mut passed = Response::new(response::full(self.body));
        *passed.status_mut() = self.head.status;
        *passed.headers_mut() = headers::end_to_end(&self.head.headers);
        passed
    }
}

/// The memory for answers that are being read. Cheap to clone.
#[derive(Clone, Debug)]
pub struct AnswerMemory(Arc<Semaphore>);

impl AnswerMemory {
    /// Returns the memory for answers on a machine with this memory.
    pub fn for_machine(memory_bytes: u64) -> Self {
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        let permits = memory_bytes / MEMORY_DIVISOR / PERMIT_BYTES;
        Self(Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))))
    }

    /// Reads a response to its end.
    ///
    /// # Errors
    /// When its body breaks off, exceeds a bound or may be missing.
    pub(super) async fn read_whole(&self, response: Response<Incoming>) -> Result<BufferedAnswer, BodyError> {
        let needs_body = needs_body(&response);
        let (head, body) = response.into_parts();
        let body = self.read(body).await?;
        if needs_body && body.is_empty() {
            return Err(BodyError::Missing);
        }
        Ok(BufferedAnswer { head, body })
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// When the body breaks off or exceeds a bound.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let is_declared = body.size_hint().exact().is_some();
        let limit_bytes = if is_declared { MAX_PLAIN_ANSWER_BYTES } else { MAX_UNDECLARED_ANSWER_BYTES };
        let mut first = None;
        let mut buffer = BytesMut::new();
        let mut held: Vec<OwnedSemaphorePermit> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            let length = first.as_ref().map_or(buffer.len(), Bytes::len) + data.len();
            if length > limit_bytes {
                return Err(BodyError::TooLong { limit_bytes });
            }
            while length.saturating_sub(UNCOUNTED_BYTES) > held.len() * PERMIT_BYTES {
                let permit = Arc::clone(&self.0).try_acquire_owned().map_err(|_| BodyError::NoMemory)?;
                held.push(permit);
            }
            // Most answers arrive as one piece, which is passed on without a copy.
            match first.take() {
                None if buffer.is_empty() => first = Some(data),
                Some(earlier) => {
                    buffer.extend_from_slice(&earlier);
                    buffer.extend_from_slice(&data);
                }
                None => buffer.extend_from_slice(&data),
            }
        }
        Ok(first.unwrap_or_else(|| buffer.freeze()))
    }
}

/// Whether a response without a body can't be told from one that broke off right after its head: it is a success, and only
/// the end of the connection would end its body.
pub(crate) fn needs_body(response: &Response<Incoming>) -> bool {
    response.status().is_success() && !response::is_framed(response)
}
