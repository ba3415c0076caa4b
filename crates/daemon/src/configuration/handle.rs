//! How the other parts of a node reach the tasks that spread the documents.
//!
//! Owns the channels of events and what is in force; it imports no other part's tasks.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::identity::{NodeId, Revision};
use lichenpulley_protocol::internal::configuration::DocumentName;
use tokio::sync::{mpsc, oneshot, watch};

/// What the task of a document is told.
#[derive(Debug)]
pub(super) enum Event {
    /// A peer says something and waits for what this node has to say at once.
    Received {
        /// The peer.
        from: NodeId,
        /// What it says.
        message: Message,
        /// Where the replies go.
        replies: oneshot::Sender<Vec<Message>>,
    },
    /// A peer answered a message of ours.
    Answered {
        /// The peer.
        from: NodeId,
        /// What it says.
        messages: Vec<Message>,
    },
    /// The platform gave this document, by a read or by a write of ours.
    FromPlatform(Document),
    /// A single read of the platform has ended, with or without an answer.
    ReadEnded,
}

/// The way to one document's task.
struct Line {
    events: mpsc::UnboundedSender<Event>,
    pending: Mutex<Option<mpsc::UnboundedReceiver<Event>>>,
    /// What is in force, `None` until the node knows.
    in_force: watch::Sender<Option<Arc<Document>>>,
}

/// A node's way to the tasks of its documents; works before they have started.
pub struct ConfigurationHandle {
    configuration: Line,
    directory: Line,
}

impl ConfigurationHandle {
    /// A handle whose tasks have not started.
    pub fn new() -> Self {
        Self { configuration: Line::new(), directory: Line::new() }
    }

    /// The document in force, as it changes.
    pub fn watch(&self, document: DocumentName) -> watch::Receiver<Option<Arc<Document>>> {
        self.line(document).in_force.subscribe()
    }

    pub(super) async fn receive(
        &self,
        document: DocumentName,
        from: NodeId,
        message: Message,
    ) -> Vec<Message> {
        let (replies, answer) = oneshot::channel();
        self.send(document, Event::Received { from, message, replies });
        // Without an answer the task has stopped with its node, which sends no replies any more.
        answer.await.unwrap_or_default()
    }

    pub(super) fn send(&self, document: DocumentName, event: Event) {
        // An error only says that the node has stopped.
        let _ = self.line(document).events.send(event);
    }

    pub(super) fn publish(&self, document: DocumentName, in_force: Arc<Document>) {
        self.line(document).in_force.send_replace(Some(in_force));
    }

    /// Waits until a revision, or a later one, is in force on this node; `false` where that takes too long.
    pub(super) async fn wait_for(
        &self,
        document: DocumentName,
        revision: Revision,
        timeout: Duration,
    ) -> bool {
        let mut in_force = self.watch(document);
        let reached = in_force
            .wait_for(|document| document.as_ref().is_some_and(|document| document.revision() >= revision));
        matches!(tokio::time::timeout(timeout, reached).await, Ok(Ok(_)))
    }

    /// Where the events arrive; only the first caller gets them.
    pub(super) fn take_events(&self, document: DocumentName) -> Option<mpsc::UnboundedReceiver<Event>> {
        self.line(document).pending.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn line(&self, document: DocumentName) -> &Line {
        match document {
            DocumentName::Configuration => &self.configuration,
            DocumentName::Directory => &self.directory,
        }
    }
}

impl Default for ConfigurationHandle {
    fn default() -> Self {
        Self::new()
    }
}

impl Line {
    fn new() -> Self {
        let (events, pending) = mpsc::unbounded_channel();
        Self { events, pending: Mutex::new(Some(pending)), in_force: watch::Sender::new(None) }
    }
}
