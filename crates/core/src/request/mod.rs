//! What became of a request: its outcome, and the assembly of its answer from numbered chunks.

pub mod answer;
pub mod assembly;
pub mod execution;
pub mod outcome;
