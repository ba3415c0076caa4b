//! A node that owns the pool's weights while it believes it should.

use std::collections::VecDeque;
use std::time::Duration;

use lichenpulley_core::identity::{Epoch, PoolName, ReplicaId, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_core::weights::{Action, Event, WaveConfig, WeightsController, WeightsRecord};
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::{FIRST_REPLICA, LOG, Message};

/// A message to the log without an answer is sent again.
const RETRY: Duration = Duration::from_millis(100);
/// How often the cluster's word reaches an owner that should run the shard.
const NUDGE: Duration = Duration::from_secs(2);

struct Term {
    number: u64,
    epoch: Epoch,
    controller: Option<WeightsController>,
    /// Appends that are not kept yet, by number.
    appends: VecDeque<(u64, Vec<Vec<u8>>)>,
    next_append: u64,
    send_at: Timestamp,
    published: Vec<(u64, ProcessId, WeightVersion)>,
    last_ticket: u64,
}

/// A node that may own the weights.
pub(super) struct Owner {
    config: WaveConfig,
    replicas: usize,
    /// Whether the stores tell this node to run the shard; the other one runs it only when asked.
    is_preferred: bool,
    next_nudge: Timestamp,
    terms: u64,
    term: Option<Term>,
}

impl Owner {
    pub(super) fn new(config: WaveConfig, replicas: usize, is_preferred: bool) -> Self {
        Self { config, replicas, is_preferred, next_nudge: Timestamp::ORIGIN, terms: 0, term: None }
    }

    /// The owner after a restart: only the names of its terms are used up.
    pub(super) fn restarted(&self) -> Self {
        Self { terms: self.terms, ..Self::new(self.config, self.replicas, self.is_preferred) }
    }

    fn take_over(&mut self, now: Timestamp) {
        self.terms += 1;
        self.term = Some(Term {
            number: self.terms,
            epoch: Epoch(0),
            controller: None,
            appends: VecDeque::new(),
            next_append: 1,
            send_at: now,
            published: Vec::new(),
            last_ticket: 0,
        });
    }

    fn taken_over(&mut self, now: Timestamp, number: u64, epoch: Epoch, records: &[Vec<u8>]) {
        let config = self.config;
        let Some(term) = self.term.as_mut().filter(|term| term.number == number) else { return };
        if term.controller.is_some() {
            return;
        }
        let pool = PoolName::new("pool");
        let Ok(mut controller) = WeightsController::recover(pool, None, records, config, now) else { return };
        let replicas = (0..self.replicas).map(replica_id).collect();
        controller.handle(Event::Replicas(replicas), now);
        term.epoch = epoch;
        term.controller = Some(controller);
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        if let Some(controller) = self.term.as_mut().and_then(|term| term.controller.as_mut()) {
            controller.handle(event, now);
        }
    }

    fn publish(&mut self, now: Timestamp, from: ProcessId, version: WeightVersion) {
        if self.term.is_none() {
            self.take_over(now);
        }
        let Some(term) = &mut self.term else { return };
        let Some(controller) = &mut term.controller else { return };
        term.last_ticket += 1;
        term.published.push((term.last_ticket, from, version));
        controller.handle(Event::Publish { ticket: term.last_ticket, weight_version: version }, now);
    }

    fn appended(&mut self, now: Timestamp, epoch: Epoch, number: u64) {
        let Some(term) = self.term.as_mut().filter(|term| term.epoch == epoch) else { return };
        if term.appends.front().is_some_and(|(first, _)| *first == number) {
            term.appends.pop_front();
            self.handle(now, Event::Appended);
        }
    }

    fn act(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        while let Some(action) = self.next_action() {
            let Some(term) = &mut self.term else { return };
            match action {
                Action::Append(records) => {
                    let encoded = records.iter().filter_map(|record| WeightsRecord::encode(record).ok());
                    term.appends.push_back((term.next_append, encoded.collect()));
                    term.next_append += 1;
                    term.send_at = now;
                }
                Action::Order { replica, command } => {
                    let Some(to) = process_of(&replica) else { continue };
                    outbox.send(to, Message::Order { epoch: term.epoch, command });
                }
                Action::Poll(replica) => {
                    process_of(&replica).into_iter().for_each(|to| outbox.send(to, Message::Ask));
                }
                Action::Answer { ticket, .. } => {
                    let asked = term.published.iter().find(|(number, _, _)| *number == ticket);
                    asked.into_iter().for_each(|(_, to, version)| {
                        outbox.send(*to, Message::Published { version: *version });
                    });
                }
                Action::Superseded(_) => self.term = None,
                // The simulated log is never compacted.
                Action::Compact(_) | Action::Decide(_) => {}
            }
        }
    }

    fn next_action(&mut self) -> Option<Action> {
        self.term.as_mut()?.controller.as_mut()?.poll_action()
    }

    fn send_to_log(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        let Some(term) = &mut self.term else { return };
        if term.send_at > now {
            return;
        }
        term.send_at = now + RETRY;
        if term.controller.is_none() {
            outbox.send(LOG, Message::TakeOver { term: term.number });
        }
        for (number, records) in &term.appends {
            let records = records.clone();
            outbox.send(LOG, Message::Append { epoch: term.epoch, number: *number, records });
        }
    }
}

/// The name of a replica.
fn replica_id(number: usize) -> ReplicaId {
    ReplicaId::new(format!("replica-{number:04}"))
}

fn process_of(replica: &ReplicaId) -> Option<ProcessId> {
    let number: usize = replica.as_str().strip_prefix("replica-")?.parse().ok()?;
    Some(ProcessId(FIRST_REPLICA + number))
}

impl Process for Owner {
    type Message = Message;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Message>) {
        self.next_nudge = now + NUDGE;
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        let replica = from.0.checked_sub(FIRST_REPLICA).map(replica_id);
        match (message, replica) {
            (Message::TakenOver { term, epoch, records }, _) => self.taken_over(now, term, epoch, &records),
            (Message::Appended { epoch, number }, _) => self.appended(now, epoch, number),
            (Message::Superseded { epoch }, _) => {
                self.term = self.term.take().filter(|term| term.epoch != epoch);
            }
            (Message::Publish { version }, _) => self.publish(now, from, version),
            (Message::OrderEnded { result }, Some(replica)) => {
                self.handle(now, Event::OrderEnded { replica, result });
            }
            (Message::Reported { report }, Some(replica)) => {
                self.handle(now, Event::Reported { replica, report });
            }
            _ => {}
        }
        self.act(now, outbox);
        self.send_to_log(now, outbox);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if self.next_nudge <= now {
            self.next_nudge = now + NUDGE;
            if self.is_preferred && self.term.is_none() {
                self.take_over(now);
            }
        }
        self.handle(now, Event::WakeUp);
        self.act(now, outbox);
        self.send_to_log(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let nudge = self.is_preferred.then_some(self.next_nudge);
        let Some(term) = &self.term else { return nudge };
        let waits = term.controller.is_none() || !term.appends.is_empty();
        let controller = term.controller.as_ref().and_then(WeightsController::next_wakeup);
        [nudge, waits.then_some(term.send_at), controller].into_iter().flatten().min()
    }
}
