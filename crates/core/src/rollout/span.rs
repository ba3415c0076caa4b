//! Which weights produced which tokens (brief point 1).
//!
//! Owns the checks that the spans of an answer cover each of its tokens once. Relies on the engine for the version of each
//! span; a sample whose spans fail the checks is not handed to a trainer.

use crate::identity::WeightVersion;
use crate::request::answer::VersionSpan;

/// Why spans can't stand for a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpanError {
    /// A span does not follow the one before.
    #[error("expected token {expected}, got {first_token}; discard the attempt and run another")]
    NotContiguous {
        /// The token that should have come.
        expected: u32,
        /// The token that came.
        first_token: u32,
    },
    /// The spans cover another number of tokens than there are.
    #[error("the spans cover {covered} tokens of {tokens}; discard the attempt and run another")]
    Coverage {
        /// Tokens covered.
        covered: u32,
        /// Tokens there are.
        tokens: usize,
    },
    /// There is nothing to train on.
    #[error("the answer has no tokens; discard the attempt and run another")]
    Empty,
}

/// Checks that spans cover each of `tokens` tokens exactly once, in order.
///
/// # Errors
/// When there are no tokens, or a token is covered by no span or by two.
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

/// The oldest version among spans; `None` where there are none.
pub(crate) fn oldest_version(spans: &[VersionSpan]) -> Option<WeightVersion> {
    spans.iter().map(|span| span.weight_version).min()
}
