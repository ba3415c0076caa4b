//! How the other parts of a node speak to its membership task.
//!
//! Owns the channel of commands and the announced revisions; it imports no other part's tasks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use tokio::sync::{mpsc, oneshot, watch};

use crate::cluster::Member;

/// How long a planned stop waits for the notice of leaving to be sent. Chosen, not measured: the notice is
/// one datagram to a few members, so a second is ample; longer delays a stop.
const LEAVE_WAIT: Duration = Duration::from_secs(1);

/// The highest revision of a document that has been announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedRevision {
    /// The revision.
    pub revision: Revision,
    /// A live member that holds it: pull from there.
    pub holder: Member,
}

/// The highest announced revision of each document, by the document's name.
pub type AnnouncedRevisions = Arc<BTreeMap<String, AnnouncedRevision>>;

/// What the membership task is asked to do.
#[derive(Debug)]
pub(super) enum Command {
    /// Announce that this node holds a revision.
    Announce {
        /// The document.
        document: String,
        /// The revision.
        revision: Revision,
    },
    /// Leave the cluster.
    Leave {
        /// Notified when the notice has been sent.
        done: oneshot::Sender<()>,
    },
}

/// A node's way to its membership task; works before the task has started, which then catches up.
pub struct MembershipHandle {
    commands: mpsc::UnboundedSender<Command>,
    pending: Mutex<Option<mpsc::UnboundedReceiver<Command>>>,
    heard: watch::Sender<AnnouncedRevisions>,
}

impl MembershipHandle {
    /// A handle whose task has not started.
    pub fn new() -> Self {
        let (commands, pending) = mpsc::unbounded_channel();
        let (heard, _) = watch::channel(AnnouncedRevisions::default());
        Self { commands, pending: Mutex::new(Some(pending)), heard }
    }

    pub(super) fn announce_revision(&self, document: &str, revision: Revision) {
        let command = Command::Announce { document: document.to_owned(), revision };
        // An error only says that the node has stopped.
        let _ = self.commands.send(command);
    }

    pub(super) fn watch_revisions(&self) -> watch::Receiver<AnnouncedRevisions> {
        self.heard.subscribe()
    }

    /// Tells whoever watches, where something has changed.
    pub(super) fn publish_heard(&self, heard: BTreeMap<String, AnnouncedRevision>) {
        self.heard.send_if_modified(|published| {
            let changed = **published != heard;
            if changed {
                *published = Arc::new(heard);
            }
            changed
        });
    }

    pub(super) async fn leave(&self) {
        let (done, sent) = oneshot::channel();
        if self.commands.send(Command::Leave { done }).is_ok() {
            // Leaving is a courtesy: where it takes too long, the others find out by themselves.
            let _ = tokio::time::timeout(LEAVE_WAIT, sent).await;
        }
    }

    /// Where the commands arrive; only the first caller gets them.
    pub(super) fn take_commands(&self) -> Option<mpsc::UnboundedReceiver<Command>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Default for MembershipHandle {
    fn default() -> Self {
        Self::new()
    }
}
