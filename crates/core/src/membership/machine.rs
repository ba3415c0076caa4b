//! The state machine's own state and its doors to the driver.
//!
//! Owns all parts of the protocol and calls them; the modules beside it extend it by one job each.

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
use super::probe::{PendingProbe, ProbeOrder, Relays};
use super::repair::Join;
use super::spread::Suspicion;
use super::stall::AwakeClock;
use super::table::MemberTable;
use super::updates::UpdateQueue;
use crate::identity::{NodeId, Revision};
use crate::time::Timestamp;

/// How many members are told at once that this node leaves. Chosen, not measured: with fewer, all notices
/// may be lost and the leaving node counts as failed only after the suspicion.
const LEAVE_NOTICES: usize = 5;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Where to.
    pub destination: SocketAddr,
    /// Its payload.
    pub payload: Vec<u8>,
}

/// Why a node can't take part.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// A setting is out of its bounds.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The node's id or its zone's name is empty or too long for a datagram.
    #[error("the {what} `{name}` has {} bytes; use 1 to 64 bytes", name.len())]
    Name {
        /// Which name.
        what: &'static str,
        /// The name.
        name: String,
    },
}

/// One node's part in the membership protocol.
///
/// The driver hands in datagrams and wake-ups with the time, then takes out datagrams
/// ([`Self::poll_transmit`]), events ([`Self::poll_event`]) and the next wake-up ([`Self::poll_timeout`])
/// until there are none.
pub struct Membership {
    pub(super) config: Config,
    pub(super) own: NodeId,
    pub(super) random: Pcg64Mcg,
    pub(super) table: MemberTable,
    pub(super) updates: UpdateQueue,
    pub(super) documents: Documents,
    pub(super) order: ProbeOrder,
    pub(super) relays: Relays,
    pub(super) pending: Option<PendingProbe>,
    pub(super) suspicions: BTreeMap<NodeId, Suspicion>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) join: Join,
    pub(super) next_probe_at: Timestamp,
    pub(super) next_sync_at: Timestamp,
    pub(super) next_reconnect_at: Timestamp,
    /// When a member that is not known may be asked who it is again.
    pub(super) next_inquiry_at: Timestamp,
    pub(super) leaving: bool,
    pub(super) events: VecDeque<Event>,
    pub(super) counters: Counters,
    pub(super) view_version: u64,
    pub(super) documents_version: u64,
    clock: AwakeClock,
    sequence: u32,
    transmits: VecDeque<Transmit>,
}

impl Membership {
    /// A node that joins through `seeds`, and is alone where there are none.
    ///
    /// `incarnation` must be above that of its earlier runs: the Unix time in milliseconds. `seed` feeds
    /// the node's random choices.
    ///
    /// # Errors
    /// When a setting or a name is out of its bounds.
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
        let next_probe_at = now + random_part(&mut random, config.probe_interval);
        let next_sync_at = now + random_part(&mut random, config.sync_interval);
        let mut membership = Self {
            own: info.node.clone(),
            random,
            table: MemberTable::default(),
            updates: UpdateQueue::new(&config, now),
            documents: Documents::default(),
            order: ProbeOrder::default(),
            relays: Relays::default(),
            pending: None,
            suspicions: BTreeMap::new(),
            seeds,
            join: Join::new(now),
            next_probe_at,
            next_sync_at,
            next_reconnect_at: now + config.reconnect_interval,
            next_inquiry_at: now,
            leaving: false,
            events: VecDeque::new(),
            counters: Counters::default(),
            view_version: 0,
            documents_version: 0,
            clock: AwakeClock::new(tolerance),
            sequence: 0,
            transmits: VecDeque::new(),
            config,
        };
        let claim = MemberClaim { incarnation, state: MemberState::Alive };
        membership.updates.push(Update::alive(&info, incarnation));
        membership.table.insert(MemberRecord { info, claim, since: now });
        Ok(membership)
    }

    /// Takes in a datagram.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, payload: &[u8]) {
        let now = self.wake(now);
        self.counters.datagrams_received += 1;
        self.counters.bytes_received += count(payload.len());
        match Message::decode(payload) {
            Ok(message) => self.receive(now, from, message),
            Err(_) => self.counters.undecodable += 1,
        }
    }

    /// Does what is due. Calling it too early does no harm.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let now = self.wake(now);
        if self.leaving {
            return;
        }
        self.expire_suspicions(now);
        self.advance_probe(now);
        self.advance_join(now);
        self.advance_repair(now);
    }

    /// When to call [`Self::handle_timeout`]; `None` once the node has left.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.next_due().map(|due| self.clock.to_clock(due))
    }

    /// The next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Says on every message from now on that this node holds a revision of a document.
    pub fn announce(&mut self, document: &str, revision: Revision) {
        self.documents.announce(document, revision);
    }

    /// Tells a few members that this node leaves, and takes no further part: it is no longer among the live
    /// members, not even in its own view.
    pub fn leave(&mut self, now: Timestamp) {
        let now = self.wake(now);
        if self.leaving {
            return;
        }
        self.leaving = true;
        let told = self.random_peers(LEAVE_NOTICES);
        self.mark_left(now);
        for (node, address) in told {
            self.send_left(now, address, &node);
        }
    }

    /// Members that count as live, this node included, in the order of their ids.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.table.live().map(|record| &record.info)
    }

    /// How many members count as live, this node included.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// What is known about a member.
    pub fn member(&self, node: &NodeId) -> Option<&MemberRecord> {
        self.table.get(node)
    }

    /// Goes up whenever [`Self::live_members`] changes.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// The highest revision of each document that was heard.
    pub fn announced_revisions(&self) -> &BTreeMap<String, AnnouncedRevision> {
        self.documents.announced()
    }

    /// Goes up whenever [`Self::announced_revisions`] changes.
    pub fn documents_version(&self) -> u64 {
        self.documents_version
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Sends one message, with whatever updates still fit; none are wasted on a receiver that may be gone.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        destination: SocketAddr,
        receiver: Option<&NodeId>,
        sequence: u32,
        body: Body,
        attached: impl IntoIterator<Item = Update>,
    ) {
        let mut message = self.message_to(receiver, sequence, body);
        message.updates.extend(attached);
        if receiver.is_none_or(|receiver| self.is_alive(receiver)) {
            let room = self.config.maximum_payload_bytes.saturating_sub(message.encoded_bytes());
            let limit = self.config.retransmissions(self.table.live_count());
            self.updates.fill(now, &mut message, room, limit);
        }
        self.transmit(destination, &message);
    }

    /// Sends one message without updates.
    pub(super) fn send_bare(
        &mut self,
        destination: SocketAddr,
        receiver: &NodeId,
        sequence: u32,
        body: Body,
    ) {
        let message = self.message_to(Some(receiver), sequence, body);
        self.transmit(destination, &message);
    }

    /// A message that tells a receiver in doubt so, for it to refute (the buddy system of Dadgar, Phillips and
    /// Currey, "Lifeguard", 2018).
    fn message_to(&self, receiver: Option<&NodeId>, sequence: u32, body: Body) -> Message {
        let mut message = Message::new(self.own.clone(), sequence, body, self.documents.announcements());
        message.updates.extend(receiver.and_then(|receiver| self.doubt_about(receiver)));
        message
    }

    fn transmit(&mut self, destination: SocketAddr, message: &Message) {
        let payload = message.encode();
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += count(payload.len());
        self.transmits.push_back(Transmit { destination, payload });
    }

    /// An update by which this node is alive, as it stands now.
    pub(super) fn own_update(&self) -> Option<Update> {
        let record = self.table.get(&self.own)?;
        Some(Update::alive(&record.info, record.claim.incarnation))
    }

    /// Tells a member that this node has left.
    pub(super) fn send_left(&mut self, now: Timestamp, address: SocketAddr, receiver: &NodeId) {
        let Some(record) = self.table.get(&self.own) else { return };
        let left = Update::from_claim(&record.info, record.claim);
        let sequence = self.next_sequence();
        self.send(now, address, Some(receiver), sequence, Body::Notice, Some(left));
    }

    fn mark_left(&mut self, now: Timestamp) {
        let Some(mut record) = self.table.get(&self.own).cloned() else { return };
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

    /// The claim to tell a member that is not held to be alive.
    fn doubt_about(&self, receiver: &NodeId) -> Option<Update> {
        let record = self.table.get(receiver)?;
        let in_doubt = record.claim.state != MemberState::Alive;
        in_doubt.then(|| Update::from_claim(&record.info, record.claim))
    }

    fn wake(&mut self, clock: Timestamp) -> Timestamp {
        let due = self.next_due();
        let (now, stall) = self.clock.read(clock, due);
        self.counters.stall_credit_us += u64::try_from(stall.as_micros()).unwrap_or(u64::MAX);
        now
    }

    /// The next thing to do, in time awake.
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

/// A random part of a time, so that nodes that start together don't act together.
pub(super) fn random_part(random: &mut Pcg64Mcg, whole: Duration) -> Duration {
    whole.mul_f64(random.random_range(0.0..1.0))
}

fn count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

fn check_name(what: &'static str, name: &str) -> Result<(), StartError> {
    let fits = (1..=MAX_NAME_BYTES).contains(&name.len());
    if fits { Ok(()) } else { Err(StartError::Name { what, name: name.to_owned() }) }
}
