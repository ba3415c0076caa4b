//! The stand-in engine over HTTP, with its faults.

use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::{AttemptId, PoolName, WeightVersion, ZoneName};
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::http::events::EventReader;
use lichenpulley_lab::engine::answer::is_whole_answer;
use lichenpulley_lab::engine::faults::{EngineCounters, EngineFault, WireFaults};
use lichenpulley_lab::engine::{Engine, EngineOptions, start};
use lichenpulley_protocol::caller::Priority;
use lichenpulley_protocol::engine::{LoadReport, RefusalBody, RefusalReason, StreamEvent, StreamRequest};

const DEADLINE: Duration = Duration::from_secs(30);
const MAX_TOKENS: u32 = 48;
const SEED: u64 = 3;

async fn engine() -> Engine {
    let mut options =
        EngineOptions::new("replica", PoolName::new("bench-assistant"), ZoneName::new("sando-hall"));
    options.model.step_time = Duration::from_millis(1);
    start(options).await.expect("loopback ports are free")
}

fn request(attempt: &str) -> StreamRequest {
    StreamRequest {
        attempt: AttemptId::new(attempt),
        prompt: attempt.to_owned(),
        prior_tokens: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: Priority::Live,
        seed: SEED,
    }
}

/// The events of one connection, and whether it ended as it should.
struct Events {
    events: Vec<StreamEvent>,
    whole: bool,
}

impl Events {
    /// Tokens by number, from whatever order they came in.
    fn tokens(&self) -> Vec<u32> {
        let mut numbered = std::collections::BTreeMap::new();
        for event in &self.events {
            if let StreamEvent::Tokens { first_token, tokens, .. } = event {
                numbered.extend((*first_token..).zip(tokens.iter().copied()));
            }
        }
        numbered.into_values().collect()
    }

    fn first_tokens(&self) -> Vec<u32> {
        let first = |event: &StreamEvent| match event {
            StreamEvent::Tokens { first_token, .. } => Some(*first_token),
            _ => None,
        };
        self.events.iter().filter_map(first).collect()
    }
}

async fn read_events(opened: Result<EventReader, ClientError>) -> Events {
    let mut reader = opened.expect("a stream");
    let mut events = Vec::new();
    loop {
        match reader.next().await {
            Ok(Some(event)) => events.push(event.json().expect("an event of the engine")),
            Ok(None) => return Events { events, whole: true },
            Err(_) => return Events { events, whole: false },
        }
    }
}

fn client() -> HttpClient {
    HttpClient::new(DEADLINE)
}

async fn open(engine: &Engine, request: &StreamRequest) -> Events {
    let opened = client().post_events(engine.address(), "/v1/streams", request, DEADLINE).await;
    read_events(opened).await
}

async fn resume(engine: &Engine, attempt: &str, from: u32) -> Events {
    let path = format!("/v1/streams/{attempt}?from={from}");
    read_events(client().get_events(engine.address(), &path, DEADLINE).await).await
}

#[tokio::test]
async fn a_stream_is_admitted_first_and_comes_whole() {
    let engine = engine().await;
    let events = open(&engine, &request("a")).await;
    assert!(matches!(events.events.first(), Some(StreamEvent::Admitted { .. })));
    assert!(matches!(events.events.last(), Some(StreamEvent::Finished { .. })));
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &events.tokens()));
}

#[tokio::test]
async fn a_broken_connection_resumes_by_token_number() {
    let engine = engine().await;
    let faults = WireFaults { drop_after_tokens: Some(5), ..WireFaults::default() };
    engine.inject(EngineFault::Wire(faults)).await;
    let mut part = open(&engine, &request("a")).await;
    let mut tokens = part.tokens();
    assert!(!part.whole);
    while !part.whole {
        part = resume(&engine, "a", tokens.len() as u32).await;
        tokens.extend(part.tokens());
    }
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &tokens));
    assert_eq!(engine.counters().streams_admitted, 1);
}

#[tokio::test]
async fn doubled_and_reordered_chunks_keep_their_numbers() {
    let engine = engine().await;
    let faults = WireFaults { duplicate_every: 3, reorder_every: 4, ..WireFaults::default() };
    engine.inject(EngineFault::Wire(faults)).await;
    let events = open(&engine, &request("a")).await;
    let numbers = events.first_tokens();
    assert!(numbers.windows(2).any(|pair| pair[0] == pair[1]), "none doubled: {numbers:?}");
    assert!(numbers.windows(2).any(|pair| pair[0] > pair[1]), "none out of order: {numbers:?}");
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &events.tokens()));
}

#[tokio::test]
async fn a_lost_admission_ran_all_the_same() {
    let engine = engine().await;
    engine.inject(EngineFault::Wire(WireFaults { drop_admissions: 1, ..WireFaults::default() })).await;
    let lost = client().post_events(engine.address(), "/v1/streams", &request("a"), DEADLINE).await;
    assert!(matches!(lost, Err(ClientError::NoAnswer { .. })));
    let counters = client().get_json(engine.faults_address(), "/faults/counters", DEADLINE).await;
    let counters: EngineCounters = counters.expect("counters");
    assert_eq!(counters.by_attempt[&AttemptId::new("a")], 1);
    let events = resume(&engine, "a", 0).await;
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &events.tokens()));
}

#[tokio::test]
async fn a_crash_breaks_streams_and_starts_the_next_incarnation() {
    let engine = engine().await;
    let slow = EngineFault::SlowSteps { percent: 100_000 };
    engine.inject(slow).await;
    let running = request("a");
    let stream = open(&engine, &running);
    let crash = async {
        while engine.counters().streams_admitted == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        engine.inject(EngineFault::Crash { down_ms: 10, weight_version: Some(WeightVersion(9)) }).await;
    };
    let (events, ()) = tokio::join!(stream, crash);
    assert!(!events.whole);
    let load = client().get_json(engine.address(), "/v1/load", DEADLINE).await;
    let load: LoadReport = load.expect("it is back");
    assert_eq!((load.incarnation, load.weight_version), (2, Some(WeightVersion(9))));
    let gone = client().get_events(engine.address(), "/v1/streams/a", DEADLINE).await;
    assert_eq!(gone.expect_err("forgotten").status(), Some(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn a_refusal_is_said_before_admission_and_counted() {
    let engine = engine().await;
    let refuse = EngineFault::RefuseAll { refuse: true };
    let taken = client().put_json(engine.faults_address(), "/faults", &refuse, DEADLINE).await;
    assert_eq!(taken.ok(), Some(refuse));
    let refused = client().post_events(engine.address(), "/v1/streams", &request("a"), DEADLINE).await;
    let refused = refused.expect_err("refused");
    assert_eq!(refused.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(refused.body::<RefusalBody>().map(|refusal| refusal.reason), Some(RefusalReason::Overloaded));
    let counters = engine.counters();
    assert_eq!((counters.refused, counters.streams_admitted), (1, 0));
}
