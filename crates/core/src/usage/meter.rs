//! What a node counts until the holder of the duty keeps it.

use std::collections::VecDeque;

use speedy::{Readable, Writable};

use super::window::WallTime;
use crate::identity::TenantName;
use crate::time::Timestamp;
use crate::time::whole_millis;

/// Counts that are held at most; the oldest give way. A node begins some tens of requests a second, so that
/// these last for half an hour without a holder.
const HELD_LIMIT: usize = 65_536;
/// Counts that one report carries at most: greater makes a message of more than some 100 kB, smaller makes a
/// node that was cut off catch up in more calls.
const REPORT_LIMIT: usize = 1_024;

/// A request that began to run.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UsageEntry {
    /// Whose it is.
    pub tenant: TenantName,
    /// How long before the report it began, in milliseconds.
    pub age_ms: u64,
}

/// What a node counted, for the holder of the duty.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UsageReport {
    /// The incarnation of the node that counted; a restart has another.
    pub source: String,
    /// The node's time of day as the report left.
    pub sent_at: WallTime,
    /// The number of the first entry among all of this incarnation.
    pub first: u64,
    /// The entries, in the order in which they were counted.
    pub entries: Vec<UsageEntry>,
}

impl UsageReport {
    /// The number that follows the last entry.
    pub fn through(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

/// Counts requests that began to run on one node.
///
/// Invariant: an entry is held until the holder of the duty has said that it keeps it, or until it is one of
/// more than 65,536 that wait; entries keep their numbers.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    entries: VecDeque<(Timestamp, TenantName)>,
    first: u64,
    dropped: u64,
}

impl UsageMeter {
    /// A request of a tenant began to run.
    pub fn count(&mut self, at: Timestamp, tenant: TenantName) {
        if self.entries.len() >= HELD_LIMIT {
            self.entries.pop_front();
            self.first += 1;
            self.dropped += 1;
        }
        self.entries.push_back((at, tenant));
    }

    /// What is to be reported now; `None` where nothing waits.
    pub fn report(&self, source: &str, now: Timestamp, wall: WallTime) -> Option<UsageReport> {
        if self.entries.is_empty() {
            return None;
        }
        let entry = |(at, tenant): &(Timestamp, TenantName)| UsageEntry {
            tenant: tenant.clone(),
            age_ms: whole_millis(now.saturating_since(*at)),
        };
        let entries = self.entries.iter().take(REPORT_LIMIT).map(entry).collect();
        Some(UsageReport { source: source.to_owned(), sent_at: wall, first: self.first, entries })
    }

    /// The holder keeps all entries before this number.
    pub fn acknowledge(&mut self, through: u64) {
        while self.first < through && self.entries.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Entries that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries that were dropped unheard.
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}
