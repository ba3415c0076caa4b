//! Messages that cross a process boundary.
//!
//! Towards callers, engines, the platform and operators these are JSON bodies over HTTP; between our own
//! processes they are [`speedy`] bodies carried by `tarpc` (see [`internal`] and [`transport`]).

pub mod caller;
pub mod engine;
pub mod error;
pub mod internal;
pub mod operator;
pub mod platform;
pub mod transport;
