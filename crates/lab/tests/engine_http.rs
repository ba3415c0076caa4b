//! The stand-in engine over HTTP, with its faults.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use lichenpulley_core::identity::{AttemptId, PoolName, WeightVersion, ZoneName};
use lichenpulley_lab::client::Client;
use lichenpulley_lab::engine::answer::is_whole_answer;
use lichenpulley_lab::engine::faults::{EngineCounters, EngineFault, WireFaults};
use lichenpulley_lab::engine::{Engine, EngineOptions, start};
use lichenpulley_protocol::caller::Priority;
use lichenpulley_protocol::engine::{LoadReport, StreamEvent, StreamRequest};

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

async fn read_events(response: hyper::Response<hyper::body::Incoming>) -> Events {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => whole = false,
        }
    }
    let text = String::from_utf8(text).expect("JSON is UTF-8");
    let events = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let events = events.map(|event| serde_json::from_str(event).expect("a whole event")).collect();
    Events { events, whole }
}

async fn open(client: &Client, engine: &Engine, request: &StreamRequest) -> Events {
    let body = Bytes::from(serde_json::to_vec(request).expect("encodes"));
    let response = client.send(Method::POST, engine.address(), "/v1/streams", body).await;
    let response = response.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    read_events(response).await
}

async fn resume(client: &Client, engine: &Engine, attempt: &str, from: u32) -> Events {
    let path = format!("/v1/streams/{attempt}?from={from}");
    let response = client.send(Method::GET, engine.address(), &path, Bytes::new()).await;
    read_events(response.expect("an answer")).await
}

#[tokio::test]
async fn a_stream_is_admitted_first_and_comes_whole() {
    let engine = engine().await;
    let events = open(&Client::new(), &engine, &request("a")).await;
    assert!(matches!(events.events.first(), Some(StreamEvent::Admitted { .. })));
    assert!(matches!(events.events.last(), Some(StreamEvent::Finished { .. })));
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &events.tokens()));
}

#[tokio::test]
async fn a_broken_connection_resumes_by_token_number() {
    let engine = engine().await;
    let faults = WireFaults { drop_after_tokens: Some(5), ..WireFaults::default() };
    engine.inject(EngineFault::Wire(faults)).await;
    let client = Client::new();
    let mut part = open(&client, &engine, &request("a")).await;
    let mut tokens = part.tokens();
    assert!(!part.whole);
    while !part.whole {
        part = resume(&client, &engine, "a", tokens.len() as u32).await;
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
    let events = open(&Client::new(), &engine, &request("a")).await;
    let numbers = events.first_tokens();
    assert!(numbers.windows(2).any(|pair| pair[0] == pair[1]), "none doubled: {numbers:?}");
    assert!(numbers.windows(2).any(|pair| pair[0] > pair[1]), "none out of order: {numbers:?}");
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &events.tokens()));
}

#[tokio::test]
async fn a_lost_admission_ran_all_the_same() {
    let engine = engine().await;
    engine.inject(EngineFault::Wire(WireFaults { drop_admissions: 1, ..WireFaults::default() })).await;
    let client = Client::new();
    let body = Bytes::from(serde_json::to_vec(&request("a")).expect("encodes"));
    let lost = client.send(Method::POST, engine.address(), "/v1/streams", body).await;
    assert!(lost.is_err());
    let counters: EngineCounters =
        client.get_json(engine.faults_address(), "/faults/counters").await.expect("counters");
    assert_eq!(counters.by_attempt[&AttemptId::new("a")], 1);
    let events = resume(&client, &engine, "a", 0).await;
    assert!(is_whole_answer("a", SEED, MAX_TOKENS, &events.tokens()));
}

#[tokio::test]
async fn a_crash_breaks_streams_and_starts_the_next_incarnation() {
    let engine = engine().await;
    let client = Client::new();
    let slow = EngineFault::SlowSteps { percent: 100_000 };
    engine.inject(slow).await;
    let running = request("a");
    let stream = open(&client, &engine, &running);
    let crash = async {
        while engine.counters().streams_admitted == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        engine.inject(EngineFault::Crash { down_ms: 10, weight_version: Some(WeightVersion(9)) }).await;
    };
    let (events, ()) = tokio::join!(stream, crash);
    assert!(!events.whole);
    let load: LoadReport = client.get_json(engine.address(), "/v1/load").await.expect("it is back");
    assert_eq!((load.incarnation, load.weight_version), (2, Some(WeightVersion(9))));
    let gone = client.send(Method::GET, engine.address(), "/v1/streams/a", Bytes::new()).await;
    assert_eq!(gone.expect("an answer").status(), StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_refusal_is_said_before_admission_and_counted() {
    let engine = engine().await;
    let client = Client::new();
    let refuse = EngineFault::RefuseAll { refuse: true };
    client.put_json(engine.faults_address(), "/faults", &refuse).await.expect("taken");
    let body = Bytes::from(serde_json::to_vec(&request("a")).expect("encodes"));
    let response = client.send(Method::POST, engine.address(), "/v1/streams", body).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let counters = engine.counters();
    assert_eq!((counters.refused, counters.streams_admitted), (1, 0));
}
