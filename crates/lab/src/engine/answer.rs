//! What the stand-in engine answers: a pure function of prompt and seed, so that any checker can verify a whole
//! answer. It does not depend on the weights: an answer that spans a weight change verifies all the same.

use lichenpulley_protocol::caller::FinishReason;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens lie below this number.
pub const VOCABULARY: u32 = 32_000;
/// The shortest answer, in tokens.
const SHORTEST: f64 = 16.0;
/// The longest answer, in tokens.
const MAX_LENGTH: f64 = 4_096.0;
/// The exponent of the Pareto distribution of lengths: the lower, the heavier the tail. With 1.3 the median is 27
/// tokens, the 99th percentile 553.
const TAIL_EXPONENT: f64 = 1.3;

/// The answer to one prompt under one seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    key: u64,
    length: u32,
}

impl Answer {
    /// The answer to `prompt` under `seed`.
    pub fn of(prompt: &str, seed: u64) -> Self {
        let key = xxh3_64_with_seed(prompt.as_bytes(), seed);
        Self { key, length: long_tailed_length(key) }
    }

    /// The token at `index`.
    pub fn token(&self, index: u32) -> u32 {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.key);
        (hash % u64::from(VOCABULARY)) as u32
    }

    /// Tokens when at most `max_tokens` may be generated.
    pub fn token_count(&self, max_tokens: u32) -> u32 {
        self.length.min(max_tokens)
    }

    /// Why it ends when at most `max_tokens` may be generated.
    pub fn finish_reason(&self, max_tokens: u32) -> FinishReason {
        if self.length <= max_tokens { FinishReason::Stop } else { FinishReason::Length }
    }

    /// All its tokens.
    pub fn tokens(&self, max_tokens: u32) -> Vec<u32> {
        (0..self.token_count(max_tokens)).map(|index| self.token(index)).collect()
    }

    /// Whether `tokens` are the first tokens of this answer.
    pub fn starts_with(&self, tokens: &[u32]) -> bool {
        tokens.iter().zip(0..).all(|(token, index)| *token == self.token(index))
    }
}

/// Whether `tokens` are the whole answer to `prompt` under `seed`.
pub fn is_whole_answer(prompt: &str, seed: u64, max_tokens: u32, tokens: &[u32]) -> bool {
    let answer = Answer::of(prompt, seed);
    tokens.len() == answer.token_count(max_tokens) as usize && answer.starts_with(tokens)
}

/// A Pareto-distributed length drawn by inverting the distribution at the key.
fn long_tailed_length(key: u64) -> u32 {
    let hash = xxh3_64_with_seed(b"length", key);
    let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    let length = SHORTEST * uniform.powf(-1.0 / TAIL_EXPONENT);
    length.min(MAX_LENGTH) as u32
}
