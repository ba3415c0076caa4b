//! Which requests are quarantined, from what all nodes reported.
//!
//! Inputs: the crash reports of all nodes. A replica that ends breaks off everything that ran there, so most
//! requests in a report are innocent. A request is quarantined only where it accounts for more ended replicas
//! than any other that ran there; the replicas that it accounts for then count against no other request. The
//! same reports give the same verdict at each node.

use std::collections::{BTreeMap, BTreeSet};

use super::{CrashReport, Fingerprint};

/// Replicas that end under a request before it is quarantined. See docs/decisions/quarantine.md.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// This many are enough where other requests ran at the same replicas each time: that two requests meet by
/// chance at four replicas in a row, each just as it ends, is taken to be impossible. Chosen, not measured.
const CRASHES_BEYOND_CHANCE: usize = CRASHES_TO_QUARANTINE + 1;

/// Requests that reach no replica any more, and those under which a replica ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, BTreeSet<String>>,
    held: BTreeSet<Fingerprint>,
}

/// The requests at each replica that ended, and the requests that were sent again knowing of an earlier end.
#[derive(Default)]
struct Evidence<'a> {
    suspects: BTreeMap<&'a str, BTreeSet<Fingerprint>>,
    repeated: BTreeSet<Fingerprint>,
}

impl<'a> Evidence<'a> {
    fn gather(reports: impl Iterator<Item = &'a CrashReport>) -> Self {
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

    /// How many ended replicas each request may account for.
    fn counts(&self) -> BTreeMap<Fingerprint, usize> {
        let mut counts = BTreeMap::new();
        for fingerprint in self.suspects.values().flatten() {
            *counts.entry(*fingerprint).or_default() += 1;
        }
        counts
    }

    /// The requests that account for the most ended replicas, where these are enough to hold them.
    fn next_held(&self) -> BTreeSet<Fingerprint> {
        // Replicas that end together, as for want of power, end under every request that runs at all of them.
        let mut counts = self.counts();
        counts.retain(|fingerprint, _| self.repeated.contains(fingerprint));
        let most = counts.values().copied().max().unwrap_or(0);
        if most < CRASHES_TO_QUARANTINE {
            return BTreeSet::new();
        }
        let foremost: BTreeSet<Fingerprint> =
            counts.iter().filter(|(_, count)| **count == most).map(|(fingerprint, _)| *fingerprint).collect();
        if most >= CRASHES_BEYOND_CHANCE {
            return foremost;
        }
        // One that ran nowhere without another of the same count can't be distinguished from it yet.
        let is_alone = |fingerprint: &Fingerprint, suspects: &BTreeSet<Fingerprint>| {
            suspects.contains(fingerprint) && suspects.intersection(&foremost).count() == 1
        };
        let stands_out = |fingerprint: &&Fingerprint| {
            self.suspects.values().any(|suspects| is_alone(fingerprint, suspects))
        };
        foremost.iter().filter(stands_out).copied().collect()
    }

    /// The replicas that these requests account for count against no other request.
    fn explain(&mut self, held: &BTreeSet<Fingerprint>) {
        self.suspects.retain(|_, suspects| suspects.is_disjoint(held));
    }
}

impl Quarantine {
    /// What follows from all reports.
    pub fn from_reports<'a>(reports: impl Iterator<Item = &'a CrashReport>) -> Self {
        let mut evidence = Evidence::gather(reports);
        let mut crashes: BTreeMap<Fingerprint, BTreeSet<String>> = BTreeMap::new();
        for (replica, suspects) in &evidence.suspects {
            for fingerprint in suspects {
                crashes.entry(*fingerprint).or_default().insert((*replica).to_owned());
            }
        }
        let mut held = BTreeSet::new();
        loop {
            let next = evidence.next_held();
            if next.is_empty() {
                return Self { crashes, held };
            }
            evidence.explain(&next);
            held.extend(next);
        }
    }

    /// Whether a request must reach no replica.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.held.contains(fingerprint)
    }

    /// Whether no request is held back.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The requests that are held back.
    pub const fn requests(&self) -> &BTreeSet<Fingerprint> {
        &self.held
    }

    /// The replicas that ended while a request ran there, unless it was cleared of them.
    pub fn crashes(&self, fingerprint: &Fingerprint) -> impl Iterator<Item = &str> {
        self.crashes.get(fingerprint).into_iter().flatten().map(String::as_str)
    }
}
