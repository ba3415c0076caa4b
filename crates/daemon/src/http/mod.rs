//! HTTP servers and clients, by `hyper`, for all interfaces of the node.
//!
//! [`server`] accepts and [`request`], [`response`] and [`events`] read and write what callers see;
//! [`client`] calls engines and the platform's store. Knows nothing of routes or of replicas.

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
