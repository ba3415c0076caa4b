//! Finds the jobs that contain an item id.
//!
//! Holds a hash and a job id for each item, so that its size is proportional to the items that the ledger
//! holds anyway.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::job::{BatchItem, BatchJob};
use crate::identity::BatchId;

/// The jobs by the hashes of their item ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ItemIndex {
    entries: BTreeSet<(u64, BatchId)>,
}

impl ItemIndex {
    /// Adds the items of a job.
    pub(super) fn insert(&mut self, job: &BatchJob) {
        self.entries.extend(job.items.iter().map(|item| (hash(item), job.id.clone())));
    }

    /// Removes the items of a job.
    pub(super) fn remove(&mut self, job: &BatchJob) {
        for item in &job.items {
            self.entries.remove(&(hash(item), job.id.clone()));
        }
    }

    /// Returns the jobs that may contain an item with the id of this one. Another id can have the same hash.
    pub(super) fn jobs(&self, item: &BatchItem) -> impl Iterator<Item = &BatchId> {
        let hash = hash(item);
        let first = (hash, BatchId::new(String::new()));
        self.entries.range(first..).take_while(move |(other, _)| *other == hash).map(|(_, batch)| batch)
    }
}

fn hash(item: &BatchItem) -> u64 {
    xxh3_64(item.id.as_bytes())
}
