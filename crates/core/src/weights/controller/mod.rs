//! Owner of a pool's weights: orders replicas in waves until all have the published version.
//!
//! The driver passes in [`Event`]s and the current time, and performs the returned [`Action`]s. State that a
//! later owner needs is in the log. `wave` orders loads, `replicas` orders roles and polls reports, and
//! `records` appends to the log.

mod event;
mod records;
mod replicas;
mod wave;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::decision::{Component, Decision};
use crate::identity::{PoolName, ReplicaId, WeightVersion};
use crate::time::Timestamp;

pub use event::{Action, Event, OrderCommand};

use super::WaveConfig;
use super::ledger::{WeightsLedger, WeightsRecord, WeightsRecordError};
use super::replica::{OrderResult, ReplicaState, WeightReport};

/// Progress of the weight rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// The version that all replicas have to load.
    pub target: Option<WeightVersion>,
    /// Number of replicas in the pool.
    pub replicas: usize,
    /// Number of replicas that may be loading.
    pub loading: usize,
    /// Number of replicas that have reported the target version.
    pub confirmed: usize,
}

/// The owner of a pool's weights.
///
/// Invariant: a replica's entry in the ledger's `ordered` set is committed before an order to load is sent to
/// it. Every later owner therefore knows all replicas that may be fetching and keeps their number within the
/// limit.
pub struct WeightsController {
    pool: PoolName,
    config: WaveConfig,
    ledger: WeightsLedger,
    replicas: BTreeMap<ReplicaId, ReplicaState>,
    proposed: Vec<WeightsRecord>,
    /// Actions that depend on the proposed records.
    pending_actions: Vec<Action>,
    /// Actions that depend on the records being appended.
    appending_actions: Option<Vec<Action>>,
    records_since_snapshot: u64,
    next_barrier: Timestamp,
    actions: VecDeque<Action>,
}

impl WeightsController {
    /// Recovers the owner from the log. An empty log yields a pool without a published version.
    ///
    /// # Errors
    /// Fails when an entry can't be decoded.
    pub fn recover(
        pool: PoolName,
        snapshot: Option<&[u8]>,
        records: &[Vec<u8>],
        config: WaveConfig,
        now: Timestamp,
    ) -> Result<Self, WeightsRecordError> {
        let mut ledger = match snapshot {
            Some(bytes) => WeightsLedger::from_snapshot(bytes)?,
            None => WeightsLedger::default(),
        };
        for bytes in records {
            ledger.apply(&WeightsRecord::decode(bytes)?);
        }
        let known = ledger.ordered.iter().chain(&ledger.confirmed).cloned();
        let replicas = known.map(|replica| (replica, ReplicaState::recovered(now))).collect();
        Ok(Self {
            pool,
            config,
            ledger,
            replicas,
            proposed: Vec::new(),
            pending_actions: Vec::new(),
            appending_actions: None,
            records_since_snapshot: records.len() as u64,
            next_barrier: now + config.barrier_interval,
            actions: VecDeque::new(),
        })
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Publish { ticket, weight_version } => self.publish(ticket, weight_version),
            Event::ChangeRole { ticket, replica, draining } => self.change_role(ticket, replica, draining),
            Event::Replicas(replicas) => self.set_replicas(replicas),
            Event::Reported { replica, report } => self.handle_report(&replica, report, now),
            Event::OrderEnded { replica, result } => self.handle_order_end(&replica, result, now),
            Event::Appended => self.actions.extend(self.appending_actions.take().unwrap_or_default()),
            Event::WakeUp => {}
        }
        self.advance(now);
    }

    /// Returns the next action for the driver.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns when to pass in [`Event::WakeUp`] at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let polls = self.replicas.iter().filter_map(|(replica, state)| self.next_poll(replica, state));
        let barrier = self.appending_actions.is_none().then_some(self.next_barrier);
        polls.chain(barrier).min()
    }

    /// Returns the progress of the weight rollout.
    pub fn progress(&self) -> WaveProgress {
        let confirmed = self.replicas.keys().filter(|replica| self.ledger.confirmed.contains(*replica));
        WaveProgress {
            target: self.ledger.target,
            replicas: self.replicas.len(),
            loading: self.ledger.ordered.len(),
            confirmed: confirmed.count(),
        }
    }

    fn advance(&mut self, now: Timestamp) {
        self.expire_orders(now);
        self.order_roles();
        self.repeat_orders(now);
        self.order_next_wave(now);
        self.poll_due_replicas(now);
        if self.next_barrier <= now && self.proposed.is_empty() {
            self.propose(WeightsRecord::Barrier);
        }
        self.append_proposed(now);
    }

    fn publish(&mut self, ticket: u64, weight_version: WeightVersion) {
        if self.ledger.target.is_none_or(|target| target < weight_version) {
            self.propose(WeightsRecord::Published(weight_version));
            // Replicas that are loading the previous version are ordered to load this one instead.
            for replica in &self.ledger.ordered {
                if let Some(state) = self.replicas.get_mut(replica) {
                    state.last_order_at = None;
                }
            }
            let decision = Decision::new(Component::Weights, "published", "by_trainer", &self.pool)
                .with("weight_version", weight_version);
            self.actions.push_back(Action::Decide(decision));
        }
        self.pending_actions.push(Action::Answer { ticket, target: self.ledger.target });
        self.release_if_committed();
    }

    fn change_role(&mut self, ticket: u64, replica: ReplicaId, draining: bool) {
        if self.ledger.draining.contains(&replica) != draining {
            self.propose(WeightsRecord::RoleChanged { replica: replica.clone(), draining });
        }
        if let Some(state) = self.replicas.get_mut(&replica) {
            state.role_ordered = false;
        }
        self.pending_actions.push(Action::Answer { ticket, target: self.ledger.target });
        self.release_if_committed();
    }

    /// Sets the replicas of the pool, and clears those that left so that their loads no longer count.
    fn set_replicas(&mut self, replicas: Vec<ReplicaId>) {
        let present: BTreeSet<ReplicaId> = replicas.into_iter().collect();
        let is_absent = |replica: &&ReplicaId| !present.contains(*replica);
        let cleared: Vec<ReplicaId> =
            self.ledger.ordered.iter().chain(&self.ledger.confirmed).filter(is_absent).cloned().collect();
        if !cleared.is_empty() {
            self.propose(WeightsRecord::Cleared(cleared));
        }
        self.replicas.retain(|replica, _| present.contains(replica));
        for replica in present {
            self.replicas.entry(replica).or_default();
        }
    }

    fn handle_report(&mut self, replica: &ReplicaId, report: WeightReport, now: Timestamp) {
        let Some(state) = self.replicas.get_mut(replica) else { return };
        state.polled_at = Some(now);
        state.report = Some(report);
        state.role_ordered &= report.draining == self.ledger.draining.contains(replica);
        if self.ledger.target.is_none() {
            return;
        }
        let has_target = report.weight_version == self.ledger.target;
        let is_confirmed = self.ledger.confirmed.contains(replica);
        if has_target && !is_confirmed {
            self.propose(WeightsRecord::Confirmed(vec![replica.clone()]));
            self.decide("confirmed", "reported_version", replica);
        }
        if !has_target && is_confirmed {
            self.propose(WeightsRecord::Cleared(vec![replica.clone()]));
            self.decide("reordered", "lost_version", replica);
        }
    }

    fn handle_order_end(&mut self, replica: &ReplicaId, result: OrderResult, now: Timestamp) {
        match result {
            OrderResult::Accepted(report) => self.handle_report(replica, report, now),
            OrderResult::Refused { highest_epoch } => {
                self.actions.push_back(Action::Superseded(highest_epoch));
            }
            OrderResult::NoAnswer => {
                if let Some(state) = self.replicas.get_mut(replica) {
                    state.role_ordered = false;
                }
            }
        }
    }

    fn decide(&mut self, action: &str, reason: &str, replica: &ReplicaId) {
        let mut decision =
            Decision::new(Component::Weights, action, reason, replica).with("pool", &self.pool);
        if let Some(target) = self.ledger.target {
            decision = decision.with("weight_version", target);
        }
        self.actions.push_back(Action::Decide(decision));
    }
}
