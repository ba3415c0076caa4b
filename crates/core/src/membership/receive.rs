//! Dispatch of received messages: updates to `spread`, probe answers to `detect`, and member lists and table
//! comparisons to `repair`.

use std::net::SocketAddr;

use super::event::Cause;
use super::machine::Membership;
use super::member::MemberState;
use super::message::{Body, ClaimedState, Message, Update};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Maximum number of corrections sent in response to one message. Bounds amplification; omitted corrections are
/// sent when the outdated claims are received again.
const MAX_CORRECTIONS: usize = 8;

impl Membership {
    /// Processes a decoded message.
    pub(super) fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) {
        if message.sender == self.own_id {
            return;
        }
        if self.leaving {
            return self.send_left(now, from, &message.sender);
        }
        self.receive_announcements(&message);
        let mut corrections = Vec::new();
        for update in &message.updates {
            let cause = if update.node == message.sender { Cause::SelfReported } else { Cause::Gossip };
            self.apply(now, update, cause);
            corrections.extend(self.correction_of(update));
        }
        if !corrections.is_empty() {
            self.send_corrections(now, from, &message.sender, corrections);
        }
        self.receive_body(now, from, message);
    }

    /// Returns the newer alive claim if the update repeats a suspicion or failure that the member, possibly this
    /// node, has already refuted.
    ///
    /// A node that receives a suspicion after the refutation has reached its retransmission limit would otherwise
    /// never receive the refutation.
    fn correction_of(&self, update: &Update) -> Option<Update> {
        let known = self.table.get(&update.node)?;
        let is_adverse = matches!(update.state, ClaimedState::Suspect | ClaimedState::Failed);
        let is_refuted = known.claim.state == MemberState::Alive && known.claim > update.claim();
        (is_adverse && is_refuted).then(|| Update::from_claim(&known.info, known.claim))
    }

    fn send_corrections(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        receiver: &NodeId,
        corrections: Vec<Update>,
    ) {
        let sequence = self.next_sequence();
        let corrections = corrections.into_iter().take(MAX_CORRECTIONS);
        self.send(now, to, Some(receiver), sequence, Body::Notice, corrections);
    }

    fn receive_body(&mut self, now: Timestamp, from: SocketAddr, message: Message) {
        let Message { sender, sequence, body, .. } = message;
        match body {
            Body::Ping { target } if target == self.own_id => {
                self.send(now, from, Some(&sender), sequence, Body::Acknowledge, None);
                if self.table.get(&sender).is_none() {
                    self.sync_with_unknown_sender(now, from);
                }
            }
            // The ping is for a node that previously used this address.
            Body::Ping { .. } | Body::Notice => {}
            Body::Acknowledge => self.receive_acknowledge(now, &sender, sequence),
            Body::PingRequest { target, address } => {
                self.forward_probe(now, (sender, from, sequence), target, address.into());
            }
            Body::ForwardedAcknowledge => self.receive_forwarded(sequence),
            Body::ListRequest { after } => self.send_page(now, from, &sender, sequence, after.as_ref()),
            Body::ListPage { entries, next } => self.receive_page(now, from, sequence, &entries, next),
            Body::Digest { buckets } => self.receive_digest(now, from, &sender, &buckets),
            Body::Buckets { indexes, entries, exchange } => {
                self.receive_buckets(now, from, &sender, &indexes, &entries, exchange);
            }
        }
    }

    fn receive_announcements(&mut self, message: &Message) {
        let table = &self.table;
        let is_live = |node: &_| table.get(node).is_some_and(|record| record.claim.state.is_live());
        if self.documents.record_announcements(&message.sender, &message.documents, is_live) {
            self.documents_version += 1;
        }
    }
}
