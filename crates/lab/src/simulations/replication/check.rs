//! What must hold of a run: one log, each epoch one owner's, each request id one attempt's.

use std::collections::{BTreeMap, BTreeSet};

use lichenpulley_core::identity::{AttemptId, Epoch, RequestId};

use super::claimant::ClaimRun;
use super::owner::{Observation, ObservationKind};

/// Checks what all owners observed, in the order of time.
///
/// Every list that an owner recovers or gets acknowledged is the decided log up to some position. So of any two,
/// one is the beginning of the other; an owner that was superseded adds nothing to what its successor found; and a
/// take-over finds everything that was acknowledged before it began.
pub(super) fn check_log(observations: &[(usize, Observation)]) -> Vec<String> {
    let mut check = LogCheck::default();
    for (owner, observation) in observations {
        check.take(*owner, observation);
    }
    check.check_doubles();
    check.violations
}

#[derive(Default)]
struct LogCheck {
    longest: Vec<u64>,
    highest: Epoch,
    owners: BTreeMap<Epoch, usize>,
    /// What each owner holds for decided.
    decided: BTreeMap<usize, Vec<u64>>,
    /// Owners that began to take the log over.
    taking_over: BTreeSet<usize>,
    /// How long the log was when each owner's present take-over began.
    at_beginning: BTreeMap<usize, usize>,
    violations: Vec<String>,
}

impl LogCheck {
    fn take(&mut self, owner: usize, observation: &Observation) {
        match &observation.kind {
            ObservationKind::Began => {
                self.at_beginning.insert(owner, self.longest.len());
                self.taking_over.insert(owner);
            }
            ObservationKind::Appending(_) | ObservationKind::Continued => {}
            ObservationKind::Recovered(records) => self.recovered(owner, observation.epoch, records),
            ObservationKind::Acknowledged { length, records } => {
                let decided = self.decided.entry(owner).or_default();
                decided.extend_from_slice(records);
                debug_assert_eq!(decided.len(), *length);
                let decided = decided.clone();
                self.compare(observation.epoch, &decided, "acknowledged");
            }
        }
    }

    fn recovered(&mut self, owner: usize, epoch: Epoch, records: &[u64]) {
        if !self.taking_over.remove(&owner) {
            self.violations
                .push(format!("owner {owner} took the log by a change of the stores: epoch {epoch}"));
        }
        if let Some(other) = self.owners.insert(epoch, owner) {
            self.violations.push(format!("epoch {epoch} was held by owners {other} and {owner}"));
        }
        let known = self.at_beginning.get(&owner).copied().unwrap_or_default();
        if records.len() < known {
            let found = records.len();
            self.violations.push(format!("epoch {epoch} found {found} of {known} acknowledged records"));
        }
        self.compare(epoch, records, "recovered");
        self.highest = self.highest.max(epoch);
        self.decided.insert(owner, records.to_vec());
    }

    fn compare(&mut self, epoch: Epoch, records: &[u64], what: &str) {
        let common = records.iter().zip(&self.longest).take_while(|(left, right)| left == right).count();
        if common < records.len().min(self.longest.len()) {
            self.violations.push(format!("epoch {epoch} {what} another record at position {common}"));
            return;
        }
        if records.len() > self.longest.len() {
            if epoch < self.highest {
                self.violations
                    .push(format!("epoch {epoch} {what} records after {} took over", self.highest));
            }
            self.longest = records.to_vec();
        }
    }

    fn check_doubles(&mut self) {
        let distinct: BTreeSet<u64> = self.longest.iter().copied().collect();
        if distinct.len() < self.longest.len() {
            self.violations.push("a record is in the log twice".to_owned());
        }
    }
}

/// Each request id was granted to one attempt at most.
pub(super) fn check_claims(runs: &[ClaimRun]) -> Vec<String> {
    let mut holders: BTreeMap<&RequestId, &AttemptId> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in runs.iter().filter(|run| run.granted) {
        let holder = holders.entry(&run.request).or_insert(&run.attempt);
        if *holder != &run.attempt {
            violations.push(format!("{} was granted to {holder} and {}", run.request, run.attempt));
        }
    }
    violations
}
