//! Taking a shard over: collecting promises from a majority, reading entries that earlier owners may have got
//! decided, and having them accepted again. Nothing is appended before that.
//!
//! A higher epoch met while collecting promises is exceeded a limited number of times, since its proposer may
//! be gone. A higher epoch met later ends the proposer.

use super::{EndReason, Phase, Proposer, ProposerEvent};
use crate::identity::Epoch;
use crate::replication::log::assemble;
use crate::replication::member_progress::MemberProgress;
use crate::replication::quorum::majority;
use crate::replication::recovery::Recovery;
use crate::replication::replica_set::StoreId;
use crate::replication::window::SendWindow;

impl Proposer {
    pub(super) fn handle_promise(&mut self, store: &StoreId) {
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
        self.window = SendWindow::starting_after(log.decided_through);
        for payload in &log.undecided {
            self.window.push(payload.clone());
        }
        for member in self.members.values_mut() {
            member.set_accepted_through(log.decided_through);
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

    /// Ends the proposer if too few members of a later generation are installed to promise a ballot. A member
    /// that is still not installed after a pause also ends it: members that lost their disks never respond
    /// under their ids, so the reconfiguration may depend on this one.
    pub(super) fn check_installed(&mut self) {
        if self.may_begin() {
            return;
        }
        let missing = self.members.values().filter(|member| member.must_begin()).count();
        let waited = self.members.values().any(MemberProgress::is_still_not_installed);
        if waited || missing > self.members.len() - majority(self.members.len()) {
            self.end(EndReason::NotInstalled);
        }
    }

    /// Handles a higher promised epoch: raises the epoch above it while preparing, up to the configured
    /// number of times, and otherwise ends the proposer.
    pub(super) fn handle_higher_epoch(&mut self, highest: Epoch) {
        match &mut self.phase {
            Phase::Preparing { epoch_raises } if *epoch_raises < self.config.maximum_epoch_raises => {
                *epoch_raises += 1;
                self.ballot.epoch = highest.next();
                for member in self.members.values_mut() {
                    member.reset_promise();
                }
            }
            Phase::Ended => {}
            _ => self.end(EndReason::Superseded { highest }),
        }
    }
}
