//! The engine as a state machine, on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, Epoch, ReplicaId, ShardId, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_lab::engine::answer::{Answer, is_whole_answer};
use lichenpulley_lab::engine::model::{EngineConfig, EngineModel, Submission, SubmitError};
use lichenpulley_lab::engine::{End, Slice};
use lichenpulley_protocol::caller::{FinishReason, Priority};
use lichenpulley_protocol::engine::{
    Command, EngineRole, Order, RefusalReason, StreamRequest, prefix_hashes,
};
use proptest::prelude::*;

const MAX_TOKENS: u32 = 64;

fn request(attempt: &str, priority: Priority) -> StreamRequest {
    StreamRequest {
        attempt: AttemptId::new(attempt),
        prompt: format!("prompt of {attempt}"),
        prior_tokens: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority,
        seed: 7,
    }
}

fn config() -> EngineConfig {
    EngineConfig { capacity: 2, queue_limit: 4, ..EngineConfig::new(ReplicaId::new("replica")) }
}

fn model() -> EngineModel {
    EngineModel::new(config(), 1, WeightVersion(1))
}

fn order(epoch: u64, command: Command) -> Order {
    Order { shard: ShardId::new("weights/pool"), epoch: Epoch(epoch), command }
}

/// Advances until nothing is due any more; gives the time at which that was.
fn run_out(model: &mut EngineModel) -> Timestamp {
    let mut now = Timestamp::ORIGIN;
    while let Some(wake) = model.next_wake() {
        now = wake;
        model.advance(now);
    }
    now
}

fn tokens(slice: &Slice) -> Vec<u32> {
    slice.runs.iter().flat_map(|run| run.tokens.clone()).collect()
}

#[test]
fn an_answer_is_whole_and_verifiable() {
    let mut model = model();
    let request = request("a", Priority::Live);
    assert_eq!(model.submit(Timestamp::ORIGIN, &request), Ok(Submission::Admitted));
    run_out(&mut model);
    let slice = model.read(&request.attempt, 0).expect("the stream is kept");
    assert!(is_whole_answer(&request.prompt, request.seed, MAX_TOKENS, &tokens(&slice)));
    assert!(matches!(slice.end, Some(End::Finished(_))));
}

#[test]
fn a_repeated_attempt_attaches_and_a_cancelled_one_never_starts_again() {
    let mut model = model();
    let request = request("a", Priority::Live);
    assert_eq!(model.submit(Timestamp::ORIGIN, &request), Ok(Submission::Admitted));
    assert_eq!(model.submit(Timestamp::ORIGIN, &request), Ok(Submission::Attached));
    assert!(model.cancel(Timestamp::ORIGIN, &request.attempt));
    let repeated = model.submit(Timestamp::ORIGIN, &request);
    assert_eq!(repeated, Err(SubmitError::AttemptUsed(request.attempt.clone())));
    assert_eq!(model.read(&request.attempt, 0), None);
}

#[test]
fn live_requests_leave_the_queue_first() {
    let mut model = model();
    for rollout in ["r1", "r2", "r3"] {
        model.submit(Timestamp::ORIGIN, &request(rollout, Priority::Rollout)).expect("admitted");
    }
    model.submit(Timestamp::ORIGIN, &request("live", Priority::Live)).expect("admitted");
    let mut first_tokens = BTreeMap::new();
    while let Some(now) = model.next_wake() {
        model.advance(now);
        for attempt in ["r3", "live"] {
            let slice = model.read(&AttemptId::new(attempt), 0).expect("kept");
            if !slice.runs.is_empty() {
                first_tokens.entry(attempt).or_insert(now);
            }
        }
    }
    assert!(first_tokens["live"] < first_tokens["r3"], "first tokens: {first_tokens:?}");
}

#[test]
fn a_full_queue_refuses_before_admission() {
    let mut model = model();
    // One takes a place in the batch at once, four wait; the next step would move one more.
    for number in 0..5 {
        let outcome = model.submit(Timestamp::ORIGIN, &request(&number.to_string(), Priority::Rollout));
        assert_eq!(outcome, Ok(Submission::Admitted), "request {number}");
    }
    let outcome = model.submit(Timestamp::ORIGIN, &request("surplus", Priority::Rollout));
    assert_eq!(outcome, Err(SubmitError::Refused(RefusalReason::Overloaded)));
}

#[test]
fn tokens_name_the_weights_that_produced_them_through_a_swap() {
    let mut model = model();
    let request = request("a", Priority::Live);
    model.submit(Timestamp::ORIGIN, &request).expect("admitted");
    for _ in 0..3 {
        let wake = model.next_wake().expect("a step is due");
        model.advance(wake);
    }
    let now = model.next_wake().expect("a step is due");
    let load = Command::LoadWeights { weight_version: WeightVersion(2) };
    model.order(now, &order(1, load)).expect("the first order of the shard");
    assert_eq!(model.wanted_weights(), Some(WeightVersion(2)));
    model.weights_fetched(now, WeightVersion(2));
    assert_eq!(model.present_load(now).weight_version, None);
    run_out(&mut model);
    let slice = model.read(&request.attempt, 0).expect("kept");
    let runs: Vec<_> = slice.runs.iter().map(|run| (run.weight_version.0, run.first_token)).collect();
    assert_eq!(runs, [(1, 0), (2, 3)]);
    assert!(is_whole_answer(&request.prompt, request.seed, MAX_TOKENS, &tokens(&slice)));
}

#[test]
fn a_swap_that_fails_leaves_no_weights_until_another_works() {
    let mut model = model();
    let running = request("a", Priority::Live);
    model.submit(Timestamp::ORIGIN, &running).expect("admitted");
    model.fail_next_swap();
    let load = |version| Command::LoadWeights { weight_version: WeightVersion(version) };
    model.order(Timestamp::ORIGIN, &order(1, load(2))).expect("accepted");
    model.weights_fetched(Timestamp::ORIGIN, WeightVersion(2));
    let now = run_out(&mut model);
    assert_eq!(model.present_load(now).weight_version, None);
    let refused = model.submit(now, &request("b", Priority::Live));
    assert_eq!(refused, Err(SubmitError::Refused(RefusalReason::NoWeights)));
    let slice = model.read(&running.attempt, 0).expect("kept");
    assert!(matches!(slice.end, Some(End::Failed(_))));
    model.order(now, &order(1, load(2))).expect("accepted");
    model.weights_fetched(now, WeightVersion(2));
    let now = run_out(&mut model);
    assert_eq!(model.present_load(now).weight_version, Some(WeightVersion(2)));
    assert_eq!(model.submit(now, &request("b", Priority::Live)), Ok(Submission::Admitted));
}

#[test]
fn an_order_below_the_highest_epoch_is_refused() {
    let mut model = model();
    let drain = Command::ChangeRole { role: EngineRole::Draining };
    let serve = Command::ChangeRole { role: EngineRole::Serving };
    model.order(Timestamp::ORIGIN, &order(5, drain)).expect("accepted");
    let refused = model.order(Timestamp::ORIGIN, &order(4, serve)).expect_err("fenced");
    assert_eq!(refused.highest_epoch, Epoch(5));
    let outcome = model.submit(Timestamp::ORIGIN, &request("a", Priority::Live));
    assert_eq!(outcome, Err(SubmitError::Refused(RefusalReason::Draining)));
}

#[test]
fn a_cached_prefix_saves_prefill_and_load_lags() {
    let long_prompt = "x".repeat(64 * 64);
    assert_eq!(prefix_hashes(&long_prompt).count(), 64);
    let mut model = model();
    let mut first = request("a", Priority::Live);
    first.prompt.clone_from(&long_prompt);
    model.submit(Timestamp::ORIGIN, &first).expect("admitted");
    assert_eq!(model.lagging_load(Timestamp::from_millis(1)).running, 0);
    let cold_end = run_out(&mut model);
    let mut second = first.clone();
    second.attempt = AttemptId::new("b");
    model.submit(cold_end, &second).expect("admitted");
    let warm = run_out(&mut model).saturating_since(cold_end);
    let cold = cold_end.saturating_since(Timestamp::ORIGIN);
    assert!(warm < cold, "cold {cold:?}, warm {warm:?}");
    let published = model.cache_events(cold_end + Duration::from_secs(2), 0).events;
    let unpublished = model.cache_events(Timestamp::from_millis(1), 0).events;
    assert!(unpublished.is_empty());
    assert!(published.len() < 64, "some events are lost");
}

#[test]
fn lengths_are_long_tailed() {
    let lengths = (0..10_000).map(|seed| Answer::of("prompt", seed).token_count(u32::MAX));
    let mut lengths: Vec<u32> = lengths.collect();
    lengths.sort_unstable();
    let (median, high) = (lengths[5_000], lengths[9_900]);
    assert!((20..40).contains(&median), "median {median}");
    assert!(high > 10 * median, "99th percentile {high}");
    assert_eq!(Answer::of("prompt", 1).finish_reason(1), FinishReason::Length);
}

proptest! {
    #[test]
    fn any_resumption_sees_every_token_once(cuts in proptest::collection::vec(0_u32..MAX_TOKENS, 0..6)) {
        let mut model = model();
        let request = request("a", Priority::Live);
        model.submit(Timestamp::ORIGIN, &request).expect("admitted");
        run_out(&mut model);
        let whole = tokens(&model.read(&request.attempt, 0).expect("kept"));
        for from in cuts {
            let slice = model.read(&request.attempt, from);
            let expected = whole.get(from as usize..).map(<[u32]>::to_vec);
            prop_assert_eq!(slice.as_ref().map(tokens), expected);
        }
    }

    #[test]
    fn generation_goes_on_after_any_prior_tokens(
        seed in 0_u64..1_000,
        known in 0_usize..MAX_TOKENS as usize,
    ) {
        let mut request = request("a", Priority::Live);
        request.seed = seed;
        let answer = Answer::of(&request.prompt, seed).tokens(MAX_TOKENS);
        request.prior_tokens = answer[..known.min(answer.len())].to_vec();
        let mut model = model();
        model.submit(Timestamp::ORIGIN, &request).expect("admitted");
        run_out(&mut model);
        let first = request.prior_tokens.len() as u32;
        let rest = tokens(&model.read(&request.attempt, first).expect("kept"));
        prop_assert_eq!([request.prior_tokens, rest].concat(), answer);
    }
}
