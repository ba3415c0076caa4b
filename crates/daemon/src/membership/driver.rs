//! Drives the membership protocol's state machine with datagrams, timers and commands.
//!
//! Owns the socket and the state machine; publishes the view of the members and the announced revisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::membership::{MemberInfo, Membership};
use lichenpulley_core::time::Timestamp;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::handle::{AnnouncedRevision, Command};
use super::meter::ProtocolMetrics;
use super::report::{self, EventLog};
use crate::cluster::{ClusterView, Member, NodeCapacity, Roles};
use crate::context::Context;

/// Maximum size of a UDP datagram, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 65_535;

/// Maximum number of datagrams processed in a row, so that timers and commands are not starved.
const RECEIVE_BATCH: usize = 256;

/// Wait while the protocol has no timer set.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// The membership task of one node.
pub(super) struct Driver {
    context: Context,
    socket: UdpSocket,
    membership: Membership,
    commands: mpsc::UnboundedReceiver<Command>,
    metrics: ProtocolMetrics,
    origin: Instant,
    published_view: Option<u64>,
    published_documents: Option<u64>,
    event_log: EventLog,
    buffer: Vec<u8>,
}

impl Driver {
    pub(super) fn new(
        context: Context,
        socket: UdpSocket,
        membership: Membership,
        commands: mpsc::UnboundedReceiver<Command>,
        metrics: ProtocolMetrics,
        origin: Instant,
    ) -> Self {
        Self {
            context,
            socket,
            membership,
            commands,
            metrics,
            origin,
            published_view: None,
            published_documents: None,
            event_log: EventLog::default(),
            buffer: vec![0; RECEIVE_BUFFER_BYTES],
        }
    }

    /// Runs until the node has stopped.
    pub(super) async fn run(mut self) {
        self.publish();
        while self.step().await {
            self.flush().await;
            self.publish();
        }
    }

    /// Waits for the next datagram, command or timer and handles it. Returns whether to continue.
    async fn step(&mut self) -> bool {
        let wake_at = self.wake_at();
        // Datagrams come first: after a pause of this process, answers waiting in the socket must be read
        // before the timers that wait for them expire.
        tokio::select! {
            biased;
            () = self.context.stopped.cancelled() => false,
            received = self.socket.recv_from(&mut self.buffer) => {
                self.receive(received);
                true
            }
            command = self.commands.recv() => match command {
                Some(command) => {
                    self.handle_command(command).await;
                    true
                }
                None => false,
            },
            () = tokio::time::sleep_until(wake_at) => {
                let now = self.now();
                self.membership.handle_timeout(now);
                true
            }
        }
    }

    /// Processes a received datagram and those waiting in the socket, up to [`RECEIVE_BATCH`].
    fn receive(&mut self, received: std::io::Result<(usize, SocketAddr)>) {
        let mut received = received;
        for _ in 0..RECEIVE_BATCH {
            match received {
                Ok((length, from)) => {
                    let now = self.now();
                    self.membership.handle_datagram(now, from, &self.buffer[..length]);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                // For example an ICMP answer to an earlier datagram; the protocol detects unreachable members
                // itself.
                Err(error) => log::debug!(target: "membership", "Receiving failed: {error}."),
            }
            received = self.socket.try_recv_from(&mut self.buffer);
        }
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Announce { document, revision } => self.membership.announce(&document, revision),
            Command::Leave { done } => self.leave(done).await,
        }
    }

    async fn leave(&mut self, done: oneshot::Sender<()>) {
        let now = self.now();
        self.membership.leave(now);
        self.flush().await;
        // Sending fails only if the caller no longer waits.
        let _ = done.send(());
    }

    /// Sends the pending datagrams and records the events and counters.
    async fn flush(&mut self) {
        while let Some(transmit) = self.membership.poll_transmit() {
            if let Err(error) = self.socket.send_to(&transmit.payload, transmit.destination).await {
                let destination = transmit.destination;
                log::debug!(target: "membership", "Sending to {destination} failed: {error}.");
            }
        }
        while let Some(event) = self.membership.poll_event() {
            self.event_log.record(&event);
            self.context.decisions.record(report::decision(&event));
        }
        self.event_log.report_joins(self.membership.live_count());
        self.metrics.record(self.membership.counters(), self.membership.live_count());
    }

    /// Publishes the view and the announced revisions if they have changed.
    fn publish(&mut self) {
        let view_version = Some(self.membership.view_version());
        let view_changed = self.published_view != view_version;
        if view_changed {
            self.published_view = view_version;
            let previous = self.context.cluster.load();
            let members = self.membership.live_members().map(|info| shared_member(&previous, info)).collect();
            self.context.cluster.store(Arc::new(ClusterView::new(members)));
        }
        let documents_version = Some(self.membership.documents_version());
        if view_changed || self.published_documents != documents_version {
            self.published_documents = documents_version;
            self.context.membership.publish_revisions(self.announced_revisions());
        }
    }

    fn announced_revisions(&self) -> BTreeMap<String, AnnouncedRevision> {
        let announced = self.membership.announced_revisions().iter();
        let reachable = announced.filter_map(|(document, announced)| {
            let record = self.membership.member(&announced.holder)?;
            let holder = shared_member(&self.context.cluster.load(), &record.info);
            Some((document.clone(), AnnouncedRevision { revision: announced.revision, holder }))
        });
        reachable.collect()
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn wake_at(&self) -> Instant {
        let now = self.now();
        let wait = self.membership.poll_timeout().map_or(IDLE_WAIT, |due| due.saturating_since(now));
        Instant::now() + wait
    }
}

/// Returns a member, shared with `previous` if it is unchanged there: in a large cluster each view change
/// affects few of the members.
fn shared_member(previous: &ClusterView, info: &MemberInfo) -> Arc<Member> {
    let is_unchanged = |known: &&Arc<Member>| {
        known.zone == info.zone
            && known.peer_address == info.address
            && known.roles == Roles::from_bits(info.attributes)
            && known.capacity == NodeCapacity::from_attributes(info.attributes)
    };
    previous.member(&info.node).filter(is_unchanged).map_or_else(|| Arc::new(member(info)), Arc::clone)
}

fn member(info: &MemberInfo) -> Member {
    Member {
        node: info.node.clone(),
        zone: info.zone.clone(),
        roles: Roles::from_bits(info.attributes),
        capacity: NodeCapacity::from_attributes(info.attributes),
        peer_address: info.address,
    }
}
