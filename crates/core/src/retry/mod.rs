//! Retry policy: the timeout of an attempt, the backoff before the next, the retry budgets of pools and services, and
//! the retry time given to a refused caller. The daemon's senders and the controllers of batch jobs apply it.

pub mod attempt_timeout;
pub mod backoff;
pub mod budget;
pub mod drain_rate;
pub mod early_moves;
pub mod retry_after;
