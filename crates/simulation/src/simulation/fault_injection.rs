//! Fault injection for [`Simulation`]: kills, restarts and freezes processes, and cuts links.
//!
//! Faults are injected by single calls or by a [`FaultPlan`].

use std::time::Duration;

use super::{Process, ProcessId, Simulation};
use crate::faults::{Fault, FaultPlan};
use crate::link::LinkQuality;

impl<P: Process> Simulation<P> {
    /// Kills a process, which then receives no more messages. [`Self::process`] still returns its last state.
    pub fn kill(&mut self, id: ProcessId) {
        self.slots[id.0].alive = false;
    }

    /// Restarts a process. `rebuild` creates its new state from the durable part of the last one.
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

    /// Pauses a process for a duration; its messages and wake-ups are delivered afterwards.
    pub fn freeze(&mut self, id: ProcessId, duration: Duration) {
        let until = self.now + duration;
        let slot = &mut self.slots[id.0];
        slot.frozen_until = slot.frozen_until.max(until);
    }

    /// Cuts all links between a group and the other processes, in both directions.
    pub fn cut_off(&mut self, group: &[ProcessId]) {
        let outside: Vec<ProcessId> = self.ids().filter(|id| !group.contains(id)).collect();
        for &inner in group {
            for &outer in &outside {
                self.cut_links.insert((inner, outer));
                self.cut_links.insert((outer, inner));
            }
        }
    }

    /// Cuts one direction of one link.
    pub fn cut_link(&mut self, from: ProcessId, to: ProcessId) {
        self.cut_links.insert((from, to));
    }

    /// Restores every link.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Applies one fault. A restart creates the new state with `rebuild` and has no effect on a running process.
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

    /// Runs the simulation and applies each fault of a plan at its time, then restores all links with good quality.
    pub fn run_plan(&mut self, plan: &FaultPlan, rebuild: impl Fn(&P) -> P) {
        for (at, fault) in plan.faults() {
            self.run_until(*at);
            self.apply(fault, &rebuild);
        }
        self.heal();
        self.set_link(LinkQuality::GOOD);
    }
}
