//! Determines the quarantined requests from the crash reports of all nodes.
//!
//! A crash interrupts every request on the replica, so most requests in a report did not cause it. A request is
//! quarantined only if it explains more crashes than any other request that ran on the same replicas. The
//! crashes that it explains then no longer count against other requests. The result is a function of the
//! reports, so all nodes agree.

use std::collections::{BTreeMap, BTreeSet};

use super::{CrashReport, Fingerprint};

/// Number of replica crashes under a request at which it is quarantined. See docs/decisions/quarantine.md.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes at which requests are quarantined even if they ran together on every crashed replica: a
/// coincidence is then unlikely enough.
const CRASHES_WITHOUT_DISTINCTION: usize = CRASHES_TO_QUARANTINE + 1;

/// The quarantined requests, and the crashes under each request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, BTreeSet<String>>,
    quarantined: BTreeSet<Fingerprint>,
}

/// The suspected requests of each crashed replica, and the requests that were sent again after a known crash.
#[derive(Default)]
struct Evidence<'a> {
    suspects: BTreeMap<&'a str, BTreeSet<Fingerprint>>,
    repeated: BTreeSet<Fingerprint>,
}

impl<'a> Evidence<'a> {
    fn collect(reports: impl Iterator<Item = &'a CrashReport>) -> Self {
        let mut evidence = Self::default();
        let mut cleared = BTreeSet::new();
        for report in reports {
            let replica = report.replica.as_str();
            cleared.extend(report.cleared.iter().map(|fingerprint| (replica, *fingerprint)));
            for suspect in &report.suspects {
                evidence.suspects.entry(replica).or_default().insert(suspect.fingerprint);
                if suspect.is_repeated {
                    evidence.repeated.insert(suspect.fingerprint);
                }
            }
        }
        for (replica, suspects) in &mut evidence.suspects {
            suspects.retain(|fingerprint| !cleared.contains(&(*replica, *fingerprint)));
        }
        evidence
    }

    /// Returns the number of crashes that each request may have caused.
    fn counts(&self) -> BTreeMap<Fingerprint, usize> {
        let mut counts = BTreeMap::new();
        for fingerprint in self.suspects.values().flatten() {
            *counts.entry(*fingerprint).or_default() += 1;
        }
        counts
    }

    /// Returns the requests that may have caused the most crashes, if these suffice to quarantine them.
    fn next_quarantined(&self) -> BTreeSet<Fingerprint> {
        // Replicas that fail together, as in a power outage, fail under every request that runs on all of them.
        // Only requests that were sent again after a known crash therefore count.
        let mut counts = self.counts();
        counts.retain(|fingerprint, _| self.repeated.contains(fingerprint));
        let most = counts.values().copied().max().unwrap_or(0);
        if most < CRASHES_TO_QUARANTINE {
            return BTreeSet::new();
        }
        let leading: BTreeSet<Fingerprint> =
            counts.iter().filter(|(_, count)| **count == most).map(|(fingerprint, _)| *fingerprint).collect();
        if most >= CRASHES_WITHOUT_DISTINCTION {
            return leading;
        }
        // A request that always ran beside another one with the same count can't be distinguished from it yet.
        let is_alone = |fingerprint: &Fingerprint, suspects: &BTreeSet<Fingerprint>| {
            suspects.contains(fingerprint) && suspects.intersection(&leading).count() == 1
        };
        let is_distinguishable = |fingerprint: &&Fingerprint| {
            self.suspects.values().any(|suspects| is_alone(fingerprint, suspects))
        };
        leading.iter().filter(is_distinguishable).copied().collect()
    }

    /// Removes the crashes that these requests explain, so that they count against no other request.
    fn remove_explained(&mut self, quarantined: &BTreeSet<Fingerprint>) {
        self.suspects.retain(|_, suspects| suspects.is_disjoint(quarantined));
    }
}

impl Quarantine {
    /// Derives the quarantine from the reports of all nodes.
    pub fn from_reports<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> Self {
        let mut evidence = Evidence::collect(reports);
        let mut crashes: BTreeMap<Fingerprint, BTreeSet<String>> = BTreeMap::new();
        for (replica, suspects) in &evidence.suspects {
            for fingerprint in suspects {
                crashes.entry(*fingerprint).or_default().insert((*replica).to_owned());
            }
        }
        let mut quarantined = BTreeSet::new();
        loop {
            let next = evidence.next_quarantined();
            if next.is_empty() {
                return Self { crashes, quarantined };
            }
            evidence.remove_explained(&next);
            quarantined.extend(next);
        }
    }

    /// Whether the request must not be sent to any replica.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantined.contains(fingerprint)
    }

    /// Whether no request is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns the quarantined requests.
    pub const fn requests(&self) -> &BTreeSet<Fingerprint> {
        &self.quarantined
    }

    /// Returns the replicas that crashed while the request ran there, without those it was cleared of.
    pub fn crashes(&self, fingerprint: &Fingerprint) -> impl Iterator<Item = &str> {
        self.crashes.get(fingerprint).into_iter().flatten().map(String::as_str)
    }
}
