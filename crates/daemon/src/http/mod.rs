//! HTTP/1 server and client, based on `hyper`, for all interfaces of the node.
//!
//! [`server`] accepts [`connections`]; [`request_body`] reads bodies within [`body_memory`]; [`request`], [`response`]
//! and [`events`] decode requests and build responses; [`unread`] bounds what is kept for callers that do not read;
//! [`client`] calls engines and the platform's store. Routes are defined by the users of this module.

pub(crate) mod accept;
pub mod body_memory;
pub mod client;
mod closing_port;
mod connection;
pub mod connections;
pub mod events;
pub mod request;
pub mod request_body;
pub mod response;
pub mod server;
mod server_socket;
pub mod socket;
pub mod unread;

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of a response of this node. An error aborts the connection, so that the reader detects that the body
/// is incomplete.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
