//! One generation from its claim to its outcome, for the project's own interface.
//!
//! [`execution`] drives it, [`outcome`] proves whether it ran, [`assembly`] puts its answer together from
//! numbered chunks.

pub mod answer;
pub mod assembly;
pub mod execution;
pub mod outcome;
