//! The list and its past, without input or output.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::platform::{Machine, MachineList};

/// Changes that are kept for answers with a lag; older ones count as visible at once.
const REMEMBERED_CHANGES: usize = 256;

/// Machines by id with enough of their past to answer as of some time ago.
#[derive(Clone, Debug)]
pub struct MachineListHistory {
    revision: Revision,
    machines: BTreeMap<String, Machine>,
    past: VecDeque<(Timestamp, MachineList)>,
}

impl MachineListHistory {
    /// A list that has held these machines for ever.
    pub fn new(machines: Vec<Machine>) -> Self {
        let machines = machines.into_iter().map(|machine| (machine.id.clone(), machine)).collect();
        let mut history = Self { revision: Revision(1), machines, past: VecDeque::new() };
        let current = history.current();
        history.past.push_back((Timestamp::ORIGIN, current));
        history
    }

    /// The list without lag.
    pub fn current(&self) -> MachineList {
        MachineList { revision: self.revision, machines: self.machines.values().cloned().collect() }
    }

    /// Adds or changes a machine.
    pub fn put(&mut self, machine: Machine, now: Timestamp) {
        self.machines.insert(machine.id.clone(), machine);
        self.remember(now);
    }

    /// Takes a machine out. `false` where it was not in the list.
    pub fn remove(&mut self, id: &str, now: Timestamp) -> bool {
        let removed = self.machines.remove(id).is_some();
        if removed {
            self.remember(now);
        }
        removed
    }

    /// The list as it was `lag` before `now`.
    pub fn as_of(&self, now: Timestamp, lag: Duration) -> MachineList {
        let visible = |changed: Timestamp| now.saturating_since(changed) >= lag;
        let newest = self.past.iter().rev().find(|(changed, _)| visible(*changed));
        newest.or(self.past.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn remember(&mut self, now: Timestamp) {
        self.revision = self.revision.next();
        let current = self.current();
        self.past.push_back((now, current));
        while self.past.len() > REMEMBERED_CHANGES {
            self.past.pop_front();
        }
    }
}
