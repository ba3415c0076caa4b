//! A copy of one kind of metadata with its recent changes, from which followers get incremental updates.
//!
//! Does no I/O. The handle keeps one history for each kind.

use std::collections::{BTreeMap, HashMap, VecDeque};

use lichenpulley_protocol::internal::{MetadataCopy, MetadataUpdate};

/// Revisions remembered; a follower that is further behind gets the whole copy.
const MAX_REVISIONS: usize = 256;

/// A copy and the revisions at which its objects changed on this node.
///
/// Invariant: an incremental update is sent only to a follower whose revision this node has held itself. A
/// follower at another revision may hold an object that was added and removed between two revisions of this
/// node, of which the history has no record.
#[derive(Debug)]
pub struct CopyHistory {
    /// The copy.
    pub copy: MetadataCopy,
    changed_at: HashMap<String, u64>,
    removed: VecDeque<(u64, String)>,
    /// Revisions that this node has held, in ascending order.
    held: VecDeque<u64>,
}

impl CopyHistory {
    /// Creates a history that begins with a copy.
    pub fn new(copy: MetadataCopy) -> Self {
        let held = VecDeque::from([copy.revision]);
        Self { copy, changed_at: HashMap::new(), removed: VecDeque::new(), held }
    }

    /// Returns the history extended by a later copy.
    pub fn with_copy(&self, copy: MetadataCopy) -> Self {
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
        let mut held = self.held.clone();
        if held.back() != Some(&copy.revision) {
            held.push_back(copy.revision);
        }
        if held.len() > MAX_REVISIONS {
            held.pop_front();
        }
        let oldest = held.front().copied().unwrap_or_default();
        removed.retain(|(revision, _)| *revision > oldest);
        Self { changed_at, removed, held, copy }
    }

    /// Returns the update that turns a copy of revision `held` into this one; `None` if that copy is as late.
    pub fn update_since(&self, held: Option<u64>) -> Option<MetadataUpdate> {
        let revision = self.copy.revision;
        if held.is_some_and(|held| held >= revision) {
            return None;
        }
        let Some(held) = held.filter(|held| self.held.binary_search(held).is_ok()) else {
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
