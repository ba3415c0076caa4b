//! In-memory machine list and its recent versions, without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::platform::{Machine, MachineList};

/// Number of list versions kept for lagging reads. A read from before the oldest one returns the oldest one.
const MAX_VERSIONS: usize = 256;

/// Machines by id, and recent versions of the list for reads as of an earlier time.
#[derive(Clone, Debug)]
pub struct MachineListHistory {
    revision: Revision,
    machines: BTreeMap<String, Machine>,
    versions: VecDeque<(Timestamp, MachineList)>,
}

impl MachineListHistory {
    /// Creates a list whose machines are visible from [`Timestamp::ORIGIN`] on.
    pub fn new(machines: Vec<Machine>) -> Self {
        let machines = machines.into_iter().map(|machine| (machine.id.clone(), machine)).collect();
        let mut history = Self { revision: Revision(1), machines, versions: VecDeque::new() };
        let current = history.current();
        history.versions.push_back((Timestamp::ORIGIN, current));
        history
    }

    /// Returns the list without lag.
    pub fn current(&self) -> MachineList {
        MachineList { revision: self.revision, machines: self.machines.values().cloned().collect() }
    }

    /// Adds or replaces a machine.
    pub fn put(&mut self, machine: Machine, now: Timestamp) {
        self.machines.insert(machine.id.clone(), machine);
        self.record_version(now);
    }

    /// Removes a machine and returns whether it was in the list.
    pub fn remove(&mut self, id: &str, now: Timestamp) -> bool {
        let removed = self.machines.remove(id).is_some();
        if removed {
            self.record_version(now);
        }
        removed
    }

    /// Returns the list as it was `lag` before `now`.
    pub fn as_of(&self, now: Timestamp, lag: Duration) -> MachineList {
        let visible = |changed_at: Timestamp| now.saturating_since(changed_at) >= lag;
        let newest = self.versions.iter().rev().find(|(changed_at, _)| visible(*changed_at));
        newest.or(self.versions.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn record_version(&mut self, now: Timestamp) {
        self.revision = self.revision.next();
        let current = self.current();
        self.versions.push_back((now, current));
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }
}
