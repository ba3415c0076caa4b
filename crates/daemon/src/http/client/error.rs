//! What is known about a call that gave no usable answer: whether any of it was sent, and what was answered.
//! Callers repeat only what [`ClientError::nothing_sent`] proves not to have run.

use std::error::Error as StdError;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::StatusCode;
use hyper_util::client::legacy;
use serde::de::DeserializeOwned;

/// Why a call gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Nothing of the request was written: it did not run there.
    #[error("{address}: nothing was sent: {reason}; check that the service listens there")]
    NotSent {
        /// Where it should have gone.
        address: SocketAddr,
        /// What stood in the way.
        reason: String,
    },
    /// Some of the request may have been written and no whole answer came: it may have run.
    #[error("{address}: sent, but no whole answer came: {reason}; ask again what became of it")]
    NoAnswer {
        /// Where it went.
        address: SocketAddr,
        /// What broke.
        reason: String,
    },
    /// The answer's status says that the request failed.
    #[error("{address}: answered {status}: {}", String::from_utf8_lossy(.body))]
    Status {
        /// Who answered.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The body, often a typed error.
        body: Bytes,
    },
    /// A successful answer whose body is not of the expected form.
    #[error("{address}: the answer can't be read: {reason}; check that both sides run the same release")]
    BadAnswer {
        /// Who answered.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// The path or body can't be sent at all.
    #[error("the request can't be built: {reason}; mend the path or the body")]
    BadRequest {
        /// What is wrong with it.
        reason: String,
    },
}

impl ClientError {
    /// Whether it is proved that no byte of the request was written (brief point 5).
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::BadRequest { .. })
    }

    /// The status, where there was an answer.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Status { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// The body of a failed answer, where it is of this form.
    pub fn body<T: DeserializeOwned>(&self) -> Option<T> {
        match self {
            Self::Status { body, .. } => serde_json::from_slice(body).ok(),
            _ => None,
        }
    }
}

/// Whether no byte of the request was written: the connection was never made, or `hyper` handed the request
/// back before it began to write it.
pub(super) fn is_unsent(error: &legacy::Error) -> bool {
    let unstarted = |source: &(dyn StdError + 'static)| {
        source.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled)
    };
    error.is_connect() || error.source().is_some_and(unstarted)
}
