//! One stream of the engine: numbered tokens, each with the weights that produced it, kept for replay.

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_protocol::caller::{FinishReason, VersionSpan};
use lichenpulley_protocol::engine::StreamRequest;

use super::answer::Answer;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Finished(FinishReason),
    /// The engine gave it up.
    Failed(String),
}

/// Where a stream stands in the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a place.
    Queued {
        /// Steps of prefill before the first token.
        prefill_steps: u32,
    },
    /// In the batch.
    Running {
        /// Steps of prefill to go before the first token.
        prefill_steps: u32,
    },
    /// Nothing follows.
    Ended,
}

/// Tokens of a stream from some number on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slice {
    /// Runs of tokens by weights, in order.
    pub runs: Vec<TokenRun>,
    /// Set where nothing follows these tokens.
    pub end: Option<End>,
}

/// Tokens that one weight version produced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRun {
    /// Number of the first token.
    pub first_token: u32,
    /// The tokens.
    pub tokens: Vec<u32>,
    /// The weights.
    pub weight_version: WeightVersion,
}

/// A stream. Its tokens are a pure function of their number, so the ring holds numbers and versions only.
#[derive(Debug)]
pub struct Stream {
    answer: Answer,
    /// Where it stands.
    pub stage: Stage,
    /// How it ended.
    pub end: Option<End>,
    max_tokens: u32,
    next_token: u32,
    spans: Vec<VersionSpan>,
}

impl Stream {
    /// A queued stream that goes on after the request's prior tokens.
    pub fn new(request: &StreamRequest, answer: Answer) -> Self {
        let next_token = u32::try_from(request.prior_tokens.len()).unwrap_or(u32::MAX);
        Self {
            answer,
            stage: Stage::Queued { prefill_steps: 0 },
            end: None,
            max_tokens: request.max_tokens,
            next_token,
            spans: Vec::new(),
        }
    }

    /// Number of the token that comes next; the count of tokens once the stream has finished.
    pub const fn next_token(&self) -> u32 {
        self.next_token
    }

    /// The stream has a place in the batch.
    pub const fn start(&mut self) {
        if let Stage::Queued { prefill_steps } = self.stage {
            self.stage = Stage::Running { prefill_steps };
        }
    }

    /// Does one step of prefill; false where none is left.
    pub const fn prefill(&mut self) -> bool {
        match &mut self.stage {
            Stage::Running { prefill_steps } if *prefill_steps > 0 => {
                *prefill_steps -= 1;
                true
            }
            _ => false,
        }
    }

    /// Ends the answer whole.
    pub fn finish(&mut self) {
        self.end = Some(End::Finished(self.answer.finish_reason(self.max_tokens)));
        self.stage = Stage::Ended;
    }

    /// Gives the stream up.
    pub fn fail(&mut self, reason: &str) {
        self.end = Some(End::Failed(reason.to_owned()));
        self.stage = Stage::Ended;
    }

    /// Generates one token; true where it was the last.
    pub fn generate(&mut self, weight_version: WeightVersion) -> bool {
        if self.next_token < self.answer.token_count(self.max_tokens) {
            self.append(weight_version);
        }
        self.next_token >= self.answer.token_count(self.max_tokens)
    }

    /// Tokens from number `from` on; `None` where they came with the request or are of the future.
    pub fn read(&self, from: u32) -> Option<Slice> {
        let first_kept = self.spans.first().map_or(self.next_token, |span| span.first_token);
        if from < first_kept || from > self.next_token {
            return None;
        }
        let runs = self.spans.iter().filter_map(|span| self.run_of(span, from)).collect();
        Some(Slice { runs, end: self.end.clone() })
    }

    fn run_of(&self, span: &VersionSpan, from: u32) -> Option<TokenRun> {
        let first_token = span.first_token.max(from);
        let end = span.first_token + span.token_count;
        if first_token >= end {
            return None;
        }
        let tokens = (first_token..end).map(|index| self.answer.token(index)).collect();
        Some(TokenRun { first_token, tokens, weight_version: span.weight_version })
    }

    fn append(&mut self, weight_version: WeightVersion) {
        match self.spans.last_mut() {
            Some(span) if span.weight_version == weight_version => span.token_count += 1,
            _ => {
                self.spans.push(VersionSpan { weight_version, first_token: self.next_token, token_count: 1 })
            }
        }
        self.next_token += 1;
    }
}
