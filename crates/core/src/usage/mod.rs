//! Usage of each tenant: the number of its requests that started in each time window, reported to the platform
//! once.
//!
//! Nodes count the requests they forward ([`meter`]) and report them to the duty holder, which commits them to
//! its log before it acknowledges the report. [`account`] is the state derived from the records, and
//! [`reporter`] decides when a window is closed and reported. [`median_clock`] tolerates wrong clocks on single
//! nodes.

pub mod account;
pub mod median_clock;
pub mod meter;
pub mod reporter;
pub mod window;
