//! Probe scheduling, and the state of pending and forwarded probes.
//!
//! The `detect` module acts on the results of the probes.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::message::Update;
use crate::identity::NodeId;
use crate::time::Timestamp;

use std::net::SocketAddr;

/// Maximum number of concurrent probes on behalf of other nodes. Further requests are dropped.
const MAX_FORWARDED_PROBES: usize = 64;

/// The current probe of this node.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) target: NodeId,
    pub(super) address: SocketAddr,
    pub(super) sequence: u32,
    /// When the direct probe is repeated.
    pub(super) retry_at: Timestamp,
    /// Whether indirect probes have been requested.
    pub(super) indirect_sent: bool,
    /// Whether the previous probe of the target was unanswered too.
    pub(super) is_second: bool,
    /// When the probe counts as unanswered.
    pub(super) ends_at: Timestamp,
}

/// A member to probe, and the reason.
#[derive(Clone, Debug)]
pub(super) struct ScheduledProbe {
    pub(super) node: NodeId,
    pub(super) reason: ProbeReason,
}

/// Why a member is probed.
#[derive(Clone, Debug)]
pub(super) enum ProbeReason {
    /// It is next in the current round.
    RoundRobin,
    /// It did not answer this node's previous probe.
    Unanswered,
    /// Another member claims that it failed. The probe includes the claim, so that it can be refuted.
    VerifyFailure(Update),
}

/// Schedules probes: each member once per round in random order, so that the time until a failed member is
/// probed is bounded (Das et al. 2002, section 4.3). Up to every second probe is taken from a priority queue.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeOrder {
    round: Vec<NodeId>,
    priority: VecDeque<ScheduledProbe>,
    last_was_priority: bool,
}

impl ProbeOrder {
    /// Returns the next probe. `candidates` returns the live members other than this node.
    pub(super) fn next(
        &mut self,
        random: &mut Pcg64Mcg,
        candidates: impl FnOnce() -> Vec<NodeId>,
    ) -> Option<ScheduledProbe> {
        if !self.last_was_priority
            && let Some(scheduled) = self.priority.pop_front()
        {
            self.last_was_priority = true;
            return Some(scheduled);
        }
        self.last_was_priority = false;
        if self.round.is_empty() {
            self.round = candidates();
            self.round.shuffle(random);
        }
        self.round.pop().map(|node| ScheduledProbe { node, reason: ProbeReason::RoundRobin })
    }

    /// Inserts a new member at a random position of the current round.
    pub(super) fn insert(&mut self, random: &mut Pcg64Mcg, node: NodeId) {
        let position = random.random_range(0..=self.round.len());
        self.round.insert(position, node);
    }

    /// Schedules a second probe of a member that did not answer.
    pub(super) fn probe_again(&mut self, node: &NodeId) {
        self.priority.push_front(ScheduledProbe { node: node.clone(), reason: ProbeReason::Unanswered });
    }

    /// Schedules a priority probe that asks a member to refute a claim about it.
    pub(super) fn verify_failure(&mut self, claim: Update) {
        if self.priority.iter().all(|scheduled| scheduled.node != claim.node) {
            self.priority.push_back(ScheduledProbe {
                node: claim.node.clone(),
                reason: ProbeReason::VerifyFailure(claim),
            });
        }
    }
}

/// A probe that this node performs on behalf of another node.
#[derive(Clone, Debug)]
pub(super) struct ForwardedProbe {
    pub(super) requester: NodeId,
    pub(super) requester_address: SocketAddr,
    pub(super) requester_sequence: u32,
    pub(super) target: NodeId,
    expires_at: Timestamp,
}

/// Probes on behalf of other nodes, by this node's sequence number.
#[derive(Clone, Debug, Default)]
pub(super) struct ForwardedProbes {
    forwarded_probes: BTreeMap<u32, ForwardedProbe>,
}

impl ForwardedProbes {
    /// Registers a probe on behalf of another node. Returns whether there was capacity.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        sequence: u32,
        requester: (NodeId, SocketAddr, u32),
        target: NodeId,
        expires_at: Timestamp,
    ) -> bool {
        self.forwarded_probes.retain(|_, forwarded| forwarded.expires_at > now);
        if self.forwarded_probes.len() >= MAX_FORWARDED_PROBES {
            return false;
        }
        let (requester, requester_address, requester_sequence) = requester;
        self.forwarded_probes.insert(
            sequence,
            ForwardedProbe { requester, requester_address, requester_sequence, target, expires_at },
        );
        true
    }

    /// Removes and returns the probe that `responder` answered.
    pub(super) fn take(&mut self, sequence: u32, responder: &NodeId) -> Option<ForwardedProbe> {
        self.forwarded_probes.get(&sequence).filter(|forwarded| forwarded.target == *responder)?;
        self.forwarded_probes.remove(&sequence)
    }
}
