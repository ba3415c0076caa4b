//! Failure detector: probes members and raises suspicions.
//!
//! A member is suspected after two consecutive unanswered probes, and declared failed if it does not refute
//! the suspicion within [`Config::suspicion_timeout`](super::Config::suspicion_timeout). Requiring a second
//! probe delays detection by about a second and avoids most false suspicions on lossy networks.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;

use super::event::Cause;
use super::machine::Membership;
use super::member::MemberState;
use super::message::{Body, ClaimedState};
use super::probe::{PendingProbe, ProbeReason, ScheduledProbe};
use crate::identity::NodeId;
use crate::time::Timestamp;

impl Membership {
    /// Retries or ends the current probe when its deadlines have passed, and starts the next one.
    pub(super) fn advance_probe(&mut self, now: Timestamp) {
        self.retry_probe(now);
        if self.pending.as_ref().is_some_and(|probe| probe.ends_at <= now) {
            self.end_unanswered_probe(now);
        }
        if self.pending.is_none() && self.next_probe_at <= now {
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: Timestamp) {
        self.next_probe_at = now + self.config.probe_interval;
        let Some((scheduled, address)) = self.next_scheduled_probe() else { return };
        let sequence = self.next_sequence();
        self.counters.probes += 1;
        self.pending = Some(PendingProbe {
            target: scheduled.node.clone(),
            address,
            sequence,
            retry_at: now + self.config.probe_timeout,
            indirect_sent: false,
            is_second: matches!(scheduled.reason, ProbeReason::Unanswered),
            ends_at: self.next_probe_at,
        });
        let claim = match scheduled.reason {
            ProbeReason::VerifyFailure(claim) => Some(claim),
            ProbeReason::RoundRobin | ProbeReason::Unanswered => None,
        };
        let body = Body::Ping { target: scheduled.node.clone() };
        self.send(now, address, Some(&scheduled.node), sequence, body, claim);
    }

    /// Returns the next scheduled probe whose target is still live, with the target's address.
    fn next_scheduled_probe(&mut self) -> Option<(ScheduledProbe, SocketAddr)> {
        let own_id = self.own_id.clone();
        for _ in 0..self.table.live_count() {
            let table = &self.table;
            let candidates = || {
                let peers = table.live().filter(|record| record.info.node != own_id);
                peers.map(|record| record.info.node.clone()).collect()
            };
            let scheduled = self.order.next(&mut self.random, candidates)?;
            let record = self.table.get(&scheduled.node).filter(|record| record.claim.state.is_live());
            if let Some(record) = record {
                return Some((scheduled, record.info.address));
            }
        }
        None
    }

    /// Repeats an overdue probe directly; the first time, requests indirect probes too.
    fn retry_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.pending.as_mut().filter(|probe| probe.retry_at <= now) else { return };
        let is_first_retry = !probe.indirect_sent;
        probe.indirect_sent = true;
        probe.retry_at = now + self.config.probe_timeout;
        let probe = probe.clone();
        let retry = Body::Ping { target: probe.target.clone() };
        self.send_without_updates(probe.address, &probe.target, probe.sequence, retry);
        if is_first_retry {
            self.send_indirect_probes(now, &probe);
        }
    }

    fn send_indirect_probes(&mut self, now: Timestamp, probe: &PendingProbe) {
        let helpers = self.random_peers(self.config.indirect_probes + 1);
        let helpers = helpers.into_iter().filter(|(node, _)| *node != probe.target);
        for (helper, address) in helpers.take(self.config.indirect_probes) {
            let body = Body::PingRequest { target: probe.target.clone(), address: probe.address.into() };
            self.send(now, address, Some(&helper), probe.sequence, body, None);
        }
    }

    /// Suspects the target if this was its second consecutive unanswered probe; otherwise schedules that second
    /// probe. A false suspicion and its refutation are both disseminated to all members.
    fn end_unanswered_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.pending.take() else { return };
        self.counters.probes_unanswered += 1;
        let state = self.table.get(&probe.target).map(|record| record.claim.state);
        if state == Some(MemberState::Alive) && probe.is_second {
            self.counters.suspicions_raised += 1;
            self.declare(now, &probe.target, ClaimedState::Suspect, Cause::ProbeUnanswered);
        }
        if state.is_some_and(MemberState::is_live) {
            self.order.probe_again(&probe.target);
        }
    }

    pub(super) fn receive_acknowledge(&mut self, now: Timestamp, sender: &NodeId, sequence: u32) {
        let answers_probe = |probe: &mut PendingProbe| probe.sequence == sequence && probe.target == *sender;
        if self.pending.take_if(answers_probe).is_some() {
            return;
        }
        if let Some(forwarded) = self.forwarded_probes.take(sequence, sender) {
            let body = Body::ForwardedAcknowledge;
            self.send(
                now,
                forwarded.requester_address,
                Some(&forwarded.requester),
                forwarded.requester_sequence,
                body,
                None,
            );
        }
    }

    pub(super) fn receive_forwarded(&mut self, sequence: u32) {
        // Only members asked to probe this target know the sequence number.
        self.pending.take_if(|probe| probe.sequence == sequence);
    }

    /// Probes a member on behalf of another node.
    pub(super) fn forward_probe(
        &mut self,
        now: Timestamp,
        requester: (NodeId, SocketAddr, u32),
        target: NodeId,
        address: SocketAddr,
    ) {
        let sequence = self.next_sequence();
        let expires_at = now + self.config.probe_interval * 2;
        if self.forwarded_probes.add(now, sequence, requester, target.clone(), expires_at) {
            let body = Body::Ping { target: target.clone() };
            self.send(now, address, Some(&target), sequence, body, None);
        }
    }

    /// Returns up to `count` random live members other than this node, with their addresses.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<(NodeId, SocketAddr)> {
        let own_id = &self.own_id;
        let peers = self.table.live().filter(|record| record.info.node != *own_id);
        let sample = peers.sample(&mut self.random, count);
        sample.into_iter().map(|record| (record.info.node.clone(), record.info.address)).collect()
    }
}
