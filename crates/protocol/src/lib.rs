//! Message types exchanged between processes.
//!
//! Callers, engines, the platform and operators exchange JSON over HTTP. Nodes exchange [`speedy`]-encoded messages
//! over `tarpc` (see [`internal`] and [`transport`]).

pub mod caller;
pub mod engine;
pub mod error;
pub mod internal;
pub mod operator;
pub mod platform;
pub mod transport;
