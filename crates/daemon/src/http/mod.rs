//! HTTP servers and clients, by `hyper`.

pub mod client;
pub mod events;
pub mod request;
pub mod response;
pub mod server;
pub mod socket;

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a response of ours.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
