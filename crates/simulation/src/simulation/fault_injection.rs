//! Faults in a running simulation: processes that are killed, restarted or frozen, and links that are cut.
//!
//! Owns nothing of its own: it changes the slots and cuts of [`Simulation`], by single calls or by a plan drawn before.

use std::time::Duration;

use super::{Process, ProcessId, Simulation};
use crate::faults::{Fault, FaultPlan};
use crate::link::LinkQuality;

impl<P: Process> Simulation<P> {
    /// Kills a process: it receives nothing more. What it would find on its disk is left in [`Self::process`].
    pub fn kill(&mut self, id: ProcessId) {
        self.slots[id.0].alive = false;
    }

    /// Starts a process again. `rebuild` makes the new state from the dead one's, keeping only what was durable.
    pub fn restart(&mut self, id: ProcessId, rebuild: impl FnOnce(&P) -> P) {
        let now = self.now;
        let slot = &mut self.slots[id.0];
        slot.process = rebuild(&slot.process);
        slot.alive = true;
        slot.frozen_until = now;
        slot.incarnation += 1;
        slot.wake_at = None;
        self.call(id, |process, now, outbox| process.start(now, outbox));
    }

    /// Stops a process for a while: messages wait for it and its timers are late, as under a long pause.
    pub fn freeze(&mut self, id: ProcessId, duration: Duration) {
        let until = self.now + duration;
        let slot = &mut self.slots[id.0];
        slot.frozen_until = slot.frozen_until.max(until);
    }

    /// Cuts every link between a group and all others, both ways.
    pub fn cut_off(&mut self, group: &[ProcessId]) {
        let outside: Vec<ProcessId> = self.ids().filter(|id| !group.contains(id)).collect();
        for &inner in group {
            for &outer in &outside {
                self.cuts.insert((inner, outer));
                self.cuts.insert((outer, inner));
            }
        }
    }

    /// Cuts one direction of one link.
    pub fn cut_link(&mut self, from: ProcessId, to: ProcessId) {
        self.cuts.insert((from, to));
    }

    /// Restores every link.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Applies one fault of a plan; a restart rebuilds the process with `rebuild`.
    pub fn apply(&mut self, fault: &Fault, rebuild: impl FnOnce(&P) -> P) {
        match fault {
            Fault::Kill(id) => self.kill(*id),
            Fault::Restart(id) if !self.is_alive(*id) => self.restart(*id, rebuild),
            Fault::Restart(_) => {}
            Fault::Freeze(id, duration) => self.freeze(*id, *duration),
            Fault::CutOff(group) => self.cut_off(group),
            Fault::Heal => self.heal(),
        }
    }

    /// Runs through a plan and applies each fault at its time, then heals the network for good.
    pub fn run_plan(&mut self, plan: &FaultPlan, rebuild: impl Fn(&P) -> P) {
        for (at, fault) in plan.faults() {
            self.run_until(*at);
            self.apply(fault, &rebuild);
        }
        self.heal();
        self.set_link(LinkQuality::GOOD);
    }
}
