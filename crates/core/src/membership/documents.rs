//! Revisions of the documents that every node holds, as members announce them.
//!
//! Owns the highest revision of each document and a live member that holds it.

use std::collections::BTreeMap;

use super::event::AnnouncedRevision;
use super::message::DocumentRevision;
use crate::identity::{NodeId, Revision};

/// Documents that are remembered; more come only from a broken or hostile sender. Five are in use; chosen
/// above that so that memory stays bounded.
const MAX_DOCUMENTS: usize = 8;

/// The longest document name, in bytes. Chosen, not measured: longer takes room of each datagram, shorter refuses names.
const MAX_DOCUMENT_NAME_BYTES: usize = 32;

/// What this node holds and what it announced.
///
/// A member announces only what it holds itself, so whoever is named as holder can be pulled from.
#[derive(Clone, Debug, Default)]
pub(super) struct Documents {
    held: BTreeMap<String, Revision>,
    announced: BTreeMap<String, AnnouncedRevision>,
}

impl Documents {
    /// Announces a revision from now on. A lower one than before changes nothing.
    pub(super) fn announce(&mut self, document: &str, revision: Revision) {
        let held = self.held.entry(document.to_owned()).or_default();
        *held = revision.max(*held);
    }

    /// What rides on every message.
    pub(super) fn announcements(&self) -> Vec<DocumentRevision> {
        let announcements = self.held.iter().take(MAX_DOCUMENTS);
        announcements
            .map(|(document, revision)| DocumentRevision { document: document.clone(), revision: *revision })
            .collect()
    }

    /// Takes in what a member announced. Returns whether a holder or a revision changed.
    pub(super) fn hear(
        &mut self,
        sender: &NodeId,
        announced: &[DocumentRevision],
        is_live: impl Fn(&NodeId) -> bool,
    ) -> bool {
        let mut changed = false;
        for DocumentRevision { document, revision } in announced {
            changed |= self.hear_one(sender, document, *revision, &is_live);
        }
        changed
    }

    fn hear_one(
        &mut self,
        sender: &NodeId,
        document: &str,
        revision: Revision,
        is_live: impl Fn(&NodeId) -> bool,
    ) -> bool {
        let Some(known) = self.announced.get(document) else {
            return self.remember(sender, document, revision);
        };
        let is_news = revision > known.revision || (revision == known.revision && !is_live(&known.holder));
        is_news && self.remember(sender, document, revision)
    }

    fn remember(&mut self, sender: &NodeId, document: &str, revision: Revision) -> bool {
        let is_new = !self.announced.contains_key(document);
        let has_room = self.announced.len() < MAX_DOCUMENTS && document.len() <= MAX_DOCUMENT_NAME_BYTES;
        if is_new && !has_room {
            return false;
        }
        self.announced.insert(document.to_owned(), AnnouncedRevision { revision, holder: sender.clone() });
        true
    }

    pub(super) fn announced(&self) -> &BTreeMap<String, AnnouncedRevision> {
        &self.announced
    }
}
