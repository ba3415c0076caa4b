//! Document revisions announced by members.
//!
//! Tracks the highest announced revision of each document and a member that holds it.

use std::collections::BTreeMap;

use super::event::AnnouncedRevision;
use super::message::DocumentRevision;
use crate::identity::{NodeId, Revision};

/// Maximum number of tracked documents. Bounds memory against a faulty or hostile sender.
const MAX_DOCUMENTS: usize = 8;

/// Maximum length of a document name, in bytes.
const MAX_DOCUMENT_NAME_BYTES: usize = 32;

/// Revisions held by this node and revisions announced by members.
///
/// A member announces only revisions that it holds, so the recorded holder can serve them.
#[derive(Clone, Debug, Default)]
pub(super) struct Documents {
    held: BTreeMap<String, Revision>,
    announced: BTreeMap<String, AnnouncedRevision>,
}

impl Documents {
    /// Sets the revision to announce for a document. Ignores a revision lower than the current one.
    pub(super) fn announce(&mut self, document: &str, revision: Revision) {
        let held = self.held.entry(document.to_owned()).or_default();
        *held = revision.max(*held);
    }

    /// Returns the revisions to attach to every message.
    pub(super) fn announcements(&self) -> Vec<DocumentRevision> {
        let announcements = self.held.iter().take(MAX_DOCUMENTS);
        announcements
            .map(|(document, revision)| DocumentRevision { document: document.clone(), revision: *revision })
            .collect()
    }

    /// Records a member's announcements. Returns whether a holder or a revision changed.
    pub(super) fn record_announcements(
        &mut self,
        sender: &NodeId,
        announced: &[DocumentRevision],
        is_live: impl Fn(&NodeId) -> bool,
    ) -> bool {
        let mut changed = false;
        for DocumentRevision { document, revision } in announced {
            changed |= self.record_announcement(sender, document, *revision, &is_live);
        }
        changed
    }

    fn record_announcement(
        &mut self,
        sender: &NodeId,
        document: &str,
        revision: Revision,
        is_live: impl Fn(&NodeId) -> bool,
    ) -> bool {
        let Some(known) = self.announced.get(document) else {
            return self.store(sender, document, revision);
        };
        let is_newer = revision > known.revision || (revision == known.revision && !is_live(&known.holder));
        is_newer && self.store(sender, document, revision)
    }

    fn store(&mut self, sender: &NodeId, document: &str, revision: Revision) -> bool {
        let is_new = !self.announced.contains_key(document);
        let has_capacity = self.announced.len() < MAX_DOCUMENTS && document.len() <= MAX_DOCUMENT_NAME_BYTES;
        if is_new && !has_capacity {
            return false;
        }
        self.announced.insert(document.to_owned(), AnnouncedRevision { revision, holder: sender.clone() });
        true
    }

    pub(super) fn announced(&self) -> &BTreeMap<String, AnnouncedRevision> {
        &self.announced
    }
}
