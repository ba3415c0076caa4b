//! HTTP servers and clients, by `hyper`.

pub mod client;
pub mod events;
pub mod request;
pub mod response;
pub mod server;
pub mod socket;

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// The body of a response of ours. An error breaks the connection off, so that the reader sees that it is not
/// whole.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
