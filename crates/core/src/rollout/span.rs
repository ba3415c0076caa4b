//! Checks that the version spans of a sample cover each of its tokens exactly once.
//!
//! The engine reports the version of each span. A sample that fails the check is not handed to a trainer.

use crate::identity::WeightVersion;
use crate::request::answer::VersionSpan;

/// Why the spans of a sample are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpanError {
    /// A span does not start where the previous one ends.
    #[error("expected token {expected}, got {first_token}; discard the attempt and run another")]
    NotContiguous {
        /// Expected first token of the span.
        expected: u32,
        /// Actual first token of the span.
        first_token: u32,
    },
    /// The number of covered tokens differs from the sample's length.
    #[error("the spans cover {covered} tokens of {tokens}; discard the attempt and run another")]
    Coverage {
        /// Number of covered tokens.
        covered: u32,
        /// Number of tokens in the sample.
        tokens: usize,
    },
    /// The sample has no tokens.
    #[error("the answer has no tokens; discard the attempt and run another")]
    Empty,
}

/// Checks that spans cover each of `tokens` tokens exactly once, in order.
///
/// # Errors
/// Fails when there are no tokens, or a token is covered by no span or by more than one.
pub(crate) fn check_coverage(spans: &[VersionSpan], tokens: usize) -> Result<(), SpanError> {
    if tokens == 0 {
        return Err(SpanError::Empty);
    }
    let mut covered = 0;
    for span in spans {
        if span.first_token != covered {
            return Err(SpanError::NotContiguous { expected: covered, first_token: span.first_token });
        }
        covered = span.first_token.saturating_add(span.token_count);
    }
    if covered as usize != tokens {
        return Err(SpanError::Coverage { covered, tokens });
    }
    Ok(())
}

/// Returns the oldest version among the spans, or `None` without spans.
pub(crate) fn oldest_version(spans: &[VersionSpan]) -> Option<WeightVersion> {
    spans.iter().map(|span| span.weight_version).min()
}
