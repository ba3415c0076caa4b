//! The stand-in engine as a simulated process, with a record of what it admitted that outlives its crashes.

use std::collections::{BTreeMap, BTreeSet};

use lichenpulley_core::identity::{AttemptId, ReplicaId, WeightVersion};
use lichenpulley_core::request::assembly::Chunk;
use lichenpulley_core::request::execution::{EngineEvent, RefusalCause};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::{Order, RefusalReason, StreamRequest};
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::Message;
use crate::engine::End;
use crate::engine::model::{EngineConfig, EngineModel, Submission, SubmitError};

/// The weights that every simulated engine starts with.
const FIRST_VERSION: WeightVersion = WeightVersion(1);

/// A stream that was admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The prompt; each request of a schedule has its own.
    pub prompt: String,
    /// The attempt.
    pub attempt: AttemptId,
}

/// One engine.
pub struct EngineProcess {
    config: EngineConfig,
    incarnation: u64,
    model: EngineModel,
    readers: BTreeMap<AttemptId, (ProcessId, u32)>,
    /// Connections on which no request has come.
    connections: BTreeSet<u64>,
    /// The first connection of this incarnation.
    first_connection: u64,
    next_connection: u64,
    /// Everything admitted in all incarnations.
    pub admissions: Vec<Admission>,
}

impl EngineProcess {
    /// An idle engine.
    pub fn new(config: EngineConfig) -> Self {
        let model = EngineModel::new(config.clone(), 1, FIRST_VERSION);
        Self {
            config,
            incarnation: 1,
            model,
            readers: BTreeMap::new(),
            connections: BTreeSet::new(),
            first_connection: 0,
            next_connection: 0,
            admissions: Vec::new(),
        }
    }

    /// The engine after a crash: its streams are gone, its record stays.
    pub fn restarted(&self) -> Self {
        Self {
            incarnation: self.incarnation + 1,
            model: EngineModel::new(self.config.clone(), self.incarnation + 1, FIRST_VERSION),
            admissions: self.admissions.clone(),
            first_connection: self.next_connection + 1,
            next_connection: self.next_connection,
            ..Self::new(self.config.clone())
        }
    }

    /// Its id.
    pub const fn replica(&self) -> &ReplicaId {
        &self.config.replica
    }

    /// The engine itself, for faults.
    pub const fn model(&mut self) -> &mut EngineModel {
        &mut self.model
    }

    /// Takes an order that changes its role.
    pub fn order(&mut self, now: Timestamp, order: &Order) {
        // One of a lower epoch would be refused and change nothing; a schedule's epochs only go up.
        let _ = self.model.order(now, order);
    }

    /// Swaps in new weights at once, as far as the engine does.
    pub fn load_weights(&mut self, now: Timestamp, order: &Order) {
        if self.model.order(now, order).is_ok()
            && let Some(version) = self.model.wanted_weights()
        {
            self.model.weights_fetched(now, version);
        }
    }

    fn submit(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        request: &StreamRequest,
        outbox: &mut Outbox<Message>,
    ) {
        let attempt = request.attempt.clone();
        let prior_tokens = u32::try_from(request.prior_tokens.len()).unwrap_or(u32::MAX);
        match self.model.submit(now, request) {
            Ok(submission) => {
                if submission == Submission::Admitted {
                    let prompt = request.prompt.clone();
                    self.admissions.push(Admission { prompt, attempt: attempt.clone() });
                }
                self.attach(now, from, attempt, prior_tokens, outbox);
            }
            Err(SubmitError::Refused(reason)) => {
                let cause = match reason {
                    RefusalReason::Overloaded => RefusalCause::Overloaded,
                    RefusalReason::Draining | RefusalReason::NoWeights => RefusalCause::NotServing,
                };
                outbox.send(from, Message::Refused(attempt, cause));
            }
            Err(SubmitError::AttemptUsed(_) | SubmitError::WrongPriorTokens(_)) => {
                outbox.send(from, Message::Broken(attempt));
            }
        }
    }

    fn resume(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        attempt: AttemptId,
        first: u32,
        outbox: &mut Outbox<Message>,
    ) {
        if self.model.read(&attempt, first).is_none() {
            return outbox.send(from, Message::UnknownStream(attempt));
        }
        self.attach(now, from, attempt, first, outbox);
    }

    fn attach(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        attempt: AttemptId,
        first: u32,
        outbox: &mut Outbox<Message>,
    ) {
        let load = self.model.present_load(now);
        outbox.send(from, Message::Event(attempt.clone(), EngineEvent::Admitted(load)));
        self.readers.insert(attempt.clone(), (from, first));
        self.send_new(now, &attempt, outbox);
    }

    fn send_new(&mut self, now: Timestamp, attempt: &AttemptId, outbox: &mut Outbox<Message>) {
        let Some((reader, next)) = self.readers.get_mut(attempt) else { return };
        let Some(slice) = self.model.read(attempt, *next) else { return };
        for run in slice.runs {
            *next = run.first_token + u32::try_from(run.tokens.len()).unwrap_or(u32::MAX);
            let chunk = Chunk {
                first_token: run.first_token,
                tokens: run.tokens,
                weight_version: run.weight_version,
            };
            outbox.send(*reader, Message::Event(attempt.clone(), EngineEvent::Tokens(chunk)));
        }
        let event = match slice.end {
            None => return,
            Some(End::Failed(_)) => EngineEvent::Failed,
            Some(End::Finished(finish_reason)) => EngineEvent::Finished {
                token_count: *next,
                finish_reason,
                load: self.model.present_load(now),
            },
        };
        outbox.send(*reader, Message::Event(attempt.clone(), event));
    }
}

impl Process for EngineProcess {
    type Message = Message;

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Connect(attempt) => {
                self.next_connection += 1;
                self.connections.insert(self.next_connection);
                outbox.send(from, Message::Connected(attempt, self.next_connection));
            }
            Message::Dispatch(connection, request) if self.connections.remove(&connection) => {
                self.submit(now, from, &request, outbox);
            }
            Message::Dispatch(connection, request) if connection < self.first_connection => {
                outbox.send(from, Message::Broken(request.attempt));
            }
            Message::Resume(attempt, first) => self.resume(now, from, attempt, first, outbox),
            Message::Cancel(attempt) => {
                self.model.cancel(now, &attempt);
                self.readers.remove(&attempt);
            }
            Message::AskLoad(number) => {
                outbox.send(from, Message::Load(number, self.model.lagging_load(now)));
            }
            _ => {}
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        for attempt in self.model.advance(now) {
            self.send_new(now, &attempt, outbox);
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.model.next_wake()
    }
}
