//! Crowds of callers that announce or send too much, and the processes that have to bear them.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod crowd;
pub mod edge;
pub mod native;
pub mod usage;

use std::time::Duration;

/// Bounds a test that would fail anyway.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Memory of the smallest machine that carries traffic, in megabytes.
pub const MEMORY_MB: usize = 88;
pub const MEMORY_BYTES: u64 = MEMORY_MB as u64 * 1_000_000;
