//! Claims the request, selects a replica and dispatches an attempt.
//!
//! [`crate::routing::pool`] selects the replica. When the pool has none, this module decides whether the
//! request waits for a replica's confirmation or is given up.

use rand::Rng;

use super::{CONFIRMATION_TIMEOUT, Current, Execution, POOL_CONFIRMATION_POLL_INTERVAL, State, Step};
use crate::identity::{AttemptId, ReplicaId};
use crate::request::outcome::{GiveUpReason, RefusalReason};
use crate::routing::pool::{Pool, RouteQuery, RouteRefusal};
use crate::time::Timestamp;

impl Execution {
    pub(super) fn claim(&mut self) -> Step {
        self.state = State::Claiming;
        Step::Claim { attempt: AttemptId::new(format!("{}.claim", self.spec.execution)) }
    }

    pub(super) fn choose<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) -> Step {
        let query = RouteQuery {
            prefix_group: self.spec.prefix_group,
            priority: self.spec.priority,
            refused_by: &self.refused_by,
            failed_at: &self.failed_at,
            minimum_version: self.spec.minimum_version,
        };
        let refusal = match pool.reserve(&query, random, now) {
            Ok(choice) => {
                self.record("routed", "lowest_cost", |decision| {
                    decision
                        .with("replica", &choice.replica)
                        .with("cost", format_args!("{:.3}", choice.cost))
                        .with("prefix_cached", choice.prefix_cached)
                        .with("candidates", choice.candidates)
                });
                return self.dispatch(choice.replica, now);
            }
            Err(refusal) => refusal,
        };
        match refusal {
            RouteRefusal::Unconfirmed { probe } => self.await_confirmation(probe, now, pool),
            RouteRefusal::NoneEligible => self.no_replica(RefusalReason::NoEligibleReplica, now, pool),
            RouteRefusal::AllRefused => self.no_replica(RefusalReason::EnginesRefused, now, pool),
            RouteRefusal::AtLimit => self.no_replica(RefusalReason::ConcurrencyLimit, now, pool),
        }
    }

    pub(super) fn await_confirmation(
        &mut self,
        replicas: Vec<ReplicaId>,
        now: Timestamp,
        pool: &mut Pool,
    ) -> Step {
        let since = *self.choosing_since.get_or_insert(now);
        if now >= since + CONFIRMATION_TIMEOUT {
            return self.no_replica(RefusalReason::NoEligibleReplica, now, pool);
        }
        Step::Probe { replicas, until: self.cap_at_deadline(now + POOL_CONFIRMATION_POLL_INTERVAL) }
    }

    pub(super) fn no_replica(&mut self, reason: RefusalReason, now: Timestamp, pool: &mut Pool) -> Step {
        self.give_up(reason, GiveUpReason::NoEligibleReplica);
        self.finish(now, pool)
    }

    pub(super) fn dispatch(&mut self, replica: ReplicaId, now: Timestamp) -> Step {
        self.attempts += 1;
        self.choosing_since = None;
        self.gap_since = None;
        let attempt = AttemptId::new(format!("{}.{}", self.spec.execution, self.attempts));
        self.ledger.dispatch(attempt.clone());
        self.assembly.begin(attempt.clone());
        self.current = Some(Current {
            replica: replica.clone(),
            attempt: attempt.clone(),
            sent_at: now,
            dispatched_at: now,
            has_started: false,
            has_answered: false,
        });
        self.state = State::Requested;
        Step::Dispatch { replica, attempt, prior_tokens: self.assembly.tokens().to_vec() }
    }

    pub(super) fn resume(&mut self, now: Timestamp) -> Step {
        let Some(current) = &mut self.current else {
            self.state = State::Choosing(now);
            return Step::Wait { until: now };
        };
        current.sent_at = now;
        current.has_answered = false;
        self.state = State::Requested;
        let from = self.assembly.next_token();
        Step::Resume { replica: current.replica.clone(), attempt: current.attempt.clone(), from }
    }
}
