//! Requests through gateways to engines on a virtual clock, with faults at any moment.
//!
//! Owns the gateways' driving of [`Execution`]s, the schedules and the checks of what callers were answered. Relies on
//! the engine stand-in's model and on the core's executions, pools and claims.
//!
//! [`Execution`]: lichenpulley_core::request::execution::Execution

mod checks;
mod claims;
mod engine;
mod gateway;
mod mechanisms;
mod message;
mod process;
mod schedule;
mod submission;

pub use checks::{OutcomeTally, Violation};
pub use mechanisms::Mechanisms;
pub use schedule::{RequestSchedule, RunReport};

use crate::simulations::ScheduleReport;

/// Runs the schedule of a seed with every mechanism on.
pub(crate) fn run_schedule(seed: u64) -> ScheduleReport {
    let RunReport { violations, tally } = RequestSchedule::draw(seed).run(Mechanisms::ON);
    ScheduleReport {
        violations: violations.iter().map(ToString::to_string).collect(),
        counts: tally.counts(),
    }
}
