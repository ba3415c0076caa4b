//! Handle through which other parts of a node reach the tasks that disseminate the documents.
//!
//! Holds the event channels and the documents in force; does not depend on the tasks themselves.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::Message;
use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::identity::{NodeId, Revision};
use lichenpulley_protocol::internal::configuration::DocumentName;
use tokio::sync::{mpsc, oneshot, watch};

/// Event for the task of a document.
#[derive(Debug)]
pub(super) enum Event {
    /// A peer sent a message and waits for immediate replies.
    Received {
        /// The peer.
        from: NodeId,
        /// Its message.
        message: Message,
        /// Receives the replies.
        replies: oneshot::Sender<Vec<Message>>,
    },
    /// A peer answered a message of this node.
    Answered {
        /// The peer.
        from: NodeId,
        /// Its replies.
        messages: Vec<Message>,
    },
    /// The platform holds this document, as learned from a read or from a write of this node.
    FromPlatform(Document),
    /// A single read of the platform has ended, with or without an answer.
    ReadEnded,
}

/// Channels to and from the task of one document.
struct DocumentChannel {
    events: mpsc::UnboundedSender<Event>,
    unclaimed: Mutex<Option<mpsc::UnboundedReceiver<Event>>>,
    /// The document in force; `None` until the node knows it.
    in_force: watch::Sender<Option<Arc<Document>>>,
}

/// Handle to the tasks of a node's documents. It can be used before the tasks have started.
pub struct ConfigurationHandle {
    configuration: DocumentChannel,
    directory: DocumentChannel,
}

impl ConfigurationHandle {
    /// Creates a handle whose tasks have not started.
    pub fn new() -> Self {
        Self { configuration: DocumentChannel::new(), directory: DocumentChannel::new() }
    }

    /// Subscribes to the document in force.
    pub fn watch(&self, document: DocumentName) -> watch::Receiver<Option<Arc<Document>>> {
        self.channel(document).in_force.subscribe()
    }

    pub(super) async fn receive(
        &self,
        document: DocumentName,
        from: NodeId,
        message: Message,
    ) -> Vec<Message> {
        let (replies, answer) = oneshot::channel();
        self.send(document, Event::Received { from, message, replies });
        // Without an answer the task has stopped with its node, and there are no replies.
        answer.await.unwrap_or_default()
    }

    pub(super) fn send(&self, document: DocumentName, event: Event) {
        // Sending fails only if the node has stopped.
        let _ = self.channel(document).events.send(event);
    }

    pub(super) fn publish(&self, document: DocumentName, in_force: Arc<Document>) {
        self.channel(document).in_force.send_replace(Some(in_force));
    }

    /// Waits until a revision or a later one is in force on this node. Returns `false` after `timeout`.
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

    /// Returns the receiver of the events to the first caller, and `None` to any other.
    pub(super) fn claim_events(&self, document: DocumentName) -> Option<mpsc::UnboundedReceiver<Event>> {
        self.channel(document).unclaimed.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn channel(&self, document: DocumentName) -> &DocumentChannel {
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

impl DocumentChannel {
    fn new() -> Self {
        let (events, unclaimed) = mpsc::unbounded_channel();
        Self { events, unclaimed: Mutex::new(Some(unclaimed)), in_force: watch::Sender::new(None) }
    }
}
