//! A copy of one kind of metadata with its recent changes, from which followers get incremental updates.
//!
//! Does no I/O. The handle keeps one history for each kind. Names and texts are shared between the copies of
//! successive revisions, and an update of a copy costs memory only for what it changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use lichenpulley_core::ingress::replica_subset::LayoutId;
use lichenpulley_protocol::internal::MetadataUpdate;

/// Revisions remembered; a follower that is further behind gets the whole copy.
const MAX_REVISIONS: usize = 256;
/// Changes remembered. Bounds the memory after a release of thousands of replicas.
const MAX_CHANGES: usize = 4_096;

/// The objects of a kind: their JSON texts by name.
pub type ObjectTexts = BTreeMap<Arc<str>, Arc<str>>;

/// A change of a copy to a later revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyChange {
    /// The platform revision after the change.
    pub revision: u64,
    /// The layout of the subset of replicas that the copy is then; `None` if it contains all objects.
    pub layout: Option<LayoutId>,
    /// Whether `objects` contains all objects instead of the changed ones only.
    pub is_whole: bool,
    /// Objects that were added or changed.
    pub objects: ObjectTexts,
    /// Names of deleted objects.
    pub removed: BTreeSet<Arc<str>>,
}

impl CopyChange {
    /// Converts an update received from a peer.
    pub fn from_update(update: MetadataUpdate, layout: Option<LayoutId>) -> Self {
        let MetadataUpdate { revision, is_whole, objects, removed } = update;
        let objects = objects.into_iter().map(|(name, text)| (name.into(), text.into())).collect();
        let removed = removed.into_iter().map(Into::into).collect();
        Self { revision, layout, is_whole, objects, removed }
    }
}

/// A copy and the revisions at which its objects changed on this node.
///
/// Invariant: an incremental update is sent only to a follower whose revision this node has held itself. A
/// follower at another revision may hold an object that was added and removed between two revisions of this
/// node, of which the history has no record.
#[derive(Clone, Debug, Default)]
pub struct CopyHistory {
    revision: u64,
    layout: Option<LayoutId>,
    objects: Arc<ObjectTexts>,
    /// The names that changed at each revision, in ascending order of the revisions.
    changes: VecDeque<(u64, Arc<str>)>,
    /// Revisions that this node has held, in ascending order.
    held: VecDeque<u64>,
}

impl CopyHistory {
    /// Creates a history that begins with a whole copy.
    pub fn new(change: CopyChange) -> Self {
        let CopyChange { revision, layout, objects, .. } = change;
        let held = VecDeque::from([revision]);
        Self { revision, layout, objects: Arc::new(objects), changes: VecDeque::new(), held }
    }

    /// Returns the platform revision of the copy.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the layout of the subset of replicas that the copy is; `None` if it contains all objects.
    pub const fn layout(&self) -> Option<LayoutId> {
        self.layout
    }

    /// Returns the objects.
    pub fn objects(&self) -> &ObjectTexts {
        &self.objects
    }

    /// Returns the history extended by a change, and the names of the objects that differ afterwards. A copy with
    /// another layout begins a new history.
    pub fn with_change(&self, change: CopyChange) -> (Self, Vec<Arc<str>>) {
        let changed = self.changed_names(&change);
        if change.layout != self.layout {
            return (Self::new(change), changed);
        }
        let mut next = self.clone();
        next.revision = change.revision;
        if !changed.is_empty() {
            let objects = Arc::make_mut(&mut next.objects);
            for name in &changed {
                match change.objects.get(name) {
                    Some(text) => _ = objects.insert(Arc::clone(name), Arc::clone(text)),
                    None => _ = objects.remove(name),
                }
            }
        }
        next.record(&changed);
        (next, changed)
    }

    /// Returns the same copy without its history, so that every follower gets the whole copy.
    pub fn without_earlier_revisions(self) -> Self {
        Self { changes: VecDeque::new(), held: VecDeque::from([self.revision]), ..self }
    }

    /// Returns the names of the objects that a change adds, modifies or removes.
    fn changed_names(&self, change: &CopyChange) -> Vec<Arc<str>> {
        let differs = |(name, text): &(&Arc<str>, &Arc<str>)| self.objects.get(*name) != Some(*text);
        let modified = change.objects.iter().filter(differs).map(|(name, _)| Arc::clone(name));
        let is_gone = |name: &&Arc<str>| {
            !change.objects.contains_key(*name) && (change.is_whole || change.removed.contains(*name))
        };
        let (held, named) = (self.objects.keys(), change.removed.iter());
        let removed: Vec<Arc<str>> = if change.is_whole {
            held.filter(is_gone).cloned().collect()
        } else {
            named.filter(|name| self.objects.contains_key(*name)).filter(is_gone).cloned().collect()
        };
        modified.chain(removed).collect()
    }

    fn record(&mut self, changed: &[Arc<str>]) {
        self.changes.extend(changed.iter().map(|name| (self.revision, Arc::clone(name))));
        if self.held.back() != Some(&self.revision) {
            self.held.push_back(self.revision);
        }
        while self.held.len() > MAX_REVISIONS || (self.changes.len() > MAX_CHANGES && self.held.len() > 1) {
            self.held.pop_front();
            let oldest = self.held.front().copied().unwrap_or_default();
            let forgotten = self.changes.partition_point(|(revision, _)| *revision <= oldest);
            self.changes.drain(..forgotten);
        }
    }

    /// Returns the update that turns a copy of revision `held` into this one; `None` if that copy is as late.
    pub fn update_since(&self, held: Option<u64>) -> Option<MetadataUpdate> {
        if held.is_some_and(|held| held >= self.revision) {
            return None;
        }
        let Some(held) = held.filter(|held| self.held.binary_search(held).is_ok()) else {
            return Some(self.whole());
        };
        let from = self.changes.partition_point(|(revision, _)| *revision <= held);
        let names: BTreeSet<&Arc<str>> = self.changes.range(from..).map(|(_, name)| name).collect();
        let (mut objects, mut removed) = (Vec::new(), Vec::new());
        for name in names {
            match self.objects.get(name) {
                Some(text) => objects.push((name.to_string(), text.to_string())),
                None => removed.push(name.to_string()),
            }
        }
        Some(MetadataUpdate { revision: self.revision, is_whole: false, objects, removed })
    }

    /// Returns the whole copy.
    pub fn whole(&self) -> MetadataUpdate {
        let objects = self.objects.iter().map(|(name, text)| (name.to_string(), text.to_string())).collect();
        MetadataUpdate { revision: self.revision, is_whole: true, objects, removed: Vec::new() }
    }
}
