//! `lichenpulley-lab simulate NAME`: runs the schedules of many seeds and adds up what they did.

use super::{SIMULATIONS, ScheduleReport, SeededSimulation};
use crate::arguments::{help_option, parse, value_or};
use crate::error::LabError;

/// Violations printed in full. Chosen, not measured: a screenful; more of them say nothing new.
const PRINTED_VIOLATIONS: usize = 20;

/// Runs `--seeds` schedules of one simulation from `--first-seed` on, and prints what was found.
///
/// # Errors
/// When the command line is wrong, or a schedule broke an invariant.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let Some((name, rest)) = arguments.split_first().filter(|(name, _)| !name.starts_with('-')) else {
        return Err(LabError::Usage(format!("simulate: name a simulation, one of:\n{}", list())));
    };
    let simulation = SIMULATIONS.iter().find(|simulation| simulation.name == name);
    let Some(simulation) = simulation else {
        return Err(LabError::Usage(format!(
            "simulate: `{name}` is no simulation; take one of:\n{}",
            list()
        )));
    };
    let mut options = help_option();
    options.optopt("", "seeds", "schedules to try (default 200)", "COUNT");
    options.optopt("", "first-seed", "the first schedule's seed (default 0)", "SEED");
    let Some(matches) = parse(&format!("simulate {name}"), &options, rest)? else { return Ok(()) };
    let seeds: u64 = value_or(&matches, "seeds", "200")?;
    let first: u64 = value_or(&matches, "first-seed", "0")?;
    let mut total = ScheduleTotal::default();
    for seed in first..first.saturating_add(seeds) {
        total.add(seed, (simulation.run_schedule)(seed));
    }
    total.print();
    total.judge(simulation)
}

fn list() -> String {
    let lines = SIMULATIONS.iter().map(|simulation| format!("  {:20}  {}", simulation.name, simulation.help));
    lines.collect::<Vec<_>>().join("\n")
}

/// Sums over schedules.
#[derive(Default)]
struct ScheduleTotal {
    schedules: u64,
    counts: Vec<(&'static str, u64)>,
    /// Seeds that broke an invariant.
    broken: Vec<u64>,
    violations: Vec<(u64, String)>,
}

impl ScheduleTotal {
    fn add(&mut self, seed: u64, report: ScheduleReport) {
        self.schedules += 1;
        if self.counts.is_empty() {
            self.counts = report.counts;
        } else {
            let counts = self.counts.iter_mut().zip(report.counts);
            counts.for_each(|((_, sum), (_, count))| *sum += count);
        }
        if !report.violations.is_empty() {
            self.broken.push(seed);
        }
        self.violations.extend(report.violations.into_iter().map(|violation| (seed, violation)));
    }

    fn print(&self) {
        println!("schedules tried {}, broken {}", self.schedules, self.broken.len());
        for (name, count) in &self.counts {
            println!("{name:36} {count}");
        }
        for (seed, violation) in self.violations.iter().take(PRINTED_VIOLATIONS) {
            println!("seed {seed}: {violation}");
        }
    }

    fn judge(&self, simulation: &SeededSimulation) -> Result<(), LabError> {
        let Some(seed) = self.broken.first() else { return Ok(()) };
        let (count, name) = (self.broken.len(), simulation.name);
        Err(LabError::CheckFailed(format!(
            "{count} schedules broke an invariant; repeat the first with `simulate {name} --first-seed {seed} --seeds 1`"
        )))
    }
}
