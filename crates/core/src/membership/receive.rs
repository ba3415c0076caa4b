//! What each kind of datagram leads to.
//!
//! Owns nothing; hands updates to `spread`, answers to `detect` and pages to `repair`.

use std::net::SocketAddr;

use super::event::Cause;
use super::machine::Membership;
use super::member::MemberState;
use super::message::{Body, ClaimedState, Message, Update};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Corrections sent in answer to one message; the rest follows when the doubts are heard again. Chosen, not
/// measured: it bounds what one datagram can make this node send.
const MAX_CORRECTIONS: usize = 8;

impl Membership {
    /// Takes in a decoded message.
    pub(super) fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) {
        if message.sender == self.own {
            return;
        }
        if self.leaving {
            return self.send_left(now, from, &message.sender);
        }
        self.hear_documents(&message);
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

    /// What to tell a sender that doubts a member which has refuted, this node itself included.
    ///
    /// Without it a node that hears of a suspicion after the refutation has been sent often enough would never
    /// hear of the refutation.
    fn correction_of(&self, update: &Update) -> Option<Update> {
        let known = self.table.get(&update.node)?;
        let is_doubt = matches!(update.state, ClaimedState::Suspect | ClaimedState::Failed);
        let is_refuted = known.claim.state == MemberState::Alive && known.claim > update.claim();
        (is_doubt && is_refuted).then(|| Update::from_claim(&known.info, known.claim))
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
            Body::Ping { target } if target == self.own => {
                self.send(now, from, Some(&sender), sequence, Body::Acknowledge, None);
                if self.table.get(&sender).is_none() {
                    self.inquire(now, from);
                }
            }
            // The address has passed from another node to this one.
            Body::Ping { .. } | Body::Notice => {}
            Body::Acknowledge => self.receive_acknowledge(now, &sender, sequence),
            Body::PingRequest { target, address } => {
                self.relay_probe(now, (sender, from, sequence), target, address.into());
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

    fn hear_documents(&mut self, message: &Message) {
        let table = &self.table;
        let is_live = |node: &_| table.get(node).is_some_and(|record| record.claim.state.is_live());
        if self.documents.hear(&message.sender, &message.documents, is_live) {
            self.documents_version += 1;
        }
    }
}
