//! What the metadata store holds of the quarantine, as this node has read it: crash reports and trials by
//! name, with the time at which a request of each last came. [`super::reporter`] writes and removes them.

use std::collections::BTreeMap;

use lichenpulley_core::quarantine::{CrashReport, Fingerprint};
use lichenpulley_platform::quarantine::{QuarantineEntry, QuarantineRecord};

/// Records by their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineRecords {
    records: BTreeMap<String, QuarantineRecord>,
}

impl QuarantineRecords {
    pub(crate) const fn new(records: BTreeMap<String, QuarantineRecord>) -> Self {
        Self { records }
    }

    /// Whether a record is among them.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// The reports of all nodes of replicas that ended.
    pub(super) fn reports(&self) -> Vec<CrashReport> {
        let entries = self.records.values().filter_map(|record| match &record.entry {
            QuarantineEntry::Crash(report) => Some(report.clone()),
            QuarantineEntry::Trial(_) => None,
        });
        entries.collect()
    }

    /// Records that are older than this, and the oldest of those that are too many; by name.
    pub(super) fn superfluous(&self, before_ms: u64, most: usize) -> Vec<String> {
        let mut by_age: Vec<(u64, &String)> =
            self.records.iter().map(|(name, record)| (record.seen_ms, name)).collect();
        by_age.sort_unstable();
        let beyond = by_age.len().saturating_sub(most);
        let is_superfluous =
            |(position, (seen_ms, _)): &(usize, (u64, &String))| *position < beyond || *seen_ms < before_ms;
        let superfluous = by_age.into_iter().enumerate().filter(is_superfluous);
        superfluous.map(|(_, (_, name))| name.clone()).collect()
    }

    /// Records of a request that were last renewed before this.
    pub(super) fn stale_of(
        &self,
        fingerprint: &Fingerprint,
        before_ms: u64,
    ) -> impl Iterator<Item = (&String, &QuarantineRecord)> {
        self.records.iter().filter(move |(_, record)| {
            record.seen_ms < before_ms
                && match &record.entry {
                    QuarantineEntry::Crash(report) => names(report, fingerprint),
                    QuarantineEntry::Trial(of) => of == fingerprint,
                }
        })
    }
}

fn names(report: &CrashReport, fingerprint: &Fingerprint) -> bool {
    report.suspects.iter().any(|suspect| suspect.fingerprint == *fingerprint)
        || report.cleared.contains(fingerprint)
}
