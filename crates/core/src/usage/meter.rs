//! Counts requests on a node until the duty holder has committed the counts.

use std::collections::VecDeque;

use speedy::{Readable, Writable};

use super::window::WallTime;
use crate::identity::TenantName;
use crate::time::Timestamp;
use crate::time::whole_millis;

/// Most pending entries; the oldest are dropped. Covers about half an hour without a duty holder.
const MAX_PENDING_ENTRIES: usize = 65_536;
/// Most entries in one report. Keeps the message at about 100 kB.
const MAX_REPORT_ENTRIES: usize = 1_024;

/// A request that started.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UsageEntry {
    /// The tenant that sent the request.
    pub tenant: TenantName,
    /// Time from the start of the request to the report, in milliseconds.
    pub age_ms: u64,
}

/// Counted requests of a node, for the duty holder.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UsageReport {
    /// Incarnation of the node, which changes with each restart.
    pub source: String,
    /// The node's wall-clock time when it sent the report.
    pub sent_at: WallTime,
    /// Number of the first entry, counted over this incarnation.
    pub first: u64,
    /// The entries, in the order in which they were counted.
    pub entries: Vec<UsageEntry>,
}

impl UsageReport {
    /// Returns the number after that of the last entry.
    pub fn through(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

/// Counts the requests that start on one node.
///
/// Invariant: an entry stays pending until the duty holder acknowledges it, or until more than 65,536 entries
/// are pending. The number of an entry never changes.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    entries: VecDeque<(Timestamp, TenantName)>,
    first: u64,
    dropped: u64,
}

impl UsageMeter {
    /// Counts a request of a tenant that started at `at`.
    pub fn count(&mut self, at: Timestamp, tenant: TenantName) {
        if self.entries.len() >= MAX_PENDING_ENTRIES {
            self.entries.pop_front();
            self.first += 1;
            self.dropped += 1;
        }
        self.entries.push_back((at, tenant));
    }

    /// Returns a report of the oldest pending entries, or `None` if there are none.
    pub fn report(&self, source: &str, now: Timestamp, wall: WallTime) -> Option<UsageReport> {
        if self.entries.is_empty() {
            return None;
        }
        let entry = |(at, tenant): &(Timestamp, TenantName)| UsageEntry {
            tenant: tenant.clone(),
            age_ms: whole_millis(now.saturating_since(*at)),
        };
        let entries = self.entries.iter().take(MAX_REPORT_ENTRIES).map(entry).collect();
        Some(UsageReport { source: source.to_owned(), sent_at: wall, first: self.first, entries })
    }

    /// Removes all entries before this number, which the duty holder has committed.
    pub fn acknowledge(&mut self, through: u64) {
        while self.first < through && self.entries.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Returns the number of pending entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is pending.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries that were dropped without an acknowledgement.
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}
