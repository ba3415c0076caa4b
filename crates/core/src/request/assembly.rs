//! Puts the whole answer together from numbered chunks (brief points 1 and 4).
//!
//! Chunks may come late, twice, out of order, overlapping, or from an attempt that has been superseded. What
//! is handed on is always the answer's next tokens, each once, with the version reported for it. A gap is
//! never passed over: it stays the next token wanted until an engine fills it.

use std::collections::BTreeMap;

use crate::identity::{AttemptId, WeightVersion};
use crate::request::answer::{Answer, FinishReason, VersionSpan};

/// Tokens that are held while those before them are missing. Bounds the memory of one answer to this and
/// `max_tokens`. Chosen, not measured: fewer fetch again what came out of order.
pub const AHEAD_LIMIT_TOKENS: usize = 1_024;

/// Some tokens of an answer, as an engine sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Number of the first token, counted from 0 over the whole answer.
    pub first_token: u32,
    /// The tokens.
    pub tokens: Vec<u32>,
    /// The weights that produced them, as the engine reported.
    pub weight_version: WeightVersion,
}

/// What became of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It brought the next tokens.
    Advanced,
    /// All of it was known already.
    Duplicate,
    /// It is held until the tokens before it come.
    Held,
    /// It lies too far ahead to be held: fetch again from [`Assembly::next_token`].
    TooFarAhead,
    /// It belongs to an attempt that has been superseded.
    FromEarlierAttempt,
}

/// Why an answer can't be made whole from what an engine sent. Nothing of the chunk was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssemblyError {
    /// A token that came twice differs.
    #[error("token {token} came twice and differs; give this attempt up")]
    Contradiction {
        /// Its number.
        token: u32,
    },
    /// The answer is longer than asked for.
    #[error("the engine sent {end} tokens where at most {max_tokens} were asked for; give this attempt up")]
    TooLong {
        /// The end of what the engine sent.
        end: u32,
        /// What was asked for.
        max_tokens: u32,
    },
    /// The engine says that the answer ends before tokens that it has sent.
    #[error("the engine ended the answer at token {end} and sent token {token}; give this attempt up")]
    BeyondEnd {
        /// Where it ended the answer.
        end: u32,
        /// The last token it sent.
        token: u32,
    },
}

/// The answer of one request while it comes in.
#[derive(Clone, Debug)]
pub struct Assembly {
    max_tokens: u32,
    attempt: Option<AttemptId>,
    tokens: Vec<u32>,
    spans: Vec<VersionSpan>,
    ahead: BTreeMap<u32, Chunk>,
    ahead_tokens: usize,
    end: Option<(u32, FinishReason)>,
    taken: u32,
}

impl Assembly {
    /// An answer of at most `max_tokens`, of which nothing has come.
    pub const fn new(max_tokens: u32) -> Self {
        Self {
            max_tokens,
            attempt: None,
            tokens: Vec::new(),
            spans: Vec::new(),
            ahead: BTreeMap::new(),
            ahead_tokens: 0,
            end: None,
            taken: 0,
        }
    }

    /// Takes chunks of this attempt only from now on. What is contiguous is kept, and the attempt has to go
    /// on after it; what was held ahead is dropped, since another attempt may continue otherwise.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
        self.ahead.clear();
        self.ahead_tokens = 0;
        self.end = None;
    }

    /// The tokens that came so far without a gap.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Number of the first token that is missing: where to resume from.
    pub fn next_token(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Takes a chunk.
    ///
    /// # Errors
    /// When it contradicts what is known. The attempt can't be trusted any further.
    pub fn accept(&mut self, attempt: &AttemptId, chunk: Chunk) -> Result<Acceptance, AssemblyError> {
        if self.attempt.as_ref() != Some(attempt) {
            return Ok(Acceptance::FromEarlierAttempt);
        }
        self.check_end(&chunk)?;
        self.check_overlap(&chunk)?;
        if chunk.first_token > self.next_token() {
            return Ok(self.hold(chunk));
        }
        if !self.append(chunk) {
            return Ok(Acceptance::Duplicate);
        }
        self.append_held()?;
        Ok(Acceptance::Advanced)
    }

    /// Notes where the attempt says the answer ends. The answer is whole only once every token up to there
    /// has come.
    ///
    /// # Errors
    /// When tokens beyond that end have come, or it lies beyond `max_tokens`.
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

    /// Whether the end is known and every token before it has come.
    pub fn is_whole(&self) -> bool {
        self.end.is_some_and(|(end, _)| end == self.next_token())
    }

    /// Whether the end is known and tokens before it are missing.
    pub fn has_gap(&self) -> bool {
        self.end.is_some() && !self.is_whole() || !self.ahead.is_empty()
    }

    /// The tokens that were not taken before, cut at changes of version, in order and without gaps.
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

    /// The whole answer.
    ///
    /// # Errors
    /// Gives itself back while the answer is not whole: a short answer is never passed off as one.
    pub fn into_answer(self) -> Result<Answer, Box<Self>> {
        match self.end {
            Some((_, finish_reason)) if self.is_whole() => {
                Ok(Answer { tokens: self.tokens, spans: self.spans, finish_reason })
            }
            _ => Err(Box::new(self)),
        }
    }

    fn furthest_token(&self) -> u32 {
        let held = self.ahead.values().map(end_of).max();
        held.unwrap_or(0).max(self.next_token())
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
                return Err(AssemblyError::Contradiction {
                    token: u32::try_from(number).unwrap_or(u32::MAX),
                });
            }
        }
        Ok(())
    }

    fn hold(&mut self, chunk: Chunk) -> Acceptance {
        let known = self.ahead.get(&chunk.first_token).map_or(0, |held| held.tokens.len());
        if chunk.tokens.len() <= known {
            return Acceptance::Duplicate;
        }
        if self.ahead_tokens - known + chunk.tokens.len() > AHEAD_LIMIT_TOKENS {
            return Acceptance::TooFarAhead;
        }
        self.ahead_tokens = self.ahead_tokens - known + chunk.tokens.len();
        self.ahead.insert(chunk.first_token, chunk);
        Acceptance::Held
    }

    /// Appends what of the chunk is new. The chunk begins at or before the next token.
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

    fn append_held(&mut self) -> Result<(), AssemblyError> {
        while let Some(entry) = self.ahead.first_entry() {
            if *entry.key() as usize > self.tokens.len() {
                break;
            }
            let chunk = entry.remove();
            self.ahead_tokens -= chunk.tokens.len();
            self.check_overlap(&chunk)?;
            self.append(chunk);
        }
        Ok(())
    }
}

fn end_of(chunk: &Chunk) -> u32 {
    chunk.first_token.saturating_add(u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX))
}
