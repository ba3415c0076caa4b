//! Assembly of answers from chunks that are duplicated, out of order or from different attempts.

use lichenpulley_core::identity::{AttemptId, WeightVersion};
use lichenpulley_core::request::answer::{FinishReason, VersionSpan};
use lichenpulley_core::request::assembly::{Acceptance, Assembly, AssemblyError, Chunk, MAX_BUFFERED_TOKENS};
use proptest::prelude::*;

const MAX_TOKENS: u32 = 200;
/// Index of the first token that version 2 generated; version 1 generated those before.
const VERSION_CHANGE: u32 = 40;

fn token(number: u32) -> u32 {
    number * 7 + 3
}

fn version(number: u32) -> WeightVersion {
    WeightVersion(if number < VERSION_CHANGE { 1 } else { 2 })
}

/// Splits an answer into chunks of at most `size` tokens, each of one version.
fn chunks(length: u32, size: u32) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    let mut first = 0;
    while first < length {
        let end = (first + size).min(length);
        let end = if version(first) == version(end - 1) { end } else { VERSION_CHANGE };
        let tokens = (first..end).map(token).collect();
        chunks.push(Chunk { first_token: first, tokens, weight_version: version(first) });
        first = end;
    }
    chunks
}

fn chunk(first_token: u32, tokens: &[u32], weight_version: u64) -> Chunk {
    Chunk { first_token, tokens: tokens.to_vec(), weight_version: WeightVersion(weight_version) }
}

fn assembly_of(attempt: &AttemptId, max_tokens: u32) -> Assembly {
    let mut assembly = Assembly::new(max_tokens);
    assembly.begin(attempt.clone());
    assembly
}

proptest! {
    #[test]
    fn chunks_in_any_order_with_duplicates_give_the_complete_answer(
        length in 1..MAX_TOKENS,
        size in 1_u32..20,
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..200),
        end_at in any::<prop::sample::Index>(),
    ) {
        let attempt = AttemptId::new("a.1");
        let chunks = chunks(length, size);
        let mut assembly = assembly_of(&attempt, MAX_TOKENS);
        let mut taken = Vec::new();
        let mut arrivals: Vec<&Chunk> = order.iter().map(|index| index.get(&chunks)).collect();
        arrivals.extend(&chunks);
        let end_at = end_at.index(arrivals.len());
        for (position, arrival) in arrivals.into_iter().enumerate() {
            if position == end_at {
                assembly.finish(&attempt, length, FinishReason::Stop).expect("a valid end");
            }
            assembly.accept(&attempt, arrival.clone()).expect("a valid chunk");
            for fresh in assembly.take_new() {
                prop_assert_eq!(fresh.first_token as usize, taken.len());
                taken.extend(fresh.tokens);
            }
        }
        let answer = assembly.into_answer().expect("a complete answer");
        let expected: Vec<u32> = (0..length).map(token).collect();
        prop_assert_eq!(&answer.tokens, &expected);
        prop_assert_eq!(&taken, &expected);
        let mut next = 0;
        for span in &answer.spans {
            prop_assert_eq!(span.first_token, next);
            next += span.token_count;
            for number in span.first_token..next {
                prop_assert_eq!(span.weight_version, version(number));
            }
        }
        prop_assert_eq!(next, length);
    }

    #[test]
    fn an_answer_with_a_gap_is_never_complete(
        length in 2..MAX_TOKENS,
        size in 1_u32..20,
        missing in any::<prop::sample::Index>(),
    ) {
        let attempt = AttemptId::new("a.1");
        let mut chunks = chunks(length, size);
        chunks.remove(missing.index(chunks.len()));
        let mut assembly = assembly_of(&attempt, MAX_TOKENS);
        for chunk in chunks {
            assembly.accept(&attempt, chunk).expect("a valid chunk");
        }
        assembly.finish(&attempt, length, FinishReason::Stop).expect("a valid end");
        prop_assert!(assembly.has_gap());
        prop_assert!(assembly.into_answer().is_err());
    }

    #[test]
    fn the_buffer_is_bounded_and_dropped_chunks_can_be_fetched_again(size in 1_u32..50) {
        let attempt = AttemptId::new("a.1");
        let limit = u32::try_from(MAX_BUFFERED_TOKENS).expect("the limit fits into u32");
        let length = limit * 2;
        let mut assembly = assembly_of(&attempt, length);
        let chunks = chunks(length, size);
        let mut dropped = 0;
        for ahead in &chunks[1..] {
            let acceptance = assembly.accept(&attempt, ahead.clone()).expect("a valid chunk");
            dropped += usize::from(acceptance == Acceptance::TooFarAhead);
        }
        prop_assert!(dropped > 0);
        assembly.accept(&attempt, chunks[0].clone()).expect("a valid chunk");
        prop_assert!(assembly.next_token() <= limit + size);
        for again in &chunks {
            assembly.accept(&attempt, again.clone()).expect("a valid chunk");
        }
        assembly.finish(&attempt, length, FinishReason::Length).expect("a valid end");
        prop_assert!(assembly.is_complete());
    }
}

#[test]
fn a_later_attempt_continues_and_chunks_of_the_earlier_one_are_ignored() {
    let (first, second) = (AttemptId::new("a.1"), AttemptId::new("a.2"));
    let mut assembly = assembly_of(&first, MAX_TOKENS);
    assembly.accept(&first, chunk(0, &[10, 11], 1)).expect("a chunk");
    assembly.accept(&first, chunk(4, &[14], 1)).expect("a chunk after a gap");
    assembly.begin(second.clone());
    let late = assembly.accept(&first, chunk(2, &[99, 99], 1));
    assert_eq!(late, Ok(Acceptance::SupersededAttempt));
    assembly.accept(&second, chunk(2, &[12, 13], 2)).expect("a chunk");
    assembly.finish(&first, 2, FinishReason::Stop).expect("ignored");
    assert!(!assembly.is_complete());
    assembly.finish(&second, 4, FinishReason::Stop).expect("the end");
    let answer = assembly.into_answer().expect("a complete answer");
    assert_eq!(answer.tokens, [10, 11, 12, 13]);
    let span = |first_token, version| VersionSpan {
        weight_version: WeightVersion(version),
        first_token,
        token_count: 2,
    };
    assert_eq!(answer.spans, [span(0, 1), span(2, 2)]);
}

#[test]
fn contradictory_chunks_are_errors() {
    let attempt = AttemptId::new("a.1");
    let mut assembly = assembly_of(&attempt, MAX_TOKENS);
    assembly.accept(&attempt, chunk(0, &[1, 2], 1)).expect("a chunk");
    let differs = assembly.accept(&attempt, chunk(1, &[3], 1));
    assert_eq!(differs, Err(AssemblyError::ConflictingToken { token: 1 }));
    let short = assembly.finish(&attempt, 1, FinishReason::Stop);
    assert_eq!(short, Err(AssemblyError::BeyondEnd { end: 1, token: 2 }));
    let too_long = assembly.accept(&attempt, chunk(MAX_TOKENS, &[1], 1));
    assert_eq!(too_long, Err(AssemblyError::TooLong { end: MAX_TOKENS + 1, max_tokens: MAX_TOKENS }));
    assembly.finish(&attempt, 2, FinishReason::Stop).expect("the end");
    let beyond = assembly.accept(&attempt, chunk(2, &[5], 1));
    assert_eq!(beyond, Err(AssemblyError::BeyondEnd { end: 2, token: 3 }));
}
