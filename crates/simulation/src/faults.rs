//! Fault plans drawn from a seed, in which faults may overlap.

use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::simulation::ProcessId;

/// A fault, or the recovery from one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a process.
    Kill(ProcessId),
    /// Restarts a killed process with its durable state.
    Restart(ProcessId),
    /// Pauses a process for a duration, without notice to it.
    Freeze(ProcessId, Duration),
    /// Partitions a group from all other processes.
    CutOff(Vec<ProcessId>),
    /// Restores all links.
    Heal,
}

/// The frequency and duration of the faults of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultRates {
    /// Mean time between two faults of any kind.
    pub mean_interval: Duration,
    /// Maximum duration of an outage, freeze or partition.
    pub longest_outage: Duration,
}

/// Faults in chronological order. Every kill is followed by a restart and every partition by a heal within
/// [`FaultRates::longest_outage`], so that recovery can be checked at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    faults: Vec<(Timestamp, Fault)>,
}

impl FaultPlan {
    /// Draws a plan of faults on `targets` over `duration` from a seed.
    pub fn draw(seed: u64, targets: &[ProcessId], duration: Duration, rates: FaultRates) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut plan = Self::default();
        let end = Timestamp::ORIGIN + duration;
        let mut at = Timestamp::ORIGIN + draw_interval(&mut random, rates.mean_interval);
        while at < end {
            plan.draw_fault(&mut random, targets, at, rates.longest_outage);
            at = at + draw_interval(&mut random, rates.mean_interval);
        }
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Returns the faults with their times.
    pub fn faults(&self) -> &[(Timestamp, Fault)] {
        &self.faults
    }

    fn draw_fault(&mut self, random: &mut Pcg64Mcg, targets: &[ProcessId], at: Timestamp, longest: Duration) {
        let Some(&target) = targets.choose(random) else { return };
        let outage = random.random_range(Duration::from_millis(1)..=longest.max(Duration::from_millis(1)));
        match random.random_range(0..3) {
            0 => {
                self.faults.push((at, Fault::Kill(target)));
                self.faults.push((at + outage, Fault::Restart(target)));
            }
            1 => self.faults.push((at, Fault::Freeze(target, outage))),
            _ => {
                let size = random.random_range(1..=targets.len().div_ceil(2));
                let group = targets.sample(random, size).copied().collect();
                self.faults.push((at, Fault::CutOff(group)));
                self.faults.push((at + outage, Fault::Heal));
            }
        }
    }
}

/// Draws an interval, uniformly distributed from 1 µs to twice the mean.
fn draw_interval(random: &mut Pcg64Mcg, mean: Duration) -> Duration {
    random.random_range(Duration::from_micros(1)..=mean.saturating_mul(2).max(Duration::from_micros(1)))
}
