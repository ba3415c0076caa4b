//! When to try again: budget, backoff and the time to come back.
