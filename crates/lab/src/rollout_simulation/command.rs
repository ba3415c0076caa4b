//! `lichenpulley-lab simulate-rollout`: many schedules, counted.

use std::ops::Range;
use std::thread;

use getopts::{Matches, Options};

use super::world::{Mechanisms, RunReport, Schedule, run_seed};
use crate::error::LabError;

/// Schedules tried where none are named.
const DEFAULT_SEEDS: u64 = 1_000;
/// Threads where none are named.
const DEFAULT_THREADS: u64 = 2;
/// Violations printed in full.
const PRINTED_VIOLATIONS: usize = 10;

/// Runs `--seeds` schedules from `--first-seed` on and prints what was found.
///
/// # Errors
/// When the arguments can't be used, or when an invariant was broken.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = Options::new();
    options.optopt("", "seeds", "schedules to try (default 1000)", "NUMBER");
    options.optopt("", "first-seed", "the first schedule's seed (default 0)", "NUMBER");
    options.optopt("", "threads", "threads to use (default 2)", "NUMBER");
    options.optflag("", "only-at-hand-over", "test staleness at hand-over only, not earlier");
    options.optflag("", "calm", "no faults, and one version a step");
    options.optflag("h", "help", "print this help and end");
    let matches = options.parse(arguments).map_err(|error| LabError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("usage: lichenpulley-lab simulate-rollout [options]"));
        return Ok(());
    }
    let first = number(&matches, "first-seed", 0)?;
    let seeds = first..first.saturating_add(number(&matches, "seeds", DEFAULT_SEEDS)?);
    let threads = number(&matches, "threads", DEFAULT_THREADS)?.max(1);
    let mut mechanisms = Mechanisms::default();
    mechanisms.owner.staleness_before_hand_over = !matches.opt_present("only-at-hand-over");
    let schedule = Schedule { calm: matches.opt_present("calm"), ..Schedule::default() };
    let summary = run_all(&seeds, threads, schedule, mechanisms);
    summary.print();
    match summary.broken.len() {
        0 => Ok(()),
        count => Err(LabError::CheckFailed(format!("{count} schedules broke an invariant"))),
    }
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64, LabError> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().map_err(|_| LabError::Usage(format!("--{name} takes a whole number, not `{text}`")))
}

fn run_all(seeds: &Range<u64>, threads: u64, schedule: Schedule, mechanisms: Mechanisms) -> Summary {
    thread::scope(|scope| {
        let part = |thread: u64| {
            let seeds = seeds.clone().skip(usize::try_from(thread).unwrap_or(0));
            let seeds = seeds.step_by(usize::try_from(threads).unwrap_or(1));
            scope.spawn(move || Summary::of(seeds, schedule, mechanisms))
        };
        let parts: Vec<_> = (0..threads).map(part).collect();
        let joined = parts.into_iter().filter_map(|part| part.join().ok());
        joined.fold(Summary::default(), Summary::merged)
    })
}

/// Sums over schedules.
#[derive(Default)]
struct Summary {
    schedules: u64,
    totals: RunReport,
    broken: Vec<(u64, RunReport)>,
}

impl Summary {
    fn of(seeds: impl Iterator<Item = u64>, schedule: Schedule, mechanisms: Mechanisms) -> Self {
        let mut summary = Self::default();
        for seed in seeds {
            let report = run_seed(seed, &schedule, mechanisms);
            summary.schedules += 1;
            summary.totals.add(&report);
            if !report.violations.is_empty() {
                summary.broken.push((seed, report));
            }
        }
        summary
    }

    fn merged(mut self, other: Self) -> Self {
        self.schedules += other.schedules;
        self.totals.add(&other.totals);
        self.broken.extend(other.broken);
        self
    }

    fn print(&self) {
        let RunReport { faults, messages, saved, takeovers, superseded, voided, reopened, tokens, .. } =
            &self.totals;
        println!("schedules tried       {}", self.schedules);
        println!("schedules broken      {}", self.broken.len());
        println!("faults                {faults}");
        println!("messages delivered    {messages}");
        println!("slots saved           {saved}");
        println!("take-overs            {takeovers} ({superseded} superseded later)");
        println!("batches voided        {voided}");
        println!("slots reopened        {reopened}");
        println!("tokens decided        {}", tokens.decided);
        println!("tokens thrown away    {} while running", tokens.cancelled);
        println!("                      {} at decision", tokens.stale_at_decision);
        println!("                      {} at hand-over", tokens.stale_at_hand_over);
        for (seed, report) in self.broken.iter().take(PRINTED_VIOLATIONS) {
            for violation in &report.violations {
                println!("seed {seed}: {violation}");
            }
        }
    }
}
