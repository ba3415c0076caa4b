//! Handle through which other parts of a node reach its membership task.
//!
//! Holds the command channel and the announced revisions; does not depend on the task itself.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::Revision;
use tokio::sync::{mpsc, oneshot, watch};

use crate::cluster::Member;

/// How long a planned stop waits until the notice of leaving is sent, which is one datagram to a few members.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The highest revision of a document that has been announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedRevision {
    /// The revision.
    pub revision: Revision,
    /// A live member that holds it and can be asked for it.
    pub holder: Arc<Member>,
}

/// The highest announced revision of each document, by the document's name.
pub type AnnouncedRevisions = Arc<BTreeMap<String, AnnouncedRevision>>;

/// Command to the membership task.
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

/// Handle to a node's membership task. Commands sent before the task has started are processed once it
/// starts.
pub struct MembershipHandle {
    commands: mpsc::UnboundedSender<Command>,
    unclaimed: Mutex<Option<mpsc::UnboundedReceiver<Command>>>,
    revisions: watch::Sender<AnnouncedRevisions>,
}

impl MembershipHandle {
    /// Creates a handle whose task has not started.
    pub fn new() -> Self {
        let (commands, unclaimed) = mpsc::unbounded_channel();
        let (revisions, _) = watch::channel(AnnouncedRevisions::default());
        Self { commands, unclaimed: Mutex::new(Some(unclaimed)), revisions }
    }

    pub(super) fn announce_revision(&self, document: &str, revision: Revision) {
        let command = Command::Announce { document: document.to_owned(), revision };
        // Sending fails only if the node has stopped.
        let _ = self.commands.send(command);
    }

    pub(super) fn watch_revisions(&self) -> watch::Receiver<AnnouncedRevisions> {
        self.revisions.subscribe()
    }

    /// Notifies the subscribers if any revision has changed.
    pub(super) fn publish_revisions(&self, revisions: BTreeMap<String, AnnouncedRevision>) {
        self.revisions.send_if_modified(|published| {
            let changed = **published != revisions;
            if changed {
                *published = Arc::new(revisions);
            }
            changed
        });
    }

    pub(super) async fn leave(&self) {
        let (done, notice_sent) = oneshot::channel();
        if self.commands.send(Command::Leave { done }).is_ok() {
            // The notice is optional: without it the other members detect the stop by probing.
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, notice_sent).await;
        }
    }

    /// Returns the receiver of the commands to the first caller, and `None` to any other.
    pub(super) fn claim_commands(&self) -> Option<mpsc::UnboundedReceiver<Command>> {
        self.unclaimed.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Default for MembershipHandle {
    fn default() -> Self {
        Self::new()
    }
}
