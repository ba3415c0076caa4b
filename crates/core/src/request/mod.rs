//! Runs one generation request of the native API from its claim to its outcome.
//!
//! [`execution`] drives the request, [`outcome`] proves whether an engine ran it, and [`assembly`] builds its
//! answer from numbered chunks.

pub mod answer;
pub mod assembly;
pub mod execution;
pub mod outcome;
