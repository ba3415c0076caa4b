//! Deterministic simulation of the configuration (brief point 9): nodes, platform and operators on a virtual clock.
//!
//! The nodes run the daemon's own state machines: [`lichenpulley_core::configuration`]. The network loses, doubles
//! and delays messages; nodes are killed and restarted empty, frozen and cut off; the platform is down, slow or
//! loses replies after a write took effect; operators race each other and repeat what got no answer. The failure
//! detector is simulated by its delays.

mod changes;
pub mod checks;
pub mod history;
pub mod machine;
pub mod membership;
pub mod node;
pub mod operator;
pub mod packet;
pub mod platform;
pub mod world;

use crate::arguments::{parse, value_or};
use crate::error::LabError;

use checks::Violation;
use world::{Report, World, WorldOptions};

/// Violations that are printed, each with its seed.
const SHOWN_VIOLATIONS: usize = 20;

/// `lichenpulley-lab simulate-configuration`.
///
/// # Errors
/// When the command line is wrong, or a seed violates what must hold.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "how many seeds to run (default 200)", "N");
    options.optopt("", "first-seed", "the first seed (default 0)", "N");
    options.optopt("", "nodes", "nodes in each run (default 12)", "N");
    options.optflag("h", "help", "print this help and end");
    let Some(matches) = parse("simulate-configuration", &options, arguments)? else { return Ok(()) };
    let seeds: u64 = value_or(&matches, "seeds", "200")?;
    let first: u64 = value_or(&matches, "first-seed", "0")?;
    let world = WorldOptions { nodes: value_or(&matches, "nodes", "12")?, ..WorldOptions::default() };
    let summary = run_seeds(first..first + seeds, &world);
    println!("{}", summary.describe());
    for (seed, violation) in summary.violations.iter().take(SHOWN_VIOLATIONS) {
        println!("seed {seed}: {violation}");
    }
    match summary.violations.first() {
        None => Ok(()),
        Some((seed, violation)) => Err(LabError::CheckFailed(format!(
            "{} violations; the first with seed {seed}: {violation}; run it again with --first-seed {seed} --seeds 1",
            summary.violations.len()
        ))),
    }
}

/// What many seeds showed.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Runs.
    pub schedules: usize,
    /// Faults in all.
    pub faults: usize,
    /// Changes accepted in all.
    pub accepted: usize,
    /// Changes that lost a race, in all.
    pub conflicts: usize,
    /// Changes of which nothing was written, in all.
    pub not_written: usize,
    /// Changes of which the operator does not know, in all.
    pub unknown: usize,
    /// Replies lost after a write took effect, in all.
    pub lost_replies: u64,
    /// The most readers of one region at once.
    pub most_readers: usize,
    /// What must never happen and did, with its seed.
    pub violations: Vec<(u64, Violation)>,
}

impl Summary {
    fn add(&mut self, seed: u64, report: Report) {
        self.schedules += 1;
        self.faults += report.faults;
        self.accepted += report.ends.accepted;
        self.conflicts += report.ends.conflicts;
        self.not_written += report.ends.not_written;
        self.unknown += report.ends.unknown;
        self.lost_replies += report.lost_replies;
        self.most_readers = self.most_readers.max(report.most_readers);
        self.violations.extend(report.violations.into_iter().map(|violation| (seed, violation)));
    }

    /// The summary for people.
    pub fn describe(&self) -> String {
        format!(
            "schedules {}, faults {}, changes accepted {}, lost a race {}, not written {}, unknown {}, \
             replies lost after the write {}, most readers of a region {}, violations {}",
            self.schedules,
            self.faults,
            self.accepted,
            self.conflicts,
            self.not_written,
            self.unknown,
            self.lost_replies,
            self.most_readers,
            self.violations.len()
        )
    }
}

/// Runs each seed once.
pub fn run_seeds(seeds: impl IntoIterator<Item = u64>, options: &WorldOptions) -> Summary {
    let mut summary = Summary::default();
    for seed in seeds {
        summary.add(seed, World::run(seed, options.clone()));
    }
    summary
}
