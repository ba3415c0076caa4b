//! Deterministic simulation of the configuration (brief point 9): nodes, platform and operators on a virtual clock.
//!
//! The nodes run the daemon's own state machines: [`lichenpulley_core::configuration`]. The network loses, doubles
//! and delays messages; nodes are killed and restarted empty, frozen and cut off; the platform is down, slow or
//! loses replies after a write took effect; operators race each other and repeat what got no answer. The failure
//! detector is simulated by its delays.

mod changes;
pub mod checks;
pub mod history;
pub mod membership;
pub mod node;
pub mod operator;
pub mod options;
pub mod packet;
pub mod platform;
pub mod process;
mod report;
pub mod world;

use crate::simulations::ScheduleReport;

use options::WorldOptions;
pub use report::RunReport;
use world::World;

/// Runs each seed once.
pub fn run_seeds(seeds: impl IntoIterator<Item = u64>, options: &WorldOptions) -> RunReport {
    let mut total = RunReport::default();
    for seed in seeds {
        total.add(World::run(seed, options.clone()));
    }
    total
}

/// Runs the schedule of a seed with every mechanism on.
pub(crate) fn run_schedule(seed: u64) -> ScheduleReport {
    World::run(seed, WorldOptions::default()).summarized()
}
