//! Finds the jobs that contain an item id.
//!
//! Holds two hashes for each item and not the ids themselves, because the owner of a large deployment holds tens of
//! thousands of items. Callers must compare the ids: different ones can have the same hash.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::job::{BatchItem, BatchJob};
use crate::identity::BatchId;

/// The jobs by the hashes of their item ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ItemIndex {
    /// Hashes of an item id and of the id of a job that contains it.
    entries: BTreeSet<(u64, u64)>,
    /// Ids of the jobs by their hashes. Of two jobs with the same hash, only the last is found.
    jobs: BTreeMap<u64, BatchId>,
}

impl ItemIndex {
    /// Adds the items of a job.
    pub(super) fn insert(&mut self, job: &BatchJob) {
        let job_hash = hash(job.id.as_str());
        self.jobs.insert(job_hash, job.id.clone());
        self.entries.extend(job.items.iter().map(|item| (hash(&item.id), job_hash)));
    }

    /// Removes the items of a job.
    pub(super) fn remove(&mut self, job: &BatchJob) {
        let job_hash = hash(job.id.as_str());
        self.jobs.remove(&job_hash);
        for item in &job.items {
            self.entries.remove(&(hash(&item.id), job_hash));
        }
    }

    /// Returns the jobs that may contain an item with the id of this one.
    pub(super) fn jobs(&self, item: &BatchItem) -> impl Iterator<Item = &BatchId> {
        let item_hash = hash(&item.id);
        let entries = self.entries.range((item_hash, u64::MIN)..=(item_hash, u64::MAX));
        entries.filter_map(|(_, job_hash)| self.jobs.get(job_hash))
    }
}

fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}
