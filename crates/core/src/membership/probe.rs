//! Whom to probe next, and the probe that waits for its answer.
//!
//! Owns the order of a round and probes made for others; `detect` decides by what comes of them.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::message::Update;
use crate::identity::NodeId;
use crate::time::Timestamp;

use std::net::SocketAddr;

/// Probes that this node makes for others at a time; more are refused by silence. Chosen, not measured: it
/// bounds memory; too few refuse indirect probes while many members are in doubt.
const MAX_RELAYS: usize = 64;

/// The probe of this period.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) target: NodeId,
    pub(super) address: SocketAddr,
    pub(super) sequence: u32,
    /// When the target is asked again.
    pub(super) retry_at: Timestamp,
    /// Whether other members have been asked.
    pub(super) asked_others: bool,
    /// Whether the probe before this one was not answered either.
    pub(super) is_second: bool,
    /// When the target is suspected.
    pub(super) ends_at: Timestamp,
}

/// A member to be probed.
#[derive(Clone, Debug)]
pub(super) struct Turn {
    pub(super) node: NodeId,
    pub(super) reason: TurnReason,
}

/// Why it is its turn.
#[derive(Clone, Debug)]
pub(super) enum TurnReason {
    /// The round has come to it.
    Round,
    /// It did not answer a probe of this node.
    Unanswered,
    /// Others claim it has failed; the claim is sent to it, for it to refute.
    Claimed(Update),
}

/// The order of probes: each member once in a round, in a random order, so that the time until a failed one is
/// probed is bounded (Das et al. 2002, section 4.3). Every second probe may go to a member in doubt instead.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeOrder {
    round: Vec<NodeId>,
    in_doubt: VecDeque<Turn>,
    last_was_in_doubt: bool,
}

impl ProbeOrder {
    /// The next member to probe; `candidates` are the live ones without this node.
    pub(super) fn next(
        &mut self,
        random: &mut Pcg64Mcg,
        candidates: impl FnOnce() -> Vec<NodeId>,
    ) -> Option<Turn> {
        if !self.last_was_in_doubt
            && let Some(turn) = self.in_doubt.pop_front()
        {
            self.last_was_in_doubt = true;
            return Some(turn);
        }
        self.last_was_in_doubt = false;
        if self.round.is_empty() {
            self.round = candidates();
            self.round.shuffle(random);
        }
        self.round.pop().map(|node| Turn { node, reason: TurnReason::Round })
    }

    /// Puts a new member at a random place of this round.
    pub(super) fn insert(&mut self, random: &mut Pcg64Mcg, node: NodeId) {
        let place = random.random_range(0..=self.round.len());
        self.round.insert(place, node);
    }

    /// Probes a member again that did not answer.
    pub(super) fn probe_again(&mut self, node: &NodeId) {
        self.in_doubt.push_front(Turn { node: node.clone(), reason: TurnReason::Unanswered });
    }

    /// Probes a member before its turn, with a claim for it to refute.
    pub(super) fn probe_claimed(&mut self, claim: Update) {
        if self.in_doubt.iter().all(|turn| turn.node != claim.node) {
            self.in_doubt.push_back(Turn { node: claim.node.clone(), reason: TurnReason::Claimed(claim) });
        }
    }
}

/// A probe that this node makes for another.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) asker: NodeId,
    pub(super) asker_address: SocketAddr,
    pub(super) asker_sequence: u32,
    pub(super) target: NodeId,
    expires_at: Timestamp,
}

/// Probes that this node makes for others, by its own sequence number.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays {
    relays: BTreeMap<u32, Relay>,
}

impl Relays {
    /// Remembers a probe for another node. Returns whether there was room.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        sequence: u32,
        asker: (NodeId, SocketAddr, u32),
        target: NodeId,
        expires_at: Timestamp,
    ) -> bool {
        self.relays.retain(|_, relay| relay.expires_at > now);
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        let (asker, asker_address, asker_sequence) = asker;
        self.relays.insert(sequence, Relay { asker, asker_address, asker_sequence, target, expires_at });
        true
    }

    /// The asker of the probe that `responder` has answered.
    pub(super) fn take(&mut self, sequence: u32, responder: &NodeId) -> Option<Relay> {
        self.relays.get(&sequence).filter(|relay| relay.target == *responder)?;
        self.relays.remove(&sequence)
    }
}
