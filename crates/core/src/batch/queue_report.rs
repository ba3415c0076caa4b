//! Snapshot of the waiting work of a batch shard, for operators and metrics.
//!
//! Created by the owner ([`super::controller::Controller`]) and sent to other nodes, so the order and types of
//! the fields must not change; new ones are added at the end. The operators' interface shows it as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::TenantName;

/// The waiting work of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct QueueReport {
    /// One entry for each service with open batch work.
    pub services: Vec<ServiceQueue>,
    /// Number of jobs refused since the owner took over.
    pub refused_jobs: u64,
}

/// The waiting work of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct ServiceQueue {
    /// The service.
    pub service: String,
    /// Number of slots that can be used.
    pub slots: u32,
    /// Number of slots in use by items of this shard.
    pub used_slots: u32,
    /// Estimated time in which the needed work drains, in milliseconds; `None` while nothing was measured.
    pub drain_ms: Option<u64>,
    /// Whether the work can't be done in time.
    pub is_short: bool,
    /// The trainers with open jobs, by priority.
    pub trainers: Vec<TrainerQueue>,
}

/// The waiting work of one priority level of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LevelQueue {
    /// Number of items that are running.
    pub running: u32,
    /// Number of items that wait to be started.
    pub waiting: u32,
    /// Number of incomplete groups that can be complete in time.
    pub groups_in_time: u32,
    /// Number of incomplete groups that are needed and can't be complete in time.
    pub groups_late: u32,
    /// Number of incomplete groups beyond those that the trainers wait for.
    pub groups_surplus: u32,
    /// Age of the oldest waiting item since its job was accepted, in milliseconds.
    pub oldest_waiting_ms: u64,
}

impl ServiceQueue {
    /// Returns the sums of the trainers by priority, the highest priority first.
    pub fn levels(&self) -> BTreeMap<u32, LevelQueue> {
        let mut levels: BTreeMap<u32, LevelQueue> = BTreeMap::new();
        for trainer in &self.trainers {
            let level = levels.entry(trainer.priority).or_default();
            level.running += trainer.running;
            level.waiting += trainer.waiting;
            level.groups_in_time += trainer.groups_in_time;
            level.groups_late += trainer.groups_late;
            level.groups_surplus += trainer.groups_surplus;
            level.oldest_waiting_ms = level.oldest_waiting_ms.max(trainer.oldest_waiting_ms);
        }
        levels
    }
}

/// The waiting work of one trainer: the open jobs of one tenant, route and model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct TrainerQueue {
    /// Priority, 0 being the highest.
    pub priority: u32,
    /// The tenant; `None` where callers need no key.
    pub tenant: Option<TenantName>,
    /// Name of the route.
    pub route: String,
    /// The model; `None` where items name none.
    pub model: Option<String>,
    /// Number of open jobs.
    pub jobs: u32,
    /// Number of items that are running.
    pub running: u32,
    /// Number of items that wait to be started.
    pub waiting: u32,
    /// Number of incomplete groups that can be complete in time.
    pub groups_in_time: u32,
    /// Number of incomplete groups that are needed and can't be complete in time.
    pub groups_late: u32,
    /// Number of incomplete groups beyond those that the trainer waits for.
    pub groups_surplus: u32,
    /// Age of the oldest waiting item since its job was accepted, in milliseconds.
    pub oldest_waiting_ms: u64,
    /// Share of the service's slots given recently, in percent.
    pub share_percent: u32,
}
