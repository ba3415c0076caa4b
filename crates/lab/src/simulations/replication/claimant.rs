//! A gateway that claims request ids, some of which others claim too.

use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, RequestId, ShardId};
use lichenpulley_core::replication::claim_tally::{ClaimTally, TallyResult};
use lichenpulley_core::replication::message::{
    ClaimRequest, Operation, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StoreRefusal,
};
use lichenpulley_core::replication::proposer::Transmit;
use lichenpulley_core::replication::reconfigurer::ReconfigurerChecks;
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::change::{Change, ChangeEnd};
use super::message::Message;
use super::store::EPOCH_UNIX_MS;
use super::{PLATFORM, RETRANSMIT_AFTER, transmit};

/// A claim without a verdict is given up after this time.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);
/// A new id is issued so often; all claimants issue the same ids at the same times.
const ISSUE_INTERVAL_MS: u64 = 200;
/// Claims are made on ids of the last so many issues.
const RECENT_ISSUES: u64 = 40;

/// A claim that came to an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRun {
    /// When it began.
    pub began: Timestamp,
    /// When it ended.
    pub ended: Timestamp,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether it was granted.
    pub granted: bool,
}

enum Activity {
    Waiting { until: Timestamp },
    Claiming(Claiming),
    Changing(Box<Change>, ClaimRequest, Timestamp),
}

struct Claiming {
    claim: ClaimRequest,
    tally: ClaimTally,
    began: Timestamp,
    deadline: Timestamp,
    next_send: Timestamp,
}

/// A claimant process.
pub(super) struct Claimant {
    name: String,
    checks: ReconfigurerChecks,
    random: Pcg64Mcg,
    set: ReplicaSet,
    activity: Activity,
    attempts: u64,
    pub(super) runs: Vec<ClaimRun>,
}

impl Claimant {
    pub(super) fn new(name: String, seed: u64, set: ReplicaSet, checks: ReconfigurerChecks) -> Self {
        Self {
            name,
            checks,
            random: Pcg64Mcg::seed_from_u64(seed),
            set,
            activity: Activity::Waiting { until: Timestamp::ORIGIN },
            attempts: 0,
            runs: Vec::new(),
        }
    }

    /// The claimant after a crash. What it was claiming is in doubt for ever.
    pub(super) fn restarted(&self) -> Self {
        let mut random = self.random.clone();
        let seed = random.random();
        let mut claimant = Self::new(self.name.clone(), seed, self.set.clone(), self.checks);
        claimant.attempts = self.attempts;
        claimant.runs.clone_from(&self.runs);
        claimant
    }

    fn advance(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        match &mut self.activity {
            Activity::Waiting { until } if now >= *until => self.begin(now, outbox),
            Activity::Waiting { .. } => {}
            Activity::Claiming(claiming) if now >= claiming.deadline => self.finish(now, false),
            Activity::Claiming(claiming) if now >= claiming.next_send => {
                claiming.next_send = now + RETRANSMIT_AFTER;
                self.send_to_all(outbox);
            }
            Activity::Claiming(_) => {}
            Activity::Changing(change, claim, began) => {
                let (claim, began) = (claim.clone(), *began);
                match change.advance(now, false, outbox) {
                    Some(ChangeEnd::InForce(set)) => {
                        self.set = set;
                        self.claim(now, claim, began);
                    }
                    Some(ChangeEnd::GivenUp) => self.claim(now, claim, began),
                    None => {}
                }
            }
        }
    }

    /// Claims an id of the recent past, under an attempt of its own.
    fn begin(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        outbox.send(PLATFORM, Message::Read(self.set.shard.clone()));
        self.attempts += 1;
        let issues = now.as_micros() / 1_000 / ISSUE_INTERVAL_MS;
        let issue = issues.saturating_sub(self.random.random_range(0..RECENT_ISSUES));
        let claim = ClaimRequest {
            request: RequestId::new(format!("request-{issue}")),
            issued_at_unix_ms: EPOCH_UNIX_MS + issue * ISSUE_INTERVAL_MS,
            attempt: AttemptId::new(format!("{}/{}", self.name, self.attempts)),
        };
        self.claim(now, claim, now);
    }

    fn claim(&mut self, now: Timestamp, claim: ClaimRequest, began: Timestamp) {
        let tally = ClaimTally::new(&self.set);
        let deadline = began + CLAIM_TIMEOUT;
        self.activity = Activity::Claiming(Claiming { claim, tally, began, deadline, next_send: now });
    }

    fn restart_votes(&mut self, now: Timestamp) {
        if let Activity::Claiming(claiming) = &self.activity {
            let (claim, began) = (claiming.claim.clone(), claiming.began);
            self.claim(now, claim, began);
        }
    }

    fn answer(&mut self, now: Timestamp, response: ReplicaResponse, outbox: &mut Outbox<Message>) {
        if let Activity::Changing(change, ..) = &mut self.activity {
            return change.step(response);
        }
        let Activity::Claiming(claiming) = &mut self.activity else { return };
        if response.generation != self.set.generation || response.shard != self.set.shard {
            return;
        }
        match response.outcome {
            ReplicaAnswer::Voted { request, attempt, vote }
                if request == claiming.claim.request && attempt == claiming.claim.attempt =>
            {
                claiming.tally.add(&response.store, &vote);
                match claiming.tally.result() {
                    TallyResult::Pending => {}
                    verdict => self.finish(now, verdict == TallyResult::Granted),
                }
            }
            ReplicaAnswer::Refused(StoreRefusal::SealedFor { next }) => self.replaced(now, next),
            ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current }) => self.replaced(now, current),
            ReplicaAnswer::Refused(StoreRefusal::NotInstalled) => {
                let majority_takes_part = claiming.tally.answered() >= self.set.majority();
                if self.set.generation == Generation::FIRST || majority_takes_part {
                    let operation = Operation::Begin(self.set.clone());
                    let shard = self.set.shard.clone();
                    let (generation, store) = (self.set.generation, response.store);
                    let request = ReplicaRequest { shard, generation, store: store.clone(), operation };
                    let sets = std::slice::from_ref(&self.set);
                    transmit(sets, Transmit { to: store, request }, outbox);
                }
            }
            _ => {}
        }
    }

    fn replaced(&mut self, now: Timestamp, next: ReplicaSet) {
        let Activity::Claiming(claiming) = &self.activity else { return };
        let (claim, began) = (claiming.claim.clone(), claiming.began);
        if next.generation > self.set.generation.next() {
            self.set = next;
            return self.claim(now, claim, began);
        }
        let transfer = format!("{}/{}/{}", self.name, self.attempts, now.as_micros());
        let change = Change::new(&self.set, &next, transfer, self.checks, now);
        self.activity = Activity::Changing(Box::new(change), claim, began);
    }

    fn send_to_all(&self, outbox: &mut Outbox<Message>) {
        let Activity::Claiming(claiming) = &self.activity else { return };
        for member in &self.set.members {
            let request = ReplicaRequest {
                shard: ShardId::clone(&self.set.shard),
                generation: self.set.generation,
                store: member.store.clone(),
                operation: Operation::Claim(claiming.claim.clone()),
            };
            transmit(std::slice::from_ref(&self.set), Transmit { to: member.store.clone(), request }, outbox);
        }
    }

    fn finish(&mut self, now: Timestamp, granted: bool) {
        if let Activity::Claiming(claiming) = &self.activity {
            let (request, attempt) = (claiming.claim.request.clone(), claiming.claim.attempt.clone());
            self.runs.push(ClaimRun { began: claiming.began, ended: now, request, attempt, granted });
        }
        let pause = self.random.random_range(Duration::from_millis(1)..Duration::from_millis(120));
        self.activity = Activity::Waiting { until: now + pause };
    }
}

impl Process for Claimant {
    type Message = Message;

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.advance(now, outbox);
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Response(response) => self.answer(now, response, outbox),
            Message::Document { document, .. }
                if document.current.shard == self.set.shard
                    && document.current.generation > self.set.generation =>
            {
                self.set = document.current;
                self.restart_votes(now);
            }
            _ => {}
        }
        self.advance(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        Some(match &self.activity {
            Activity::Waiting { until } => *until,
            Activity::Claiming(claiming) => claiming.next_send.min(claiming.deadline),
            Activity::Changing(change, ..) => change.next_wake(),
        })
    }
}
