//! How an owner changes the log's set of stores, and follows changes that others made.

use lichenpulley_core::replication::placement::best_addition;
use lichenpulley_core::replication::proposer::{EndReason, Proposer};
use lichenpulley_core::replication::reconfigurer::ChangeOwner;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::Outbox;

use super::{Activity, Owner, STEP_TIMEOUT};
use crate::simulations::replication::change::{Change, ChangeEnd};
use crate::simulations::replication::message::Message;

impl Owner {
    pub(super) fn advance_change(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        let Activity::Changing { change, leading } = &mut self.activity else { return };
        match change.advance(now, false, outbox) {
            Some(ChangeEnd::InForce(set)) => {
                let leading = leading.take().filter(|(_, next)| next == &set);
                self.set = set;
                match leading {
                    Some((proposer, _)) => self.continue_in_set(now, proposer),
                    None => self.wait(now),
                }
            }
            Some(ChangeEnd::GivenUp) => self.wait(now),
            None => {}
        }
    }

    /// An owner that brought the next set into force goes on in it.
    fn continue_in_set(&mut self, now: Timestamp, mut proposer: Box<Proposer>) {
        let Ok(through) = proposer.continue_in(self.set.clone()) else { return self.wait(now) };
        self.confirming = Some(through);
        self.activity = Activity::Proposing { proposer, deadline: now + STEP_TIMEOUT };
    }

    /// Chooses the set that is to follow, where a member's disk is gone.
    pub(super) fn choose_set(&mut self) -> Option<ReplicaSet> {
        let is_here = |member: &&SetMember| self.stores.iter().any(|store| store.store == member.store);
        let lost = self.set.members.iter().find(|member| !is_here(member))?;
        let mut staying = self.set.members.clone();
        staying.retain(|member| member.store != lost.store);
        let joining = best_addition(&self.shard, &staying, &self.stores)?;
        self.set.with_replaced(&lost.store, joining)
    }

    /// Begins to bring the chosen set into force, once the log says so.
    pub(super) fn change_set(&mut self, now: Timestamp, next: ReplicaSet) {
        let activity = std::mem::replace(&mut self.activity, Activity::Waiting { until: now });
        let Activity::Proposing { proposer, .. } = activity else { return };
        let transfer = format!("{}/{}/{}", self.name, self.incarnations, now.as_micros());
        let change = Change::new(&self.set, &next, transfer, self.checks.reconfigurer, now);
        let ballot = proposer.ballot().clone();
        let owner = ChangeOwner { ballot, decided_through: proposer.decided_through() };
        let change = Box::new(change.with_owner(owner));
        self.activity = Activity::Changing { change, leading: Some((proposer, next)) };
    }

    pub(super) fn ended(&mut self, now: Timestamp, reason: EndReason) {
        let transfer = format!("{}/{}", self.name, self.incarnations);
        if reason == EndReason::NotInstalled {
            let change = Box::new(Change::catch_up(&self.set, transfer, now));
            self.activity = Activity::Changing { change, leading: None };
            return;
        }
        let EndReason::Replaced { next } = reason else { return self.wait(now) };
        if next.generation > self.set.generation.next() {
            self.set = next;
            return self.wait(now);
        }
        let change = Change::new(&self.set, &next, transfer, self.checks.reconfigurer, now);
        self.activity = Activity::Changing { change: Box::new(change), leading: None };
    }
}
