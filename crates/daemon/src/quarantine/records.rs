//! Quarantine records read from the metadata store: crash reports and trials by name, each with the time at
//! which one of its requests was last received. [`super::reporter`] writes and removes them.

use std::collections::BTreeMap;

use lichenpulley_core::quarantine::{CrashReport, Fingerprint};
use lichenpulley_platform::quarantine::{QuarantineEntry, QuarantineRecord};

/// Quarantine records by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineRecords {
    records: BTreeMap<String, QuarantineRecord>,
}

impl QuarantineRecords {
    pub(crate) const fn new(records: BTreeMap<String, QuarantineRecord>) -> Self {
        Self { records }
    }

    /// Whether there is a record with this name.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// Returns the crash reports of all nodes.
    pub(super) fn reports(&self) -> Vec<CrashReport> {
        let entries = self.records.values().filter_map(|record| match &record.entry {
            QuarantineEntry::Crash(report) => Some(report.clone()),
            QuarantineEntry::Trial(_) => None,
        });
        entries.collect()
    }

    /// Returns the names of records last renewed before `before_ms`, and of the oldest records beyond the
    /// limit.
    pub(super) fn removable(&self, before_ms: u64, max_records: usize) -> Vec<String> {
        let mut by_age: Vec<(u64, &String)> =
            self.records.iter().map(|(name, record)| (record.seen_ms, name)).collect();
        by_age.sort_unstable();
        let excess = by_age.len().saturating_sub(max_records);
        let is_removable =
            |(position, (seen_ms, _)): &(usize, (u64, &String))| *position < excess || *seen_ms < before_ms;
        let removable = by_age.into_iter().enumerate().filter(is_removable);
        removable.map(|(_, (_, name))| name.clone()).collect()
    }

    /// Returns the records of a request that were last renewed before `before_ms`.
    pub(super) fn stale_records(
        &self,
        fingerprint: &Fingerprint,
        before_ms: u64,
    ) -> impl Iterator<Item = (&String, &QuarantineRecord)> {
        self.records.iter().filter(move |(_, record)| {
            record.seen_ms < before_ms
                && match &record.entry {
                    QuarantineEntry::Crash(report) => mentions(report, fingerprint),
                    QuarantineEntry::Trial(of) => of == fingerprint,
                }
        })
    }
}

fn mentions(report: &CrashReport, fingerprint: &Fingerprint) -> bool {
    report.suspects.iter().any(|suspect| suspect.fingerprint == *fingerprint)
        || report.cleared.contains(fingerprint)
}
