//! A node that owns the job while it believes it should: a proposer of the log and the job's state machine.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, Epoch};
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::log::RecoveredLog;
use lichenpulley_core::replication::proposer::{Proposer, ProposerChecks, ProposerConfig, ProposerEvent};
use lichenpulley_core::rollout::{
    Action, AttemptOutcome, AttemptStart, ControllerConfig, Event, JobController, JobRecord,
    JobSpecification, TokenCounts,
};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::{ENGINES, FIRST_ENGINE, Message};
use super::store;
use super::stream::{AttemptStream, POLL};

/// A request to a store without an answer is sent again after this time.
const RETRANSMIT: Duration = Duration::from_millis(60);
/// An owner that nobody has asked within this time takes another one for the job's owner, and stops.
const ABANDONED: Duration = Duration::from_secs(2);

/// How owners are set up.
#[derive(Clone)]
pub(super) struct OwnerSetup {
    pub(super) specification: JobSpecification,
    pub(super) config: ControllerConfig,
    pub(super) versions_by_chunk: bool,
    pub(super) log: ProposerChecks,
}

/// Counts over all incarnations of one owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerCounts {
    pub(super) takeovers: u64,
    pub(super) superseded: u64,
    pub(super) voided: u64,
    pub(super) reopened: u64,
    pub(super) tokens: TokenCounts,
}

/// One time of owning the job.
struct Term {
    number: u64,
    proposer: Proposer,
    /// Absent until the log has been taken over.
    controller: Option<JobController>,
    /// Appends in order: the position through which each must be decided.
    appends: VecDeque<LogIndex>,
    streams: BTreeMap<AttemptId, AttemptStream>,
    pulls: BTreeMap<u64, (ProcessId, u64)>,
    last_ticket: u64,
    asked_at: Timestamp,
    /// When the proposer was last asked what to send; a timeout before it has been dealt with.
    transmitted_at: Timestamp,
}

/// A node that may own the job.
pub(super) struct Owner {
    number: usize,
    setup: OwnerSetup,
    /// Counts takeovers over all incarnations, so that proposers are never named alike.
    terms: u64,
    counts: OwnerCounts,
    term: Option<Term>,
}

impl Owner {
    pub(super) fn new(number: usize, setup: OwnerSetup) -> Self {
        Self { number, setup, terms: 0, counts: OwnerCounts::default(), term: None }
    }

    /// The owner after a restart: nothing is left but the names that were used up.
    pub(super) fn restarted(&self) -> Self {
        let counts = self.counts();
        Self { number: self.number, setup: self.setup.clone(), terms: self.terms, counts, term: None }
    }

    pub(super) fn counts(&self) -> OwnerCounts {
        let mut counts = self.counts;
        if let Some(controller) = self.term.as_ref().and_then(|term| term.controller.as_ref()) {
            counts.tokens.add(&controller.token_counts());
        }
        counts
    }

    fn end_term(&mut self) {
        self.counts = self.counts();
        self.term = None;
    }

    fn take_over(&mut self, now: Timestamp) {
        self.terms += 1;
        self.counts.takeovers += 1;
        let config = ProposerConfig { retransmit_after: RETRANSMIT, ..ProposerConfig::default() };
        let proposer = ProposerId::new(format!("owner-{}-{}", self.number, self.terms));
        self.term = Some(Term {
            number: self.terms,
            proposer: Proposer::new(store::replica_set(), proposer, Epoch(1), config)
                .with_checks(self.setup.log),
            controller: None,
            appends: VecDeque::new(),
            streams: BTreeMap::new(),
            pulls: BTreeMap::new(),
            last_ticket: 0,
            asked_at: now,
            transmitted_at: now,
        });
    }

    /// Carries out everything that can be done now.
    fn advance(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.take_proposer_events(now);
        self.act(now, outbox);
        self.take_proposer_events(now);
        self.act(now, outbox);
        let Some(term) = &mut self.term else { return };
        term.transmitted_at = now;
        while let Some(transmit) = term.proposer.poll_transmit(now) {
            let Some(store) = store::process_of(&transmit.to) else { continue };
            outbox.send(store, Message::Store { term: term.number, request: transmit.request });
        }
    }

    fn take_proposer_events(&mut self, now: Timestamp) {
        while let Some(event) = self.term.as_mut().and_then(|term| term.proposer.poll_event()) {
            match event {
                ProposerEvent::Recovered(recovered) => self.recover(&recovered, now),
                ProposerEvent::Decided(through) => self.handle_decided(through, now),
                ProposerEvent::Ended(_) => {
                    self.counts.superseded += 1;
                    return self.end_term();
                }
            }
        }
    }

    fn recover(&mut self, recovered: &RecoveredLog, now: Timestamp) {
        let Some(term) = &mut self.term else { return };
        let (epoch, config) = (term.proposer.epoch(), self.setup.config);
        let snapshot = recovered.snapshot.as_deref();
        match JobController::recover(snapshot, &recovered.records, epoch, config, now) {
            Ok(Some(controller)) => term.controller = Some(controller),
            Ok(None) => {
                let specification = self.setup.specification.clone();
                term.controller = Some(JobController::create(specification, epoch, config, now));
            }
            // Only with a mechanism off: the log contradicts itself, and nobody can own the job any more.
            Err(_) => self.end_term(),
        }
    }

    fn handle_decided(&mut self, through: LogIndex, now: Timestamp) {
        let Some(Term { controller: Some(controller), appends, .. }) = &mut self.term else { return };
        while appends.front().is_some_and(|needed| *needed <= through) {
            appends.pop_front();
            controller.handle(Event::Appended, now);
        }
    }

    fn act(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        while let Some(action) = self.next_action() {
            match action {
                Action::Start(start) => self.start_attempt(&start, now, outbox),
                Action::Cancel(attempt) => self.cancel_attempt(&attempt, outbox),
                Action::Append(records) => self.append(&records),
                Action::Compact(snapshot) => self.compact(snapshot),
                Action::Answer { ticket, answer } => {
                    let pull = self.term.as_mut().and_then(|term| term.pulls.remove(&ticket));
                    if let Some((trainer, request_id)) = pull {
                        outbox.send(trainer, Message::PullAnswer { request_id, answer });
                    }
                }
                Action::Decide(decision) => match decision.action.as_str() {
                    "voided_batch" => self.counts.voided += 1,
                    "reopened" => self.counts.reopened += 1,
                    _ => {}
                },
            }
        }
    }

    fn next_action(&mut self) -> Option<Action> {
        self.term.as_mut()?.controller.as_mut()?.poll_action()
    }

    fn append(&mut self, records: &[JobRecord]) {
        let Some(term) = &mut self.term else { return };
        let encoded: Result<Vec<Vec<u8>>, _> = records.iter().map(JobRecord::encode).collect();
        let Ok(encoded) = encoded else { return self.end_term() };
        match term.proposer.append(encoded) {
            Ok(through) => term.appends.push_back(through),
            Err(_) => self.end_term(),
        }
    }

    fn compact(&mut self, snapshot: Vec<u8>) {
        let Some(term) = &mut self.term else { return };
        if term.proposer.compact(snapshot).is_err() {
            self.end_term();
        }
    }

    fn start_attempt(&mut self, start: &AttemptStart, now: Timestamp, outbox: &mut Outbox<Message>) {
        let Some(term) = &mut self.term else { return };
        // Spread over the engines; a retry of the same slot goes elsewhere, since attempts are counted.
        let spread = xxhash_rust::xxh3::xxh3_64(start.attempt.as_str().as_bytes());
        let engine = ProcessId(FIRST_ENGINE + usize::try_from(spread % ENGINES as u64).unwrap_or(0));
        let stream = AttemptStream::new(engine, now, self.setup.versions_by_chunk);
        term.streams.insert(start.attempt.clone(), stream);
        let AttemptStart { attempt, seed, minimum_version, .. } = start.clone();
        outbox.send(engine, Message::Start { attempt, seed, minimum_version });
    }

    fn cancel_attempt(&mut self, attempt: &AttemptId, outbox: &mut Outbox<Message>) {
        let Some(term) = &mut self.term else { return };
        if let Some(stream) = term.streams.remove(attempt) {
            outbox.send(stream.engine, Message::Cancel { attempt: attempt.clone() });
        }
    }

    fn handle_pull(&mut self, now: Timestamp, from: ProcessId, message: Message) {
        let Message::Pull { request_id, request } = message else { return };
        if self.term.is_none() {
            self.take_over(now);
        }
        let Some(term) = &mut self.term else { return };
        term.asked_at = now;
        // The trainer asks again where the log is still being taken over.
        let Some(controller) = &mut term.controller else { return };
        term.last_ticket += 1;
        term.pulls.insert(term.last_ticket, (from, request_id));
        controller.handle(Event::Pull { ticket: term.last_ticket, request }, now);
    }

    /// A repeated answer of the engine is handed on as often as it arrives: to tell it from a new result is the
    /// state machine's task.
    fn handle_tokens(&mut self, now: Timestamp, message: Message) {
        let Message::Tokens { attempt, first_token, tokens, version, finished } = message else { return };
        let Some(Term { controller: Some(controller), streams, .. }) = &mut self.term else { return };
        let Some(stream) = streams.get_mut(&attempt) else { return };
        let is_repeat = finished && first_token + tokens.len() as u32 == stream.next_token();
        if !stream.take(first_token, &tokens, version) && !is_repeat {
            return;
        }
        if finished {
            let (tokens, spans) = (stream.tokens.clone(), stream.spans());
            let outcome = AttemptOutcome::Completed { tokens, spans, reward: 1.0 };
            stream.next_poll = now + Duration::from_secs(3_600);
            return controller.handle(Event::AttemptEnded { attempt, outcome }, now);
        }
        if !tokens.is_empty() {
            let token_count = stream.next_token();
            controller.handle(Event::AttemptProgress { attempt, weight_version: version, token_count }, now);
        }
    }

    fn handle_refused(&mut self, now: Timestamp, attempt: AttemptId) {
        let Some(Term { controller: Some(controller), streams, .. }) = &mut self.term else { return };
        if streams.remove(&attempt).is_some() {
            let outcome = AttemptOutcome::Refused { reason: "refused".to_owned(), retry_after: None };
            controller.handle(Event::AttemptEnded { attempt, outcome }, now);
        }
    }

    fn poll_streams(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        let Some(term) = &mut self.term else { return };
        for (attempt, stream) in &mut term.streams {
            if stream.next_poll <= now {
                stream.next_poll = now + POLL;
                let from = stream.next_token();
                outbox.send(stream.engine, Message::Poll { attempt: attempt.clone(), from });
            }
        }
    }
}

impl Process for Owner {
    type Message = Message;

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::StoreAnswer { term: number, response } => {
                if let Some(term) = self.term.as_mut().filter(|term| term.number == number) {
                    term.proposer.step(now, response);
                }
            }
            message @ Message::Pull { .. } => self.handle_pull(now, from, message),
            message @ Message::Tokens { .. } => self.handle_tokens(now, message),
            Message::Refused { attempt } => self.handle_refused(now, attempt),
            _ => {}
        }
        self.advance(now, outbox);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if self.term.as_ref().is_some_and(|term| now.saturating_since(term.asked_at) >= ABANDONED) {
            return self.end_term();
        }
        if let Some(controller) = self.term.as_mut().and_then(|term| term.controller.as_mut()) {
            controller.handle(Event::WakeUp, now);
        }
        self.poll_streams(now, outbox);
        self.advance(now, outbox);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let term = self.term.as_ref()?;
        let controller = term.controller.as_ref().and_then(JobController::next_wakeup);
        let polls = term.streams.values().map(|stream| stream.next_poll).min();
        let abandoned = term.asked_at + ABANDONED;
        let retransmit = term.proposer.poll_timeout().filter(|at| *at > term.transmitted_at);
        [controller, polls, retransmit, Some(abandoned)].into_iter().flatten().min()
    }
}
