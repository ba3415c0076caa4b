//! The steps of one request: claims its id, probes, connects, reads, and answers its caller.

use std::collections::BTreeSet;
use std::rc::Rc;

use lichenpulley_core::identity::{AttemptId, ReplicaId};
use lichenpulley_core::request::execution::{ClaimResult, Step};
use lichenpulley_core::request::outcome::{RefusalReason, RequestOutcome, refuse_at_once};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::Outbox;

use super::{CLAIM_TIMEOUT, CONNECT_TIMEOUT, GatewayProcess, RequestRun, Waiting};
use crate::simulations::requests::message::Message;
use crate::simulations::requests::submission::{CallerAnswer, SentWork};

/// Where a run stands after one step.
enum RunProgress {
    /// The next step follows at once.
    Continues,
    /// It waits for a message or a time.
    Waits,
    /// Its caller is answered.
    Over(Box<RequestOutcome>),
}

impl GatewayProcess {
    /// What a gateway without proofs does when a stream falls silent.
    pub(super) fn answer_not_run(&mut self, number: usize, now: Timestamp) {
        let Some(mut run) = self.runs.remove(&number) else { return };
        run.execution.abandon(now, &mut self.pool);
        self.cancellations.extend(run.execution.take_cancellations());
        let outcome = Rc::new(refuse_at_once(true, RefusalReason::EnginesRefused, None));
        self.answers.push(CallerAnswer { number, outcome, streamed: run.streamed });
    }

    /// Does the steps of a run until it has to wait.
    pub(super) fn drive(&mut self, number: usize, now: Timestamp, outbox: &mut Outbox<Message>) {
        let Some(mut run) = self.runs.remove(&number) else { return };
        loop {
            let step = run.execution.next(now, &mut self.pool, &mut self.random);
            self.send_cancellations(&mut run, outbox);
            run.execution.take_decisions();
            match self.take_step(&mut run, step, now, outbox) {
                RunProgress::Continues => {}
                RunProgress::Waits => break,
                RunProgress::Over(outcome) => {
                    let outcome = Rc::from(outcome);
                    self.answers.push(CallerAnswer { number, outcome, streamed: run.streamed });
                    return;
                }
            }
        }
        self.runs.insert(number, run);
    }

    fn send_cancellations(&mut self, run: &mut RequestRun, outbox: &mut Outbox<Message>) {
        self.cancellations.extend(run.execution.take_cancellations());
        for (replica, attempt) in self.cancellations.drain(..) {
            outbox.send(self.engines[&replica], Message::Cancel(attempt));
        }
    }

    fn take_step(
        &mut self,
        run: &mut RequestRun,
        step: Step,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
    ) -> RunProgress {
        match step {
            Step::Claim { attempt } if self.mechanisms.claims => self.claim(run, attempt, now, outbox),
            Step::Claim { .. } => {
                let is_new = self.sent_ids.insert(run.submission.request.clone());
                let verdict = if is_new { ClaimResult::Granted } else { ClaimResult::Held };
                run.execution.claimed(verdict, now);
                RunProgress::Continues
            }
            Step::Probe { replicas, until } => {
                replicas.into_iter().for_each(|replica| self.probe(replica, now, outbox));
                run.wait_for(Waiting::Time, until)
            }
            Step::Dispatch { replica, attempt, prior_tokens } => {
                self.connect(run, replica, attempt, prior_tokens, now, outbox)
            }
            Step::Resume { replica, attempt, from } => {
                outbox.send(self.engines[&replica], Message::Resume(attempt, from));
                RunProgress::Continues
            }
            Step::Receive { until } => run.wait_for(Waiting::Event, until),
            Step::Wait { until } => run.wait_for(Waiting::Time, until),
            Step::Finish(outcome) => RunProgress::Over(outcome),
        }
    }

    fn claim(
        &self,
        run: &mut RequestRun,
        attempt: AttemptId,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
    ) -> RunProgress {
        for replica in &self.claim_replicas {
            outbox.send(*replica, Message::Claim(run.submission.request.clone(), attempt.clone()));
        }
        let claiming = Waiting::Claiming { attempt, votes: BTreeSet::new(), granted: 0 };
        run.wait_for(claiming, now + CLAIM_TIMEOUT)
    }

    fn connect(
        &mut self,
        run: &mut RequestRun,
        replica: ReplicaId,
        attempt: AttemptId,
        prior_tokens: Vec<u32>,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
    ) -> RunProgress {
        self.sent.push(SentWork { replica: replica.clone(), at: now });
        outbox.send(self.engines[&replica], Message::Connect(attempt.clone()));
        run.wait_for(Waiting::Connecting { attempt, prior_tokens, replica }, now + CONNECT_TIMEOUT)
    }
}

impl RequestRun {
    fn wait_for(&mut self, waiting: Waiting, until: Timestamp) -> RunProgress {
        (self.waiting, self.wake_at) = (waiting, until);
        RunProgress::Waits
    }
}
