//! Assembles a complete answer from numbered chunks.
//!
//! Chunks may arrive late, duplicated, out of order, overlapping, or from a superseded attempt. The assembly
//! returns each token exactly once, in order, with the weight version reported for it. It never skips a gap:
//! the first missing token remains the next one to fetch until an engine sends it.

use std::collections::BTreeMap;

use crate::identity::{AttemptId, WeightVersion};
use crate::request::answer::{Answer, FinishReason, VersionSpan};

/// Most tokens buffered after a gap, which bounds the memory of one answer to this plus `max_tokens`.
pub const MAX_BUFFERED_TOKENS: usize = 1_024;

/// Contiguous tokens of an answer, as an engine sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Index of the first token, counted from 0 over the whole answer.
    pub first_token: u32,
    /// The tokens.
    pub tokens: Vec<u32>,
    /// The weight version that the engine reported with them.
    pub weight_version: WeightVersion,
}

/// How an accepted chunk was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It contained the next tokens.
    Advanced,
    /// All of its tokens had been received before.
    Duplicate,
    /// It is buffered until the tokens before it arrive.
    Buffered,
    /// It does not fit into the buffer: fetch again from [`Assembly::next_token`].
    TooFarAhead,
    /// It belongs to a superseded attempt.
    SupersededAttempt,
}

/// An engine sent data that contradicts what was received before. Nothing of the chunk was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssemblyError {
    /// A token was received twice with different values.
    #[error("token {token} was received twice with different values; abandon this attempt")]
    ConflictingToken {
        /// Index of the token.
        token: u32,
    },
    /// The answer exceeds the requested length.
    #[error("the engine sent {end} tokens but at most {max_tokens} were requested; abandon this attempt")]
    TooLong {
        /// End of the tokens that the engine sent, exclusive.
        end: u32,
        /// The requested limit.
        max_tokens: u32,
    },
    /// The engine reported an end that lies before tokens it has sent.
    #[error("the engine ended the answer at token {end} but sent tokens up to {token}; abandon this attempt")]
    BeyondEnd {
        /// Reported length of the answer.
        end: u32,
        /// End of the tokens that the engine sent, exclusive.
        token: u32,
    },
}

/// The partial answer of one request.
#[derive(Clone, Debug)]
pub struct Assembly {
    max_tokens: u32,
    attempt: Option<AttemptId>,
    tokens: Vec<u32>,
    spans: Vec<VersionSpan>,
    buffered: BTreeMap<u32, Chunk>,
    buffered_tokens: usize,
    end: Option<(u32, FinishReason)>,
    taken: u32,
}

impl Assembly {
    /// Creates an empty answer of at most `max_tokens`.
    pub const fn new(max_tokens: u32) -> Self {
        Self {
            max_tokens,
            attempt: None,
            tokens: Vec::new(),
            spans: Vec::new(),
            buffered: BTreeMap::new(),
            buffered_tokens: 0,
            end: None,
            taken: 0,
        }
    }

    /// Accepts only chunks of this attempt from now on. Keeps the contiguous tokens, after which the attempt
    /// has to continue, and discards the buffered ones, since a new attempt may generate different tokens.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
        self.buffered.clear();
        self.buffered_tokens = 0;
        self.end = None;
    }

    /// Returns the tokens received so far without a gap.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Returns the index of the first missing token, from which to resume.
    pub fn next_token(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Adds a chunk to the answer.
    ///
    /// # Errors
    /// Fails when the chunk contradicts what was received before. The attempt can no longer be trusted.
    pub fn accept(&mut self, attempt: &AttemptId, chunk: Chunk) -> Result<Acceptance, AssemblyError> {
        if self.attempt.as_ref() != Some(attempt) {
            return Ok(Acceptance::SupersededAttempt);
        }
        self.check_end(&chunk)?;
        self.check_overlap(&chunk)?;
        if chunk.first_token > self.next_token() {
            return Ok(self.buffer(chunk));
        }
        if !self.append(chunk) {
            return Ok(Acceptance::Duplicate);
        }
        self.append_buffered()?;
        Ok(Acceptance::Advanced)
    }

    /// Records the length of the answer as reported by the attempt. The answer is complete once every token
    /// up to there has been received.
    ///
    /// # Errors
    /// Fails when tokens beyond that length were received, or it exceeds `max_tokens`.
    pub fn finish(
        &mut self,
        attempt: &AttemptId,
        token_count: u32,
        finish_reason: FinishReason,
    ) -> Result<(), AssemblyError> {
        if self.attempt.as_ref() != Some(attempt) {
            return Ok(());
        }
        if token_count > self.max_tokens {
            return Err(AssemblyError::TooLong { end: token_count, max_tokens: self.max_tokens });
        }
        let furthest = self.furthest_token();
        if furthest > token_count {
            return Err(AssemblyError::BeyondEnd { end: token_count, token: furthest });
        }
        self.end = Some((token_count, finish_reason));
        Ok(())
    }

    /// Returns whether the length is known and every token has been received.
    pub fn is_complete(&self) -> bool {
        self.end.is_some_and(|(end, _)| end == self.next_token())
    }

    /// Returns whether tokens are missing before the reported end or before buffered chunks.
    pub fn has_gap(&self) -> bool {
        self.end.is_some() && !self.is_complete() || !self.buffered.is_empty()
    }

    /// Returns the contiguous tokens added since the last call, in order and split where the version changes.
    pub fn take_new(&mut self) -> Vec<Chunk> {
        let from = self.taken;
        self.taken = self.next_token();
        let fresh = self.spans.iter().filter(|span| span.first_token + span.token_count > from);
        fresh
            .map(|span| {
                let first_token = span.first_token.max(from);
                let end = span.first_token + span.token_count;
                let tokens = self.tokens[first_token as usize..end as usize].to_vec();
                Chunk { first_token, tokens, weight_version: span.weight_version }
            })
            .collect()
    }

    /// Returns the complete answer.
    ///
    /// # Errors
    /// Returns the assembly itself while the answer is incomplete.
    pub fn into_answer(self) -> Result<Answer, Box<Self>> {
        match self.end {
            Some((_, finish_reason)) if self.is_complete() => {
                Ok(Answer { tokens: self.tokens, spans: self.spans, finish_reason })
            }
            _ => Err(Box::new(self)),
        }
    }

    fn furthest_token(&self) -> u32 {
        let buffered_end = self.buffered.values().map(end_of).max();
        buffered_end.unwrap_or(0).max(self.next_token())
    }

    fn check_end(&self, chunk: &Chunk) -> Result<(), AssemblyError> {
        let end = end_of(chunk);
        if end > self.max_tokens {
            return Err(AssemblyError::TooLong { end, max_tokens: self.max_tokens });
        }
        match self.end {
            Some((last, _)) if end > last => Err(AssemblyError::BeyondEnd { end: last, token: end }),
            _ => Ok(()),
        }
    }

    fn check_overlap(&self, chunk: &Chunk) -> Result<(), AssemblyError> {
        let known = self.tokens.iter().enumerate().skip(chunk.first_token as usize);
        for ((number, known), sent) in known.zip(&chunk.tokens) {
            if known != sent {
                return Err(AssemblyError::ConflictingToken {
                    token: u32::try_from(number).unwrap_or(u32::MAX),
                });
            }
        }
        Ok(())
    }

    fn buffer(&mut self, chunk: Chunk) -> Acceptance {
        let known = self.buffered.get(&chunk.first_token).map_or(0, |earlier| earlier.tokens.len());
        if chunk.tokens.len() <= known {
            return Acceptance::Duplicate;
        }
        if self.buffered_tokens - known + chunk.tokens.len() > MAX_BUFFERED_TOKENS {
            return Acceptance::TooFarAhead;
        }
        self.buffered_tokens = self.buffered_tokens - known + chunk.tokens.len();
        self.buffered.insert(chunk.first_token, chunk);
        Acceptance::Buffered
    }

    /// Appends the new tokens of a chunk that begins at or before the next token. Returns whether there were
    /// any.
    fn append(&mut self, chunk: Chunk) -> bool {
        let next = self.next_token();
        let known = (next - chunk.first_token) as usize;
        if known >= chunk.tokens.len() {
            return false;
        }
        let fresh = &chunk.tokens[known..];
        let token_count = u32::try_from(fresh.len()).unwrap_or(u32::MAX);
        self.tokens.extend_from_slice(fresh);
        match self.spans.last_mut() {
            Some(last) if last.weight_version == chunk.weight_version => last.token_count += token_count,
            _ => self.spans.push(VersionSpan {
                weight_version: chunk.weight_version,
                first_token: next,
                token_count,
            }),
        }
        true
    }

    fn append_buffered(&mut self) -> Result<(), AssemblyError> {
        while let Some(entry) = self.buffered.first_entry() {
            if *entry.key() as usize > self.tokens.len() {
                break;
            }
            let chunk = entry.remove();
            self.buffered_tokens -= chunk.tokens.len();
            self.check_overlap(&chunk)?;
            self.append(chunk);
        }
        Ok(())
    }
}

fn end_of(chunk: &Chunk) -> u32 {
    chunk.first_token.saturating_add(u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX))
}
