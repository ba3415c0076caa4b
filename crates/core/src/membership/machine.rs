//! The membership state machine and its interface to the driver.
//!
//! [`Membership`] holds the protocol state. The sibling modules implement its individual tasks.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::config::{Config, ConfigError, MAX_NAME_BYTES};
use super::documents::Documents;
use super::event::{AnnouncedRevision, Counters, Event};
use super::member::{Incarnation, MemberClaim, MemberInfo, MemberRecord, MemberState};
use super::message::{Body, Message, Update};
use super::probe::{ForwardedProbes, PendingProbe, ProbeOrder};
use super::repair::Join;
use super::spread::Suspicion;
use super::stall::ProtocolClock;
use super::table::MemberTable;
use super::updates::UpdateQueue;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// Number of members notified when this node leaves. Sending several copies tolerates packet loss.
const LEAVE_NOTICES: usize = 5;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Destination address.
    pub destination: SocketAddr,
    /// Payload bytes.
    pub payload: Vec<u8>,
}

/// Why a node can't start the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// A setting is out of bounds.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The node id or zone name is empty or too long.
    #[error("the {what} `{name}` has {} bytes; use 1 to 64 bytes", name.len())]
    Name {
        /// Kind of name: `node id` or `zone name`.
        what: &'static str,
        /// The rejected name.
        name: String,
    },
}

/// The membership protocol state of one node.
///
/// The driver calls [`Self::handle_datagram`] and [`Self::handle_timeout`] with the current time. After each
/// call it drains [`Self::poll_transmit`] and [`Self::poll_event`], and sets a timer for
/// [`Self::poll_timeout`].
pub struct Membership {
    pub(super) config: Config,
    pub(super) own_id: NodeId,
    pub(super) random: Pcg64Mcg,
    pub(super) table: MemberTable,
    pub(super) updates: UpdateQueue,
    pub(super) documents: Documents,
    pub(super) order: ProbeOrder,
    pub(super) forwarded_probes: ForwardedProbes,
    pub(super) pending: Option<PendingProbe>,
    pub(super) suspicions: BTreeMap<NodeId, Suspicion>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) join: Join,
    pub(super) next_probe_at: Timestamp,
    pub(super) next_sync_at: Timestamp,
    pub(super) next_reconnect_at: Timestamp,
    /// Earliest time of the next table comparison with an unknown sender.
    pub(super) next_unknown_sender_sync_at: Timestamp,
    pub(super) leaving: bool,
    pub(super) events: VecDeque<Event>,
    pub(super) counters: Counters,
    pub(super) view_version: u64,
    pub(super) documents_version: u64,
    clock: ProtocolClock,
    sequence: u32,
    transmits: VecDeque<Transmit>,
}

impl Membership {
    /// Creates a node that joins through `seeds`, or forms a cluster of its own if there are none.
    ///
    /// `incarnation` must be higher than in previous runs of the node; use the Unix time in milliseconds.
    /// `seed` initializes the random number generator.
    ///
    /// # Errors
    /// Returns an error if a setting or a name is out of bounds.
    pub fn new(
        config: Config,
        info: MemberInfo,
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, StartError> {
        config.validate()?;
        check_name("node id", info.node.as_str())?;
        check_name("zone name", info.zone.as_str())?;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let tolerance = config.mechanisms.stall_credit.then_some(config.stall_tolerance);
        let seeds = seeds.into_iter().filter(|seed| *seed != info.address).collect();
        let next_probe_at = now + random_fraction(&mut random, config.probe_interval);
        let next_sync_at = now + random_fraction(&mut random, config.sync_interval);
        let mut membership = Self {
            own_id: info.node.clone(),
            random,
            table: MemberTable::default(),
            updates: UpdateQueue::new(&config, now),
            documents: Documents::default(),
            order: ProbeOrder::default(),
            forwarded_probes: ForwardedProbes::default(),
            pending: None,
            suspicions: BTreeMap::new(),
            seeds,
            join: Join::new(now),
            next_probe_at,
            next_sync_at,
            next_reconnect_at: now + config.reconnect_interval,
            next_unknown_sender_sync_at: now,
            leaving: false,
            events: VecDeque::new(),
            counters: Counters::default(),
            view_version: 0,
            documents_version: 0,
            clock: ProtocolClock::new(tolerance),
            sequence: 0,
            transmits: VecDeque::new(),
            config,
        };
        let claim = MemberClaim { incarnation, state: MemberState::Alive };
        membership.updates.push(Update::alive(&info, incarnation));
        membership.table.insert(MemberRecord { info, claim, since: now });
        Ok(membership)
    }

    /// Processes a received datagram.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, payload: &[u8]) {
        let now = self.advance_clock(now);
        self.counters.datagrams_received += 1;
        self.counters.bytes_received += to_u64(payload.len());
        match Message::decode(payload) {
            Ok(message) => self.receive(now, from, message),
            Err(_) => self.counters.undecodable += 1,
        }
    }

    /// Runs all due timers. An early call has no effect.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let now = self.advance_clock(now);
        if self.leaving {
            return;
        }
        self.expire_suspicions(now);
        self.advance_probe(now);
        self.advance_join(now);
        self.advance_repair(now);
    }

    /// Returns when to call [`Self::handle_timeout`], or `None` once the node has left.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.next_due().map(|due| self.clock.to_driver_time(due))
    }

    /// Returns the next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    /// Returns the next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Announces on all subsequent messages that this node holds a revision of a document.
    pub fn announce(&mut self, document: &str, revision: Revision) {
        self.documents.announce(document, revision);
    }

    /// Leaves the cluster: notifies a few members, removes this node from its own live members and stops the
    /// protocol.
    pub fn leave(&mut self, now: Timestamp) {
        let now = self.advance_clock(now);
        if self.leaving {
            return;
        }
        self.leaving = true;
        let notified = self.random_peers(LEAVE_NOTICES);
        self.mark_left(now);
        for (node, address) in notified {
            self.send_left(now, address, &node);
        }
    }

    /// Returns the live members, including this node, ordered by id.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.table.live().map(|record| &record.info)
    }

    /// Returns the number of live members, including this node.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// Returns the record of a member, live or not.
    pub fn member(&self, node: &NodeId) -> Option<&MemberRecord> {
        self.table.get(node)
    }

    /// Returns a counter that increases whenever [`Self::live_members`] changes.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the highest announced revision of each document.
    pub fn announced_revisions(&self) -> &BTreeMap<String, AnnouncedRevision> {
        self.documents.announced()
    }

    /// Returns a counter that increases whenever [`Self::announced_revisions`] changes.
    pub fn documents_version(&self) -> u64 {
        self.documents_version
    }

    /// Returns the counters since the start of the node.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Sends a message with as many queued updates as fit, or none if the receiver may have failed.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        destination: SocketAddr,
        receiver: Option<&NodeId>,
        sequence: u32,
        body: Body,
        extra_updates: impl IntoIterator<Item = Update>,
    ) {
        let mut message = self.message_to(receiver, sequence, body);
        message.updates.extend(extra_updates);
        if receiver.is_none_or(|receiver| self.is_alive(receiver)) {
            let remaining_bytes = self.config.maximum_payload_bytes.saturating_sub(message.encoded_bytes());
            let limit = self.config.retransmissions(self.table.live_count());
            self.updates.fill(now, &mut message, remaining_bytes, limit);
        }
        self.transmit(destination, &message);
    }

    /// Sends a message without queued updates.
    pub(super) fn send_without_updates(
        &mut self,
        destination: SocketAddr,
        receiver: &NodeId,
        sequence: u32,
        body: Body,
    ) {
        let message = self.message_to(Some(receiver), sequence, body);
        self.transmit(destination, &message);
    }

    /// Creates a message. If the receiver is not considered alive, the message includes that claim so that the
    /// receiver can refute it (the buddy system of Dadgar, Phillips and Currey, "Lifeguard", 2018).
    fn message_to(&self, receiver: Option<&NodeId>, sequence: u32, body: Body) -> Message {
        let mut message = Message::new(self.own_id.clone(), sequence, body, self.documents.announcements());
        message.updates.extend(receiver.and_then(|receiver| self.adverse_claim(receiver)));
        message
    }

    fn transmit(&mut self, destination: SocketAddr, message: &Message) {
        let payload = message.encode();
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += to_u64(payload.len());
        self.transmits.push_back(Transmit { destination, payload });
    }

    /// Returns an update that claims this node is alive at its current incarnation.
    pub(super) fn own_update(&self) -> Option<Update> {
        let record = self.table.get(&self.own_id)?;
        Some(Update::alive(&record.info, record.claim.incarnation))
    }

    /// Notifies a member that this node has left.
    pub(super) fn send_left(&mut self, now: Timestamp, address: SocketAddr, receiver: &NodeId) {
        let Some(record) = self.table.get(&self.own_id) else { return };
        let left = Update::from_claim(&record.info, record.claim);
        let sequence = self.next_sequence();
        self.send(now, address, Some(receiver), sequence, Body::Notice, Some(left));
    }

    fn mark_left(&mut self, now: Timestamp) {
        let Some(mut record) = self.table.get(&self.own_id).cloned() else { return };
        record.claim.state = MemberState::Left;
        record.since = now;
        self.table.insert(record);
        self.view_version += 1;
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn is_alive(&self, node: &NodeId) -> bool {
        self.table.get(node).is_some_and(|record| record.claim.state == MemberState::Alive)
    }

    /// Returns the recorded claim about a member that is not considered alive.
    fn adverse_claim(&self, receiver: &NodeId) -> Option<Update> {
        let record = self.table.get(receiver)?;
        let is_not_alive = record.claim.state != MemberState::Alive;
        is_not_alive.then(|| Update::from_claim(&record.info, record.claim))
    }

    /// Converts the driver's time to protocol time and credits any stall.
    fn advance_clock(&mut self, driver_time: Timestamp) -> Timestamp {
        let due = self.next_due();
        let (now, stall) = self.clock.read(driver_time, due);
        self.counters.stall_credit_us += u64::try_from(stall.as_micros()).unwrap_or(u64::MAX);
        now
    }

    /// Returns the next deadline, in protocol time.
    fn next_due(&self) -> Option<Timestamp> {
        if self.leaving {
            return None;
        }
        let suspicion = self.suspicions.values().map(|suspicion| suspicion.expires_at).min();
        let probe =
            self.pending.as_ref().map_or(self.next_probe_at, |probe| probe.retry_at.min(probe.ends_at));
        [suspicion, Some(probe), self.join_due(), self.repair_due()].into_iter().flatten().min()
    }
}

/// Returns a random fraction of a duration, so that nodes started together do not act in lockstep.
pub(super) fn random_fraction(random: &mut Pcg64Mcg, whole: Duration) -> Duration {
    whole.mul_f64(random.random_range(0.0..1.0))
}

fn to_u64(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

fn check_name(what: &'static str, name: &str) -> Result<(), StartError> {
    let fits = (1..=MAX_NAME_BYTES).contains(&name.len());
    if fits { Ok(()) } else { Err(StartError::Name { what, name: name.to_owned() }) }
}
