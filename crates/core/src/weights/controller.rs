//! The owner of a pool's weights: orders replicas in waves until all have the published version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::decision::{Component, Decision};
use crate::identity::{Epoch, PoolName, ReplicaId, WeightVersion};
use crate::time::Timestamp;

use super::WaveConfig;
use super::ledger::{WeightsLedger, WeightsRecord, WeightsRecordError};
use super::replica::{OrderResult, ReplicaState, WeightReport};

/// The log is compacted after this many records.
const RECORDS_BETWEEN_SNAPSHOTS: u64 = 1_000;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer publishes a version; the answer names the ticket.
    Publish {
        /// Chosen by the driver.
        ticket: u64,
        /// The version.
        weight_version: WeightVersion,
    },
    /// An operator changes a replica's role; the answer names the ticket.
    ChangeRole {
        /// Chosen by the driver.
        ticket: u64,
        /// The replica.
        replica: ReplicaId,
        /// Whether it is to drain.
        draining: bool,
    },
    /// The replicas of the pool, as the machine list gives them now.
    Replicas(Vec<ReplicaId>),
    /// A replica answered an [`Action::Ask`], or was heard of otherwise.
    Reported {
        /// The replica.
        replica: ReplicaId,
        /// What it said.
        report: WeightReport,
    },
    /// An order ended.
    OrderEnded {
        /// The replica.
        replica: ReplicaId,
        /// How.
        result: OrderResult,
    },
    /// The records of the last [`Action::Append`] are kept by a majority.
    Appended,
    /// The time of [`WeightsController::next_wakeup`] has come.
    WakeUp,
}

/// What a replica is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderCommand {
    /// Load a version.
    LoadWeights(WeightVersion),
    /// Drain, or take work again.
    ChangeRole {
        /// Whether to drain.
        draining: bool,
    },
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append these records to the log and report [`Event::Appended`]. Only one append is outstanding.
    Append(Vec<WeightsRecord>),
    /// Replace all records appended so far by this snapshot.
    Compact(Vec<u8>),
    /// Send an order under this owner's epoch and report [`Event::OrderEnded`].
    Order {
        /// The replica.
        replica: ReplicaId,
        /// The order.
        command: OrderCommand,
    },
    /// Ask a replica for its report.
    Ask(ReplicaId),
    /// Answer a ticket: what it asked for is kept by a majority.
    Answer {
        /// The ticket.
        ticket: u64,
        /// The version that all replicas are to have.
        target: Option<WeightVersion>,
    },
    /// A replica has seen a higher epoch: stop acting for the shard.
    Superseded(Epoch),
    /// Record a decision.
    Decide(Decision),
}

/// How far the wave has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// The version that all replicas are to have.
    pub target: Option<WeightVersion>,
    /// Replicas of the pool.
    pub replicas: usize,
    /// Replicas that may be loading.
    pub loading: usize,
    /// Replicas that have reported the version.
    pub confirmed: usize,
}

/// The owner of a pool's weights.
///
/// Invariant: a replica is in the ledger's `ordered` set, kept by a majority, before an order to load is sent to
/// it. So the replicas that may be fetching are known to every later owner, and their number stays at the limit.
pub struct WeightsController {
    pool: PoolName,
    config: WaveConfig,
    ledger: WeightsLedger,
    replicas: BTreeMap<ReplicaId, ReplicaState>,
    proposed: Vec<WeightsRecord>,
    /// Actions that rest on the proposed records.
    held: Vec<Action>,
    /// Actions that rest on the records being appended.
    appending: Option<Vec<Action>>,
    records_since_snapshot: u64,
    next_barrier: Timestamp,
    actions: VecDeque<Action>,
}

impl WeightsController {
    /// The owner that goes on from what the log holds; an empty log gives a pool without a published version.
    ///
    /// # Errors
    /// When an entry can't be read.
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
        let replicas = known.map(|replica| (replica, ReplicaState::taken_over(now))).collect();
        Ok(Self {
            pool,
            config,
            ledger,
            replicas,
            proposed: Vec::new(),
            held: Vec::new(),
            appending: None,
            records_since_snapshot: records.len() as u64,
            next_barrier: now + config.barrier_interval,
            actions: VecDeque::new(),
        })
    }

    /// Takes an event in.
    pub fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Publish { ticket, weight_version } => self.publish(ticket, weight_version),
            Event::ChangeRole { ticket, replica, draining } => self.change_role(ticket, replica, draining),
            Event::Replicas(replicas) => self.set_replicas(replicas),
            Event::Reported { replica, report } => self.handle_report(&replica, report, now),
            Event::OrderEnded { replica, result } => self.handle_order_end(&replica, result, now),
            Event::Appended => self.actions.extend(self.appending.take().unwrap_or_default()),
            Event::WakeUp => {}
        }
        self.advance(now);
    }

    /// The next thing to do.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When to hand in [`Event::WakeUp`] at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let asks = self.replicas.iter().filter_map(|(replica, state)| self.next_ask(replica, state));
        let barrier = self.appending.is_none().then_some(self.next_barrier);
        asks.chain(barrier).min()
    }

    /// How far the wave has come.
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
        self.ask_due(now);
        if self.next_barrier <= now && self.proposed.is_empty() {
            self.propose(WeightsRecord::Barrier);
        }
        self.append_proposed(now);
    }

    fn publish(&mut self, ticket: u64, weight_version: WeightVersion) {
        if self.ledger.target.is_none_or(|target| target < weight_version) {
            self.propose(WeightsRecord::Published(weight_version));
            // Those that were loading the version before are to load this one instead, in the same place.
            for replica in &self.ledger.ordered {
                if let Some(state) = self.replicas.get_mut(replica) {
                    state.last_order_at = None;
                }
            }
            let decision = Decision::new(Component::Weights, "published", "by_trainer", &self.pool)
                .with("weight_version", weight_version);
            self.actions.push_back(Action::Decide(decision));
        }
        self.held.push(Action::Answer { ticket, target: self.ledger.target });
        self.release_when_settled();
    }

    fn change_role(&mut self, ticket: u64, replica: ReplicaId, draining: bool) {
        if self.ledger.draining.contains(&replica) != draining {
            self.propose(WeightsRecord::RoleChanged { replica: replica.clone(), draining });
        }
        if let Some(state) = self.replicas.get_mut(&replica) {
            state.role_ordered = false;
        }
        self.held.push(Action::Answer { ticket, target: self.ledger.target });
        self.release_when_settled();
    }

    /// Answers at once where nothing has to be kept first.
    fn release_when_settled(&mut self) {
        if self.proposed.is_empty() && self.appending.is_none() {
            self.actions.extend(self.held.drain(..));
        }
    }

    /// A replica that left the list is forgotten once it is gone, so that its fetch no longer counts.
    fn set_replicas(&mut self, replicas: Vec<ReplicaId>) {
        let present: BTreeSet<ReplicaId> = replicas.into_iter().collect();
        let gone = |replica: &&ReplicaId| !present.contains(*replica);
        let forgotten: Vec<ReplicaId> =
            self.ledger.ordered.iter().chain(&self.ledger.confirmed).filter(gone).cloned().collect();
        if !forgotten.is_empty() {
            self.propose(WeightsRecord::Forgotten(forgotten));
        }
        self.replicas.retain(|replica, _| present.contains(replica));
        for replica in present {
            self.replicas.entry(replica).or_default();
        }
    }

    fn handle_report(&mut self, replica: &ReplicaId, report: WeightReport, now: Timestamp) {
        let Some(state) = self.replicas.get_mut(replica) else { return };
        state.asked_at = Some(now);
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
            self.propose(WeightsRecord::Forgotten(vec![replica.clone()]));
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

    /// An order without a confirmation for too long: its swap failed partway, it was lost, or the replica died.
    /// The replica may still be fetching, but its share of the store's rate can't be held for ever.
    fn expire_orders(&mut self, now: Timestamp) {
        let timeout = self.config.load_timeout;
        let is_expired = |replica: &&ReplicaId| {
            let ordered_at = self.replicas.get(*replica).and_then(|state| state.ordered_at);
            ordered_at.is_some_and(|at| now.saturating_since(at) >= timeout)
        };
        let expired: Vec<ReplicaId> = self.ledger.ordered.iter().filter(is_expired).cloned().collect();
        if expired.is_empty() {
            return;
        }
        for replica in &expired {
            self.decide("reordered", "load_timeout", replica);
            if let Some(state) = self.replicas.get_mut(replica) {
                state.failures += 1;
            }
        }
        self.propose(WeightsRecord::Forgotten(expired));
    }

    /// Orders again what has been ordered and not confirmed: at once after a take-over or a publication, else now and
    /// then. The replica keeps its place, so the number of fetches stays at the limit.
    fn repeat_orders(&mut self, now: Timestamp) {
        let Some(target) = self.ledger.target else { return };
        let interval = self.config.order_interval;
        let mut due = Vec::new();
        for replica in &self.ledger.ordered {
            let Some(state) = self.replicas.get_mut(replica) else { continue };
            if state.last_order_at.is_some_and(|at| now.saturating_since(at) < interval) {
                continue;
            }
            if state.last_order_at.is_none() {
                state.ordered_at = Some(now);
            }
            state.last_order_at = Some(now);
            due.push(replica.clone());
        }
        for replica in due {
            self.send_after_record(replica, OrderCommand::LoadWeights(target));
        }
        self.release_when_settled();
    }

    /// Sends an order once everything proposed so far is kept.
    fn send_after_record(&mut self, replica: ReplicaId, command: OrderCommand) {
        let order = Action::Order { replica, command };
        if self.config.keep_before_order {
            self.held.push(order);
        } else {
            self.actions.push_back(order);
        }
    }

    fn order_next_wave(&mut self, now: Timestamp) {
        let Some(target) = self.ledger.target else { return };
        let limit = self.config.loading_limit(self.replicas.len());
        let free = limit.saturating_sub(self.ledger.ordered.len());
        if free == 0 {
            return;
        }
        let mut waiting: Vec<(u32, &ReplicaId)> = self
            .replicas
            .iter()
            .filter(|(replica, _)| self.needs_order(replica))
            .map(|(replica, state)| (state.failures, replica))
            .collect();
        // A replica that failed goes behind those that have not been tried.
        waiting.sort();
        let wave: Vec<ReplicaId> =
            waiting.into_iter().take(free).map(|(_, replica)| replica.clone()).collect();
        if wave.is_empty() {
            return;
        }
        for replica in &wave {
            if let Some(state) = self.replicas.get_mut(replica) {
                state.ordered_at = Some(now);
                state.last_order_at = Some(now);
                state.asked_at = Some(now);
            }
            self.send_after_record(replica.clone(), OrderCommand::LoadWeights(target));
            self.decide("ordered", "wave", replica);
        }
        self.propose(WeightsRecord::Ordered(wave));
    }

    fn needs_order(&self, replica: &ReplicaId) -> bool {
        !self.ledger.ordered.contains(replica) && !self.ledger.confirmed.contains(replica)
    }

    /// A role is ordered again until the replica reports it: it may have restarted, or the order was lost.
    fn order_roles(&mut self) {
        for (replica, state) in &mut self.replicas {
            let draining = self.ledger.draining.contains(replica);
            let reported = state.report.is_some_and(|report| report.draining);
            if draining == reported || state.role_ordered {
                continue;
            }
            state.role_ordered = true;
            let command = OrderCommand::ChangeRole { draining };
            self.held.push(Action::Order { replica: replica.clone(), command });
        }
        self.release_when_settled();
    }

    fn ask_due(&mut self, now: Timestamp) {
        let is_due = |(replica, state): &(&ReplicaId, &ReplicaState)| {
            self.next_ask(replica, state).is_some_and(|at| at <= now)
        };
        let due: Vec<ReplicaId> =
            self.replicas.iter().filter(is_due).map(|(replica, _)| replica.clone()).collect();
        for replica in due {
            if let Some(state) = self.replicas.get_mut(&replica) {
                state.asked_at = Some(now);
            }
            self.actions.push_back(Action::Ask(replica));
        }
    }

    fn next_ask(&self, replica: &ReplicaId, state: &ReplicaState) -> Option<Timestamp> {
        let asked_at = state.asked_at.unwrap_or(Timestamp::ORIGIN);
        let interval = if self.ledger.ordered.contains(replica) {
            self.config.poll_interval
        } else {
            self.config.sweep_interval
        };
        Some(if state.asked_at.is_none() { asked_at } else { asked_at + interval })
    }

    fn propose(&mut self, record: WeightsRecord) {
        self.ledger.apply(&record);
        self.proposed.push(record);
    }

    fn append_proposed(&mut self, now: Timestamp) {
        if self.appending.is_some() || self.proposed.is_empty() {
            return;
        }
        self.next_barrier = now + self.config.barrier_interval;
        let records = std::mem::take(&mut self.proposed);
        self.records_since_snapshot += records.len() as u64;
        self.appending = Some(std::mem::take(&mut self.held));
        self.actions.push_back(Action::Append(records));
        self.compact();
    }

    /// The snapshot stands for exactly the records that have been given to the driver so far.
    fn compact(&mut self) {
        if self.records_since_snapshot < RECORDS_BETWEEN_SNAPSHOTS {
            return;
        }
        match self.ledger.snapshot() {
            Ok(snapshot) => {
                self.records_since_snapshot = 0;
                self.actions.push_back(Action::Compact(snapshot));
            }
            Err(error) => log::warn!(target: "weights", "The log was not compacted: {error}."),
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
