//! A copy of one kind of metadata, with what changed in it lately.

use std::collections::{BTreeMap, HashMap, VecDeque};

use lichenpulley_protocol::internal::{MetadataCopy, MetadataUpdate};

/// Removals remembered; a follower that is further behind gets the whole copy.
const REMOVALS: usize = 1_024;

/// A copy and the revisions at which this node saw its objects change.
///
/// Invariant: an object that changed after revision R is noted at a revision above R, so that an update since R holds all
/// that a copy of R lacks, whichever node that copy came from.
#[derive(Debug)]
pub(super) struct CopyHistory {
    pub(super) copy: MetadataCopy,
    changed_at: HashMap<String, u64>,
    removed: VecDeque<(u64, String)>,
    /// Changes after this revision are known.
    since: u64,
}

impl CopyHistory {
    /// The history that begins with a copy.
    pub(super) fn begin(copy: MetadataCopy) -> Self {
        let since = copy.revision;
        Self { copy, changed_at: HashMap::new(), removed: VecDeque::new(), since }
    }

    /// The history with a later copy.
    pub(super) fn followed_by(&self, copy: MetadataCopy) -> Self {
        let before: BTreeMap<&str, &str> = pairs(&self.copy).collect();
        let after: BTreeMap<&str, &str> = pairs(&copy).collect();
        let mut changed_at = self.changed_at.clone();
        for (name, text) in &after {
            if before.get(name) != Some(text) {
                changed_at.insert((*name).to_owned(), copy.revision);
            }
        }
        let mut removed = self.removed.clone();
        for name in before.keys().filter(|name| !after.contains_key(*name)) {
            changed_at.remove(*name);
            removed.push_back((copy.revision, (*name).to_owned()));
        }
        let mut since = self.since;
        while removed.len() > REMOVALS {
            if let Some((revision, _)) = removed.pop_front() {
                since = since.max(revision);
            }
        }
        Self { changed_at, removed, since, copy }
    }

    /// What turns a copy of revision `held` into this one; `None` where that is as late.
    pub(super) fn update_since(&self, held: Option<u64>) -> Option<MetadataUpdate> {
        let revision = self.copy.revision;
        if held.is_some_and(|held| held >= revision) {
            return None;
        }
        let Some(held) = held.filter(|held| *held >= self.since) else {
            let objects = self.copy.objects.clone();
            return Some(MetadataUpdate { revision, is_whole: true, objects, removed: Vec::new() });
        };
        let is_newer = |name: &str| self.changed_at.get(name).is_some_and(|at| *at > held);
        let objects = self.copy.objects.iter().filter(|(name, _)| is_newer(name)).cloned().collect();
        let removed = self.removed.iter().filter(|(at, _)| *at > held);
        let removed = removed.map(|(_, name)| name.clone()).collect();
        Some(MetadataUpdate { revision, is_whole: false, objects, removed })
    }
}

fn pairs(copy: &MetadataCopy) -> impl Iterator<Item = (&str, &str)> {
    copy.objects.iter().map(|(name, text)| (name.as_str(), text.as_str()))
}

#[cfg(test)]
mod tests;
