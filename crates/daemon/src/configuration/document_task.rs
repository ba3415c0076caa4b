//! The task that disseminates one document: connects the core's disseminator to peers, timers and the
//! platform.
//!
//! Owns the disseminator and the task that reads the platform; publishes the document in force through the
//! handle.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::{
    Action, Config, Confirmation, Disseminator, Message, Peer,
};
use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::ConfigurationRequest;
use lichenpulley_protocol::internal::configuration::DocumentName;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::handle::Event;
use super::source::Source;
use super::view::ConfigurationView;
use crate::cluster::ClusterView;
use crate::context::Context;
use crate::directory::ReplicaDirectory;
use crate::membership::{self, AnnouncedRevisions};

/// Interval at which the live members are checked for changes.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a single read of the platform has failed.
const READ_ONCE_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a message to a peer; the disseminator then sends it again.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the task of a document; a second start is ignored.
pub(super) fn start(context: &Context, document: DocumentName) {
    let Some(events) = context.documents.claim_events(document) else {
        log::error!(target: "configuration", "The task of {} was started twice; the second start is ignored.", document.as_str());
        return;
    };
    let task = DocumentTask::new(Arc::clone(context), document);
    let stopped = context.stopped.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => {}
            () = task.run(events) => {}
        }
    });
}

struct DocumentTask {
    context: Context,
    document: DocumentName,
    disseminator: Disseminator,
    started: Instant,
    source: Source,
    /// The latest document held, for the reader of the platform.
    latest: watch::Sender<Option<Arc<Document>>>,
    members: Arc<ClusterView>,
    reader: Option<JoinHandle<()>>,
    /// Whether a single read is in progress.
    is_reading_once: bool,
}

impl Drop for DocumentTask {
    fn drop(&mut self) {
        self.stop_reading();
    }
}

impl DocumentTask {
    fn new(context: Context, document: DocumentName) -> Self {
        let mut config = Config::default();
        if context.settings.peers.seeds.is_empty() {
            // Without seeds there are no members to wait for.
            config.settle_time = Duration::ZERO;
        }
        Self {
            disseminator: Disseminator::new(context.node.clone(), document.as_str(), config),
            source: Source::new(&context.settings, document),
            context,
            document,
            started: Instant::now(),
            latest: watch::Sender::new(None),
            members: Arc::default(),
            reader: None,
            is_reading_once: false,
        }
    }

    async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut announcements = membership::watch_revisions(&self.context);
        let mut members = tokio::time::interval(MEMBERS_POLL_INTERVAL);
        loop {
            let wake = self.next_wake();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = members.tick() => self.update_members(),
                Ok(()) = announcements.changed() => {
                    let revisions = announcements.borrow_and_update().clone();
                    self.receive_announcements(&revisions);
                }
                () = tokio::time::sleep_until(wake) => {
                    let now = self.now();
                    self.disseminator.wake(now);
                }
            }
            self.run_actions(None);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.started.elapsed()
    }

    fn next_wake(&self) -> Instant {
        let wake = self.disseminator.next_wake();
        let wake = wake.map(|wake| self.started + wake.saturating_since(Timestamp::ORIGIN));
        wake.unwrap_or_else(|| Instant::now() + MEMBERS_POLL_INTERVAL)
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Received { from, message, replies } => {
                self.disseminator.receive(from.clone(), message, now);
                let answer = self.run_actions(Some(&from));
                // Sending fails only if the peer no longer waits.
                let _ = replies.send(answer);
            }
            Event::Answered { from, messages } => {
                for message in messages {
                    self.disseminator.receive(from.clone(), message, now);
                }
            }
            Event::FromPlatform(document) => self.disseminator.receive_platform_document(document, now),
            Event::ReadEnded => self.is_reading_once = false,
        }
    }

    fn receive_announcements(&mut self, revisions: &AnnouncedRevisions) {
        let Some(announced) = revisions.get(self.document.as_str()) else { return };
        let now = self.now();
        self.disseminator.receive_announcement(announced.revision, announced.holder.node.clone(), now);
    }

    fn update_members(&mut self) {
        let members = self.context.cluster.load_full();
        if Arc::ptr_eq(&members, &self.members) {
            return;
        }
        let peers = members.members.iter();
        let peers = peers.map(|member| Peer { node: member.node.clone(), zone: member.zone.clone() });
        let peers: Vec<Peer> = peers.collect();
        self.members = members;
        let now = self.now();
        self.disseminator.members_changed(&peers, now);
    }

    /// Performs the disseminator's actions. Messages to `reply_to` are returned instead of being sent.
    fn run_actions(&mut self, reply_to: Option<&NodeId>) -> Vec<Message> {
        let mut replies = Vec::new();
        while let Some(action) = self.disseminator.poll_action() {
            match action {
                Action::Send { to, message } if Some(&to) == reply_to => replies.push(message),
                Action::Send { to, message } => self.send(to, message),
                Action::PutInForce { document, confirmation } => self.put_in_force(&document, confirmation),
                Action::ReadOnce => self.read_once(),
                Action::StartReading => self.start_reading(),
                Action::StopReading => self.stop_reading(),
            }
        }
        self.latest.send_replace(self.disseminator.latest().cloned());
        replies
    }

    fn send(&self, to: NodeId, message: Message) {
        let Some(address) = self.members.member(&to).map(|member| member.peer_address) else { return };
        let context = Arc::clone(&self.context);
        let document = self.document;
        tokio::spawn(async move {
            let request = ConfigurationRequest { document, from: context.node.clone(), message };
            match context.peers.configuration(address, request, MESSAGE_TIMEOUT).await {
                Ok(response) if response.replies.is_empty() => {}
                Ok(response) => {
                    let answered = Event::Answered { from: to, messages: response.replies };
                    context.documents.send(document, answered);
                }
                Err(error) => log::debug!(target: "configuration", "{to} did not answer: {error}."),
            }
        });
    }

    fn put_in_force(&self, document: &Arc<Document>, confirmation: Confirmation) {
        let revision = document.revision();
        match self.document {
            DocumentName::Configuration => {
                self.context.configuration.store(Arc::new(ConfigurationView::new(document)));
            }
            DocumentName::Directory => {
                self.context.directory.store(Arc::new(ReplicaDirectory::from_document(document)));
            }
        }
        self.context.documents.publish(self.document, Arc::clone(document));
        membership::announce_revision(&self.context, self.document.as_str(), revision);
        self.record("put_in_force", confirmation.as_str(), &revision.to_string());
        log::info!(target: "configuration", "Revision {revision} of {} is in force.", self.document.as_str());
    }

    fn read_once(&mut self) {
        if std::mem::replace(&mut self.is_reading_once, true) {
            return;
        }
        let (context, document, source) = (Arc::clone(&self.context), self.document, self.source.clone());
        let latest = self.latest.borrow().clone();
        tokio::spawn(async move {
            match source.read(latest).await {
                Ok(read) => context.documents.send(document, Event::FromPlatform(read)),
                Err(error) => {
                    log::warn!(target: "configuration", "{error}.");
                    tokio::time::sleep(READ_ONCE_PAUSE).await;
                }
            }
            context.documents.send(document, Event::ReadEnded);
        });
    }

    fn start_reading(&mut self) {
        self.stop_reading();
        self.record("reading_started", "chosen_reader", self.context.zone.as_str());
        let (context, document, source) = (Arc::clone(&self.context), self.document, self.source.clone());
        let latest = self.latest.subscribe();
        self.reader = Some(tokio::spawn(async move {
            let deliver = |read| context.documents.send(document, Event::FromPlatform(read));
            source.follow(|| latest.borrow().clone(), deliver).await;
        }));
    }

    fn stop_reading(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.abort();
            self.record("reading_stopped", "another_reader_chosen", self.context.zone.as_str());
        }
    }

    fn record(&self, action: &str, reason: &str, detail: &str) {
        let decision = Decision::new(Component::Configuration, action, reason, self.document.as_str());
        self.context.decisions.record(decision.with("detail", detail));
    }
}
