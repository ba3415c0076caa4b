//! A gateway as a simulated process.
//!
//! Owns its requests in flight and what it answered. Drives [`Execution`]s as the daemon's runner does, and relies on
//! the core's pool for eligibility and on claim replicas for ids that may run once.

mod steps;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, NodeId, ReplicaId, RequestId};
use lichenpulley_core::request::assembly::Chunk;
use lichenpulley_core::request::execution::{
    ClaimResult, ENGINE_ANSWER_TIMEOUT, EngineEvent, Execution, ExecutionSpec,
};
use lichenpulley_core::request::outcome::EngineRefusal;
use lichenpulley_core::routing::Pool;
use lichenpulley_core::routing::pool::ListedReplica;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::StreamRequest;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::mechanisms::Mechanisms;
use super::message::Message;
use super::submission::{CallerAnswer, SentWork, Submission};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a claim may take.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between rounds of probes.
const PROBE_ROUND: Duration = Duration::from_millis(250);
/// Most replicas probed in one round.
const PROBES_IN_ROUND: usize = 8;

/// What a request in flight waits for.
#[derive(Debug)]
enum Waiting {
    Connecting { attempt: AttemptId, prior_tokens: Vec<u32>, replica: ReplicaId },
    Claiming { attempt: AttemptId, votes: BTreeSet<ProcessId>, granted: usize },
    Event,
    Time,
}

/// A request in flight.
struct RequestRun {
    submission: Submission,
    execution: Execution,
    waiting: Waiting,
    wake_at: Timestamp,
    streamed: Vec<u32>,
}

/// One gateway.
pub struct GatewayProcess {
    name: String,
    incarnation: u32,
    engines: BTreeMap<ReplicaId, ProcessId>,
    claim_replicas: Vec<ProcessId>,
    mechanisms: Mechanisms,
    pool: Pool,
    random: Pcg64Mcg,
    runs: BTreeMap<usize, RequestRun>,
    probes: BTreeMap<u64, (ReplicaId, Timestamp)>,
    next_probe: u64,
    next_round: Timestamp,
    /// Streams to stop at engines that a run has left.
    cancellations: Vec<(ReplicaId, AttemptId)>,
    /// Ids sent by this incarnation, for gateways without claims.
    sent_ids: BTreeSet<RequestId>,
    /// What callers were answered, in all incarnations.
    pub answers: Vec<CallerAnswer>,
    /// New work sent, in all incarnations: attempts that began to connect.
    pub sent: Vec<SentWork>,
}

impl GatewayProcess {
    /// A gateway before these engines and claim replicas.
    pub fn new(
        name: String,
        engines: BTreeMap<ReplicaId, ProcessId>,
        claim_replicas: Vec<ProcessId>,
        mechanisms: Mechanisms,
        seed: u64,
    ) -> Self {
        let mut pool = Pool::new(NodeId::new(&name), mechanisms.pool_config(), Timestamp::ORIGIN);
        pool.set_listed_replicas(engines.keys().map(|replica| ListedReplica {
            replica: replica.clone(),
            zone: "zone".into(),
            leaving: false,
        }));
        Self {
            name,
            incarnation: 0,
            engines,
            claim_replicas,
            mechanisms,
            pool,
            random: Pcg64Mcg::seed_from_u64(seed),
            runs: BTreeMap::new(),
            probes: BTreeMap::new(),
            next_probe: 0,
            next_round: Timestamp::ORIGIN,
            cancellations: Vec::new(),
            sent_ids: BTreeSet::new(),
            answers: Vec::new(),
            sent: Vec::new(),
        }
    }

    /// The gateway after a crash: its runs are gone and it answers none of their callers.
    pub fn restarted(&self) -> Self {
        let seed = u64::from(self.incarnation) + 1;
        let mut next = Self::new(
            self.name.clone(),
            self.engines.clone(),
            self.claim_replicas.clone(),
            self.mechanisms,
            seed,
        );
        next.incarnation = self.incarnation + 1;
        next.answers = self.answers.clone();
        next.sent = self.sent.clone();
        next
    }

    /// Takes a request.
    pub fn submit(&mut self, submission: Submission, now: Timestamp, outbox: &mut Outbox<Message>) {
        let number = submission.number;
        let execution = self.execution(&submission, now);
        let run =
            RequestRun { submission, execution, waiting: Waiting::Time, wake_at: now, streamed: Vec::new() };
        self.runs.insert(number, run);
        self.drive(number, now, outbox);
    }

    fn execution(&mut self, submission: &Submission, now: Timestamp) -> Execution {
        let spec = ExecutionSpec {
            request: submission.request.clone(),
            execution: format!("{}-{}-{}.0", self.name, self.incarnation, submission.number),
            prefix_group: submission.number as u64 % 7,
            priority: submission.stream.priority,
            max_tokens: submission.stream.max_tokens,
            deadline: submission.deadline,
            repeatable: submission.repeatable,
            minimum_version: None,
        };
        Execution::new(spec, &mut self.pool, now)
    }

    /// Requests that are not over.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn timed_out(&mut self, number: usize, now: Timestamp) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        match run.waiting {
            Waiting::Connecting { .. } => {
                run.execution.nothing_written(now, &mut self.pool, &mut self.random);
            }
            Waiting::Claiming { .. } => run.execution.claimed(ClaimResult::NoMajority, now),
            Waiting::Event if !self.mechanisms.proof_of_not_run => self.answer_not_run(number, now),
            Waiting::Event => run.execution.stream_stalled(now, &mut self.pool, &mut self.random),
            Waiting::Time => {}
        }
    }

    fn connected(
        &mut self,
        attempt: &AttemptId,
        connection: u64,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
    ) {
        let Some(number) = self.find(attempt) else { return };
        let Some(run) = self.runs.get_mut(&number) else { return };
        let Waiting::Connecting { attempt: expected, prior_tokens, replica } = &run.waiting else { return };
        if expected != attempt {
            return;
        }
        let request = StreamRequest {
            attempt: attempt.clone(),
            prior_tokens: prior_tokens.clone(),
            ..run.submission.stream.clone()
        };
        outbox.send(self.engines[replica], Message::Dispatch(connection, request));
        (run.waiting, run.wake_at) = (Waiting::Event, now + ENGINE_ANSWER_TIMEOUT);
    }

    fn event(
        &mut self,
        attempt: &AttemptId,
        event: EngineEvent,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
    ) {
        let numbering = self.mechanisms.numbering;
        self.with_attempt(attempt, now, outbox, |run, pool, random| {
            let event = if numbering { event } else { renumbered(event, run.streamed.len()) };
            run.execution.received(attempt, event, now, pool, random);
            let fresh = run.execution.take_new();
            run.streamed.extend(fresh.into_iter().flat_map(|chunk| chunk.tokens));
        });
    }

    fn vote(
        &mut self,
        from: ProcessId,
        request: &RequestId,
        voted: &AttemptId,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
    ) {
        let majority = self.claim_replicas.len() / 2 + 1;
        let claiming: Vec<usize> = self
            .runs
            .iter()
            .filter(|(_, run)| run.submission.request == *request)
            .map(|(number, _)| *number)
            .collect();
        for number in claiming {
            let Some(run) = self.runs.get_mut(&number) else { continue };
            let Waiting::Claiming { attempt, votes, granted } = &mut run.waiting else { continue };
            if votes.insert(from) && voted == attempt {
                *granted += 1;
            }
            let against = votes.len() - *granted;
            if *granted >= majority {
                run.execution.claimed(ClaimResult::Granted, now);
            } else if against >= majority {
                run.execution.claimed(ClaimResult::Held, now);
            } else {
                continue;
            }
            self.drive(number, now, outbox);
        }
    }

    /// Hands something to the run that has this attempt, unless it is still connecting.
    fn with_attempt(
        &mut self,
        attempt: &AttemptId,
        now: Timestamp,
        outbox: &mut Outbox<Message>,
        act: impl FnOnce(&mut RequestRun, &mut Pool, &mut Pcg64Mcg),
    ) {
        let Some(number) = self.find(attempt) else { return };
        let Some(run) = self.runs.get_mut(&number) else { return };
        let is_current = run.execution.current_attempt() == Some(attempt);
        if !is_current || !matches!(run.waiting, Waiting::Event) {
            return;
        }
        act(run, &mut self.pool, &mut self.random);
        self.drive(number, now, outbox);
    }

    /// The run of an attempt, by the name that this gateway gave it.
    fn find(&self, attempt: &AttemptId) -> Option<usize> {
        let prefix = format!("{}-{}-", self.name, self.incarnation);
        let rest = attempt.as_str().strip_prefix(&prefix)?;
        rest.split('.').next()?.parse().ok()
    }

    fn wake_choosers(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        let choosing = |run: &RequestRun| matches!(run.waiting, Waiting::Time);
        let waiting: Vec<usize> =
            self.runs.iter().filter(|(_, run)| choosing(run)).map(|(number, _)| *number).collect();
        for number in waiting {
            self.drive(number, now, outbox);
        }
    }

    fn probe(&mut self, replica: ReplicaId, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.next_probe += 1;
        outbox.send(self.engines[&replica], Message::AskLoad(self.next_probe));
        self.probes.insert(self.next_probe, (replica, now));
    }
}

impl Process for GatewayProcess {
    type Message = Message;

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Connected(attempt, connection) => self.connected(&attempt, connection, now, outbox),
            Message::Refused(attempt, cause) => {
                self.with_attempt(&attempt, now, outbox, |run, pool, random| {
                    let refusal = EngineRefusal { attempt: attempt.clone() };
                    run.execution.refused(&refusal, cause, now, pool, random);
                });
            }
            Message::Broken(attempt) => {
                self.with_attempt(&attempt, now, outbox, |run, pool, random| {
                    run.execution.stream_broken(now, pool, random);
                });
            }
            Message::UnknownStream(attempt) => {
                self.with_attempt(&attempt, now, outbox, |run, pool, random| {
                    run.execution.stream_unknown(now, pool, random);
                });
            }
            Message::Event(attempt, event) => self.event(&attempt, event, now, outbox),
            Message::Load(number, report) => {
                if let Some((replica, asked_at)) = self.probes.remove(&number) {
                    let stands_for = if self.mechanisms.expiring_confirmations { asked_at } else { now };
                    self.pool.observe(&replica, stands_for, report, now);
                    self.wake_choosers(now, outbox);
                }
            }
            Message::Vote(request, voted) => self.vote(from, &request, &voted, now, outbox),
            _ => {}
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if now >= self.next_round {
            self.next_round = now + PROBE_ROUND;
            for replica in self.pool.due_probes(now, PROBES_IN_ROUND) {
                self.probe(replica, now, outbox);
            }
        }
        let due: Vec<usize> =
            self.runs.iter().filter(|(_, run)| run.wake_at <= now).map(|(number, _)| *number).collect();
        for number in due {
            self.timed_out(number, now);
            self.drive(number, now, outbox);
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.runs.values().map(|run| run.wake_at).chain([self.next_round]).min()
    }
}

/// What a gateway without numbering makes of a chunk: the tokens that come next.
fn renumbered(event: EngineEvent, next: usize) -> EngineEvent {
    let next = u32::try_from(next).unwrap_or(u32::MAX);
    match event {
        EngineEvent::Tokens(chunk) => EngineEvent::Tokens(Chunk { first_token: next, ..chunk }),
        EngineEvent::Finished { finish_reason, load, .. } => {
            EngineEvent::Finished { token_count: next, finish_reason, load }
        }
        other => other,
    }
}
