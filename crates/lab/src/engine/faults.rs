//! Faults of the engine, as `PUT /faults` on its second port takes them, and what a checker can read there.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{AttemptId, WeightVersion};
use lichenpulley_protocol::engine::StreamRequest;
use serde::{Deserialize, Serialize};

/// One fault. Each lasts until it is taken back, unless it says otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum EngineFault {
    /// Closes everything, forgets every stream and fence, and comes back as the next incarnation.
    Crash {
        /// How long it is away, in milliseconds.
        down_ms: u64,
        /// The weights it comes back with; those it was started with where absent.
        #[serde(default)]
        weight_version: Option<WeightVersion>,
    },
    /// Does and answers nothing for a while, then goes on as if nothing had been.
    Freeze {
        /// How long, in milliseconds.
        for_ms: u64,
    },
    /// Harms streams on the wire; replaces the harm that was set before.
    Wire(WireFaults),
    /// Makes each step take this share of its usual time.
    SlowSteps {
        /// In percent; 100 is the usual time.
        percent: u32,
    },
    /// The next weight swap fails partway, once.
    FailNextSwap,
    /// Refuses everything new as overloaded.
    RefuseAll {
        /// Whether it does.
        refuse: bool,
    },
}

/// Harm to the answers of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WireFaults {
    /// Each connection breaks once it has carried this many tokens.
    pub drop_after_tokens: Option<u32>,
    /// So many of the next admissions lose their whole answer: the request runs, the caller hears nothing.
    pub drop_admissions: u32,
    /// Every so many chunks one is sent twice; zero sends none twice.
    pub duplicate_every: u32,
    /// Every so many chunks one is sent after the chunk that follows it; zero keeps the order.
    pub reorder_every: u32,
}

/// What the engine has done over all its incarnations. A checker reads it; a real engine has no such thing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// The present incarnation.
    pub incarnation: u64,
    /// Streams admitted.
    pub streams_admitted: u64,
    /// Requests refused before admission.
    pub refused: u64,
    /// Streams admitted by attempt: more than one only where a crash lay between.
    pub by_attempt: BTreeMap<AttemptId, u64>,
    /// Streams admitted by prompt.
    pub by_prompt: BTreeMap<String, u64>,
}

impl EngineCounters {
    /// Counts an admission, by attempt and by prompt.
    pub(super) fn admitted(&mut self, request: &StreamRequest) {
        self.streams_admitted += 1;
        *self.by_attempt.entry(request.attempt.clone()).or_default() += 1;
        *self.by_prompt.entry(request.prompt.clone()).or_default() += 1;
    }
}
