//! Seeded plans of faults, several at once.

use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::simulation::ProcessId;

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process dies.
    Kill(ProcessId),
    /// A dead process comes back with what was durable.
    Restart(ProcessId),
    /// A process stops for a while and wakes believing that no time has passed.
    Freeze(ProcessId, Duration),
    /// A group is cut off from all others.
    CutOff(Vec<ProcessId>),
    /// Every cut ends.
    Heal,
}

/// How often each fault falls, on average over the whole plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultRates {
    /// The mean time between two faults of any kind.
    pub mean_interval: Duration,
    /// The longest time that a killed process stays down, a freeze lasts or a cut stays.
    pub longest_outage: Duration,
}

/// Faults in the order of their times. Every kill is followed by a restart and every cut by a heal, no later than
/// [`FaultRates::longest_outage`] after it, so that a run can be checked for recovery at its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    faults: Vec<(Timestamp, Fault)>,
}

impl FaultPlan {
    /// Draws a plan for some processes over `duration` from its own seed.
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

    /// The faults with their times.
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

/// An interval uniform between nothing and twice the mean.
fn draw_interval(random: &mut Pcg64Mcg, mean: Duration) -> Duration {
    random.random_range(Duration::from_micros(1)..=mean.saturating_mul(2).max(Duration::from_micros(1)))
}
