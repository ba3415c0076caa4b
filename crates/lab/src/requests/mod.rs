//! `lichenpulley-lab simulate-requests`: many gateways and engines on a virtual clock, with faults at any moment.

mod checks;
mod claims;
mod engine;
mod gateway;
mod mechanisms;
mod message;
mod process;
mod schedule;
mod submission;

pub use checks::{Tally, Violation};
pub use mechanisms::Mechanisms;
pub use schedule::{Report, Schedule};

use crate::arguments;
use crate::error::LabError;

/// `lichenpulley-lab simulate-requests`.
///
/// # Errors
/// When the command line is wrong or a schedule shows a violation.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seeds", "schedules to try (default 500)", "COUNT");
    flags.optopt("", "first-seed", "the first seed (default 1)", "SEED");
    flags.optflag("h", "help", "show this help");
    let Some(matches) = arguments::parse("simulate-requests", &flags, arguments)? else {
        return Ok(());
    };
    let seeds: u64 = arguments::value_or(&matches, "seeds", "500")?;
    let first: u64 = arguments::value_or(&matches, "first-seed", "1")?;
    let mut total = Tally::default();
    for seed in first..first.saturating_add(seeds) {
        let report = Schedule::draw(seed).run(Mechanisms::ON);
        total.add(&report.tally);
        if let Some(violation) = report.violations.first() {
            return Err(LabError::CheckFailed(format!(
                "seed {seed}: {violation}; replay it with --first-seed"
            )));
        }
    }
    println!("{seeds} schedules tried, 0 violations.\n{total}");
    Ok(())
}
