//! A model engine: makes tokens step by step, swaps weights, fails partway, and restarts with old weights.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::message::{Message, token};

/// Time of one decoding step.
const STEP: Duration = Duration::from_millis(5);
/// Time of a weight swap.
const SWAP: Duration = Duration::from_millis(40);
/// Share of swaps that fail partway.
const SWAP_FAILURE: f64 = 0.2;
/// Tokens of an ordinary answer.
const ORDINARY_LENGTH: std::ops::Range<u32> = 4..30;
/// Tokens of a long answer.
const LONG_LENGTH: std::ops::Range<u32> = 80..160;
/// Share of long answers.
const LONG_SHARE: f64 = 0.1;

struct Stream {
    length: u32,
    /// The tokens, each with the version that made it.
    tokens: Vec<(u32, WeightVersion)>,
}

enum Weights {
    Loaded(WeightVersion),
    Swapping {
        to: WeightVersion,
        until: Timestamp,
    },
    /// A swap failed partway: the version is not known.
    Broken,
}

/// A model engine.
pub(super) struct Engine {
    random: Pcg64Mcg,
    weights: Weights,
    streams: BTreeMap<AttemptId, Stream>,
    next_step: Timestamp,
}

impl Engine {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            weights: Weights::Loaded(WeightVersion(0)),
            streams: BTreeMap::new(),
            next_step: Timestamp::ORIGIN,
        }
    }

    /// The engine after a restart: its streams are gone and its weights are the first ones.
    pub(super) fn restarted(&self) -> Self {
        let mut random = self.random.clone();
        Self::new(random.random())
    }

    fn admit(&mut self, attempt: AttemptId, seed: u64, minimum_version: WeightVersion) -> bool {
        let admits = matches!(self.weights, Weights::Loaded(version) if version >= minimum_version);
        if admits {
            let length = answer_length(seed);
            self.streams.entry(attempt).or_insert(Stream { length, tokens: Vec::new() });
        }
        admits
    }

    fn load(&mut self, version: WeightVersion, now: Timestamp) {
        let has_it = match &self.weights {
            Weights::Loaded(loaded) => *loaded >= version,
            Weights::Swapping { to, .. } => *to >= version,
            Weights::Broken => false,
        };
        if !has_it {
            self.weights = Weights::Swapping { to: version, until: now + SWAP };
        }
    }

    fn finish_swap(&mut self, now: Timestamp) {
        let Weights::Swapping { to, until } = self.weights else { return };
        if until > now {
            return;
        }
        let failed = self.random.random_bool(SWAP_FAILURE);
        self.weights = if failed { Weights::Broken } else { Weights::Loaded(to) };
    }

    /// Running streams wait while the weights are not known, and go on with the new ones.
    fn decode(&mut self) {
        let Weights::Loaded(version) = self.weights else { return };
        for stream in self.streams.values_mut() {
            let position = u32::try_from(stream.tokens.len()).unwrap_or(u32::MAX);
            if position < stream.length {
                stream.tokens.push((token(version, position), version));
            }
        }
    }

    /// The tokens from a number on, up to the next change of weights: a chunk has one version.
    fn tokens_from(&self, attempt: AttemptId, from: u32) -> Message {
        let Some(stream) = self.streams.get(&attempt) else { return Message::Refused { attempt } };
        let rest = stream.tokens.get(from as usize..).unwrap_or_default();
        let Some((_, version)) = rest.first().copied() else {
            let finished = from >= stream.length;
            return Message::Tokens {
                attempt,
                first_token: from,
                tokens: Vec::new(),
                version: WeightVersion(0),
                finished,
            };
        };
        let run = rest.iter().take_while(|(_, made_by)| *made_by == version);
        let tokens: Vec<u32> = run.map(|(token, _)| *token).collect();
        let end = from as usize + tokens.len();
        let finished = end == stream.length as usize;
        Message::Tokens { attempt, first_token: from, tokens, version, finished }
    }
}

/// How long an answer becomes; the same for the same seed.
fn answer_length(seed: u64) -> u32 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    if random.random_bool(LONG_SHARE) {
        random.random_range(LONG_LENGTH)
    } else {
        random.random_range(ORDINARY_LENGTH)
    }
}

impl Process for Engine {
    type Message = Message;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Message>) {
        self.next_step = now + STEP;
    }

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Start { attempt, seed, minimum_version } => {
                let admitted = self.admit(attempt.clone(), seed, minimum_version);
                let refusal = (!admitted).then_some(Message::Refused { attempt });
                refusal.into_iter().for_each(|refusal| outbox.send(from, refusal));
            }
            Message::Poll { attempt, from: first } => outbox.send(from, self.tokens_from(attempt, first)),
            Message::Cancel { attempt } => {
                self.streams.remove(&attempt);
            }
            Message::Load { version } => self.load(version, now),
            _ => {}
        }
    }

    fn wake(&mut self, now: Timestamp, _outbox: &mut Outbox<Message>) {
        self.finish_swap(now);
        self.decode();
        self.next_step = now + STEP;
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let works = !self.streams.is_empty() || matches!(self.weights, Weights::Swapping { .. });
        works.then_some(self.next_step)
    }
}
