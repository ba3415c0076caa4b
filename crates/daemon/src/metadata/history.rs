//! A copy of one kind of metadata, with what changed in it lately, so that a follower gets only the changes.
//!
//! Owns the copy and the revisions of its last changes; does no I/O. The handle keeps one for each kind.

use std::collections::{BTreeMap, HashMap, VecDeque};

use lichenpulley_protocol::internal::{MetadataCopy, MetadataUpdate};

/// Revisions remembered; a follower that is further behind gets the whole copy. Chosen, not measured: fewer make a follower
/// that missed some answers read all objects again, more cost memory for each name that changed.
const REVISIONS: usize = 256;

/// A copy and the revisions at which this node saw its objects change.
///
/// Invariant: what changed is sent only to a follower whose copy is of a revision that this node has held. A follower
/// may hold an object that came and went between two of this node's revisions, and nothing here knows of it.
#[derive(Debug)]
pub struct CopyHistory {
    /// The copy.
    pub copy: MetadataCopy,
    changed_at: HashMap<String, u64>,
    removed: VecDeque<(u64, String)>,
    /// Revisions held, in rising order.
    held: VecDeque<u64>,
}

impl CopyHistory {
    /// The history that begins with a copy.
    pub fn begin(copy: MetadataCopy) -> Self {
        let held = VecDeque::from([copy.revision]);
        Self { copy, changed_at: HashMap::new(), removed: VecDeque::new(), held }
    }

    /// The history with a later copy.
    pub fn followed_by(&self, copy: MetadataCopy) -> Self {
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
        if held.len() > REVISIONS {
            held.pop_front();
        }
        let oldest = held.front().copied().unwrap_or_default();
        removed.retain(|(revision, _)| *revision > oldest);
        Self { changed_at, removed, held, copy }
    }

    /// What turns a copy of revision `held` into this one; `None` where that is as late.
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
