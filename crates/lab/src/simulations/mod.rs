//! Simulations of the daemon's own state machines on a virtual clock, each under faults drawn from a seed.
//!
//! Owns the list of simulations and what a schedule of any of them reports. Each simulation relies on
//! `lichenpulley-simulation` for clock, network and faults, and on the core for the state machines under proof;
//! docs/proofs.md says which promise each of them shows.

mod command;
pub mod configuration;
pub mod replication;
pub mod requests;
pub mod rollout;
pub mod weights;

pub use command::run;

/// What one schedule of any simulation showed, with every mechanism on.
#[derive(Clone, Debug, Default)]
pub struct ScheduleReport {
    /// Broken invariants, in words.
    pub violations: Vec<String>,
    /// What the schedule did, by name, so that a run without violations can be seen to have tried something.
    pub counts: Vec<(&'static str, u64)>,
}

/// One simulation.
pub struct SeededSimulation {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Runs the schedule of a seed to its end.
    pub run_schedule: fn(u64) -> ScheduleReport,
}

/// Every simulation, in the order in which help lists them.
pub const SIMULATIONS: &[SeededSimulation] = &[
    SeededSimulation {
        name: "configuration",
        help: "changes of configuration: in force everywhere within seconds, never lost or reverted",
        run_schedule: configuration::run_schedule,
    },
    SeededSimulation {
        name: "replication",
        help: "logs, claims and replica sets that operators change",
        run_schedule: replication::run_schedule,
    },
    SeededSimulation {
        name: "replication-by-owner",
        help: "the same, where the log's owner changes its stores and is cut off meanwhile",
        run_schedule: replication::run_schedule_by_owner,
    },
    SeededSimulation {
        name: "requests",
        help: "requests through gateways to engines: whole answers, true outcomes, at most one run",
        run_schedule: requests::run_schedule,
    },
    SeededSimulation {
        name: "rollout",
        help: "rollout jobs: each sample once, with its versions, and not too old",
        run_schedule: rollout::run_schedule,
    },
    SeededSimulation {
        name: "weights",
        help: "weight waves: within the limit of fetches, never back, and everywhere in the end",
        run_schedule: weights::run_schedule,
    },
];
