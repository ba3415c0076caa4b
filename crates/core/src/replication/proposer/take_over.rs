//! Taking a shard over: from promises of a majority through reading what earlier owners may have got decided to
//! having it accepted again. Until then nothing is appended.
//!
//! A higher epoch that is met while promises are collected is outbid a few times, since it may be an old one; met later it
//! ends the proposer.

use super::{EndReason, Phase, Proposer, ProposerEvent};
use crate::identity::Epoch;
use crate::replication::log::assemble;
use crate::replication::member_progress::MemberProgress;
use crate::replication::quorum::majority;
use crate::replication::recovery::Recovery;
use crate::replication::replica_set::StoreId;
use crate::replication::window::Window;

impl Proposer {
    pub(super) fn after_promise(&mut self, store: &StoreId) {
        match &mut self.phase {
            Phase::Preparing { .. } => self.begin_reading(),
            Phase::Reading(recovery) => {
                if let Some(promise) = self.members.get(store).and_then(MemberProgress::promise) {
                    recovery.add_reader(store, promise);
                }
            }
            _ => {}
        }
    }

    fn begin_reading(&mut self) {
        let promises = self.members.iter();
        let promises =
            promises.filter_map(|(store, member)| Some((store.clone(), member.promise()?.clone())));
        let promises: Vec<_> = promises.collect();
        if promises.len() < majority(self.members.len()) {
            return;
        }
        let recovery = Recovery::new(&promises, self.checks.recover, self.known.through);
        self.phase = Phase::Reading(recovery);
        self.finish_reading();
    }

    pub(super) fn finish_reading(&mut self) {
        let Phase::Reading(recovery) = &mut self.phase else { return };
        if !recovery.is_complete(majority(self.members.len())) {
            return;
        }
        let source = recovery.source().clone();
        let Some(log) = recovery.take_log() else {
            return self.end(EndReason::Damaged { store: source });
        };
        self.decided_through = log.decided_through;
        self.truncation.before = log.first;
        self.window = Window::starting_after(log.decided_through);
        for payload in &log.undecided {
            self.window.push(payload.clone());
        }
        for member in self.members.values_mut() {
            member.start_from(log.decided_through);
        }
        let payloads = log.decided.into_iter().chain(log.undecided);
        let recovered = assemble(payloads, self.known, self.checks.skip_superseded);
        self.phase = Phase::Confirming { through: self.window.last(), recovered };
        self.finish_confirming();
    }

    pub(super) fn finish_confirming(&mut self) {
        let Phase::Confirming { through, recovered } = &mut self.phase else { return };
        if self.decided_through < *through {
            return;
        }
        let recovered = std::mem::take(recovered);
        self.phase = Phase::Leading;
        self.events.push_back(ProposerEvent::Recovered(recovered));
    }

    /// Without a majority that takes part in a later set nobody can be promised anything. Members whose disks were lost
    /// don't answer to their names: where one still takes no part after a pause, the change may wait for it.
    pub(super) fn check_installed(&mut self) {
        if self.may_begin() {
            return;
        }
        let missing = self.members.values().filter(|member| member.must_begin()).count();
        let waited = self.members.values().any(MemberProgress::was_asked_to_join_again);
        if waited || missing > self.members.len() - majority(self.members.len()) {
            self.end(EndReason::NotInstalled);
        }
    }

    /// Another proposer is ahead: outbid it while preparing, since its epoch may be an old one; stop afterwards.
    pub(super) fn outbid(&mut self, highest: Epoch) {
        match &mut self.phase {
            Phase::Preparing { raises } if *raises < self.config.maximum_epoch_raises => {
                *raises += 1;
                self.ballot.epoch = highest.next();
                for member in self.members.values_mut() {
                    member.forget_answers();
                }
            }
            Phase::Ended => {}
            _ => self.end(EndReason::Superseded { highest }),
        }
    }
}
