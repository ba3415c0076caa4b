//! When to try again: budget, backoff and the time to come back.

pub mod backoff;
pub mod budget;
pub mod drain_rate;
