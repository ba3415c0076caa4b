//! What each tenant used: how many of its requests began to run in each window of time, reported to the
//! platform once.
//!
//! Nodes count what they pass on ([`meter`]) and hand it to the holder of the duty, which keeps it in its log
//! before it says so: [`account`] is what the records amount to, [`reporter`] decides when a window is closed
//! and reported. Clocks of single nodes may jump; [`median_clock`] goes by most of them.

pub mod account;
pub mod median_clock;
pub mod meter;
pub mod reporter;
pub mod window;
