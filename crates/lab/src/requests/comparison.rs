//! `lichenpulley-lab compare-requests`: what mechanisms of the request path cost and spare, on the same schedules.

use super::checks::Tally;
use super::mechanisms::Mechanisms;
use super::schedule::{Cost, Schedule};
use crate::arguments;
use crate::error::LabError;

/// `lichenpulley-lab compare-requests`.
///
/// # Errors
/// When the command line is wrong.
pub async fn compare(arguments: &[String]) -> Result<(), LabError> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seeds", "schedules for each row (default 50)", "COUNT");
    flags.optflag("h", "help", "print this help and end");
    let Some(matches) = arguments::parse("compare-requests", &flags, arguments)? else {
        return Ok(());
    };
    let seeds: u64 = arguments::value_or(&matches, "seeds", "50")?;
    let without_resume = Mechanisms { resume: false, ..Mechanisms::ON };
    let without_budget = Mechanisms { retry_budget: false, ..Mechanisms::ON };

    println!("Engines that fail, freeze and are cut off; {seeds} schedules:");
    print_head();
    print_row("resumed, goes on elsewhere", &measure(seeds, Schedule::draw_breaks, Mechanisms::ON));
    print_row("begun anew", &measure(seeds, Schedule::draw_breaks, without_resume));

    println!("\nA brown-out, all engines ten times slower for 10 of 40 s; {seeds} schedules:");
    print_head();
    print_row("with a retry budget", &measure(seeds, Schedule::draw_brown_out, Mechanisms::ON));
    print_row("without one", &measure(seeds, Schedule::draw_brown_out, without_budget));
    let without_limits = Mechanisms { concurrency_limits: false, ..Mechanisms::ON };
    print_row("with one, without limits", &measure(seeds, Schedule::draw_brown_out, without_limits));
    let without_both = Mechanisms { concurrency_limits: false, ..without_budget };
    print_row("without either", &measure(seeds, Schedule::draw_brown_out, without_both));
    Ok(())
}

fn measure(seeds: u64, draw: impl Fn(u64) -> Schedule, mechanisms: Mechanisms) -> (Tally, Cost) {
    let (mut tally, mut cost) = (Tally::default(), Cost::default());
    for seed in 1..=seeds {
        let report = draw(seed).run(mechanisms);
        tally.add(&report.tally);
        cost.add(&report.cost);
    }
    (tally, cost)
}

fn print_head() {
    println!(
        "  {:28} {:>8} {:>8} {:>14} {:>16} {:>14} {:>9} {:>9}",
        "", "requests", "whole", "tokens/answer", "attempts/request", "in 10 to 20 s", "p50 s", "p99 s"
    );
}

fn print_row(name: &str, (tally, cost): &(Tally, Cost)) {
    let ratio = |above: u64, below: u64| above as f64 / below.max(1) as f64;
    println!(
        "  {:28} {:>8} {:>8} {:>14.3} {:>16.3} {:>14.3} {:>9.2} {:>9.2}",
        name,
        tally.submitted,
        tally.completed,
        ratio(cost.tokens_generated, cost.tokens_answered),
        ratio(cost.attempts, tally.submitted),
        ratio(cost.attempts_in_brown_out, cost.submitted_in_brown_out),
        cost.wait_percentile(50).as_secs_f64(),
        cost.wait_percentile(99).as_secs_f64(),
    );
}
