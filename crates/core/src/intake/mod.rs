//! Bounds what a process takes in from callers that it doesn't control. The module performs no I/O.
//!
//! [`bodies`] divides the memory for request bodies, and [`connections`] the connections. Both favour callers that are
//! served or that keep sending over those that keep the process waiting, which [`lag`] measures. [`json`]
//! estimates what is made of a body when it is read. The daemon's `http` supplies sockets, clock and locking.

pub mod bodies;
pub mod connections;
pub mod json;
pub mod lag;
