//! Errors of calls by the HTTP client, by whether any of the request was sent and whether it was answered.
//! Callers repeat only requests of which [`ClientError::nothing_sent`] proves that they did not run.

use std::error::Error as StdError;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::StatusCode;
use hyper_util::client::legacy;
use serde::de::DeserializeOwned;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No byte of the request was written, so it did not run.
    #[error("{address}: nothing was sent: {reason}; check that the service listens there")]
    NotSent {
        /// Address of the service.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// Some of the request may have been written and no complete response arrived: it may have run.
    #[error("{address}: sent, but no complete response arrived: {reason}; find out whether it took effect")]
    NoAnswer {
        /// Address of the service.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The response's status says that the request failed.
    #[error("{address}: answered {status}: {}", String::from_utf8_lossy(.body))]
    Status {
        /// Address of the service.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
        /// Body of the response, often a typed error.
        body: Bytes,
    },
    /// A successful response whose body can't be decoded.
    #[error("{address}: the response can't be decoded: {reason}; check that both sides run the same release")]
    BadAnswer {
        /// Address of the service.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The request can't be built from its path or body.
    #[error("the request can't be built: {reason}; correct the path or the body")]
    BadRequest {
        /// Cause.
        reason: String,
    },
}

impl ClientError {
    /// Returns whether it is certain that no byte of the request was written, so that repeating the request
    /// can't run it twice.
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::BadRequest { .. })
    }

    /// Returns the status of a response that says that the request failed.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Status { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Returns the body of a response that says that the request failed, decoded as JSON, if it is a valid
    /// `T`.
    pub fn body<T: DeserializeOwned>(&self) -> Option<T> {
        match self {
            Self::Status { body, .. } => serde_json::from_slice(body).ok(),
            _ => None,
        }
    }
}

/// Returns whether no byte of the request was written: no connection was made, or `hyper` returned the
/// request before it began to write it.
pub(super) fn is_unsent(error: &legacy::Error) -> bool {
    let unstarted = |source: &(dyn StdError + 'static)| {
        source.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled)
    };
    error.is_connect() || error.source().is_some_and(unstarted)
}
