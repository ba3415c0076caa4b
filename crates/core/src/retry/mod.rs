//! When to try again: the time for one attempt, the pause before the next, the budget of retries, and the time after
//! which a caller may come back. Rules and figures only; senders in the daemon and the batch jobs' controllers apply them.

pub mod attempt_timeout;
pub mod backoff;
pub mod budget;
pub mod drain_rate;
pub mod retry_after;
