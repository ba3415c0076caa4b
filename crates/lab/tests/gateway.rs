//! The gateway over the stand-in engine: whole answers, streams, refusals, and broken connections.

mod gateway_cut_heads;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::identity::{PoolName, ReplicaId, RequestId, Revision, WeightVersion, ZoneName};
use lichenpulley_core::routing::EngineRole;
use lichenpulley_daemon::context::{Context, NodeContext};
use lichenpulley_daemon::coordinator;
use lichenpulley_daemon::directory::{ReplicaDirectory, ReplicaEntry};
use lichenpulley_daemon::gateway::{Dispatcher, Gateway};
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::http::server::{self, ServerStop};
use lichenpulley_daemon::settings::Settings;
use lichenpulley_lab::engine::answer::is_whole_answer;
use lichenpulley_lab::engine::faults::{EngineFault, WireFaults};
use lichenpulley_lab::engine::{Engine, EngineOptions, start};
use lichenpulley_protocol::caller::{
    CompletionChunk, CompletionRequest, CompletionResponse, Priority, VersionSpan,
};
use lichenpulley_protocol::engine::{Command, LoadReport, Order, OrderAccepted};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use tokio::net::TcpListener;
use tokio::runtime::Handle;

const POOL: &str = "bench-assistant";
const MAX_TOKENS: u32 = 48;
const SEED: u64 = 5;
const PATIENCE: Duration = Duration::from_secs(30);

struct Rig {
    context: Context,
    engines: Vec<Engine>,
    address: SocketAddr,
    http: HttpClient,
}

impl Rig {
    async fn with_engines(count: usize) -> Self {
        let mut engines = Vec::new();
        for number in 0..count {
            let mut options = EngineOptions::new(format!("replica-{number}"), PoolName::new(POOL), zone());
            options.model.step_time = Duration::from_millis(1);
            engines.push(start(options).await.expect("loopback ports are free"));
        }
        let context = NodeContext::new(Settings::on_loopback("node", "sando-hall"), Handle::current());
        context.directory.store(Arc::new(directory(&engines)));
        let dispatcher = Dispatcher::new(Arc::clone(&context), Handle::current());
        let coordinator = coordinator::start(Arc::clone(&context), dispatcher.clone(), None);
        let gateway = Gateway::new(Arc::clone(&context), dispatcher, coordinator);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        tokio::spawn(server::serve(listener, ServerStop::default(), move |request| {
            let gateway = gateway.clone();
            async move { gateway.handle(request).await }
        }));
        Self { context, engines, address, http: HttpClient::new(Duration::from_secs(1)) }
    }

    async fn complete(&self, request: &CompletionRequest) -> Result<CompletionResponse, ClientError> {
        self.http.post_json(self.address, "/v1/completions", request, PATIENCE).await
    }

    /// Chunks of a streamed answer, and the error that ended it.
    async fn stream(&self, request: &CompletionRequest) -> (Vec<CompletionChunk>, Option<ErrorBody>) {
        let events = self.http.post_events(self.address, "/v1/completions", request, PATIENCE).await;
        let mut events = events.expect("the stream begins");
        let mut chunks = Vec::new();
        while let Some(event) = events.next().await.expect("the gateway's own connection holds") {
            match event.name.as_deref() {
                Some("error") => return (chunks, Some(event.json().expect("an error body"))),
                _ => chunks.push(event.json().expect("a chunk")),
            }
        }
        (chunks, None)
    }

    async fn drain(&self, engine: usize) {
        let order = Order {
            shard: ShardId::new("weights/bench-assistant"),
            epoch: Epoch(1),
            command: Command::ChangeRole { role: EngineRole::Draining },
        };
        let address = self.engines[engine].address();
        let accepted: OrderAccepted = self
            .http
            .post_json(address, "/v1/orders", &order, PATIENCE)
            .await
            .expect("the engine takes the order");
        assert_eq!(accepted.load.role, EngineRole::Draining);
    }

    fn admitted(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counters().streams_admitted).sum()
    }
}

fn zone() -> ZoneName {
    ZoneName::new("sando-hall")
}

fn directory(engines: &[Engine]) -> ReplicaDirectory {
    let entries = engines.iter().enumerate().map(|(number, engine)| ReplicaEntry {
        replica: ReplicaId::new(format!("replica-{number}")),
        zone: zone(),
        address: engine.address(),
        leaving: false,
    });
    let pools = [(PoolName::new(POOL), entries.collect())];
    ReplicaDirectory {
        revision: Revision(1),
        pools: pools.into_iter().collect(),
        ..ReplicaDirectory::default()
    }
}

fn request(prompt: &str) -> CompletionRequest {
    CompletionRequest {
        pool: PoolName::new(POOL),
        prompt: prompt.to_owned(),
        max_tokens: MAX_TOKENS,
        priority: Priority::Live,
        deadline_ms: None,
        repeatable: true,
        request_id: Some(RequestId::new(prompt)),
        issued_at_unix_ms: None,
        seed: SEED,
        stream: false,
    }
}

fn refusal(result: Result<CompletionResponse, ClientError>) -> (StatusCode, ErrorBody) {
    let error = result.expect_err("the gateway refuses");
    (error.status().expect("a status"), error.body().expect("a typed error body"))
}

fn assert_whole(prompt: &str, answer: &CompletionResponse) {
    assert!(is_whole_answer(prompt, SEED, MAX_TOKENS, &answer.tokens), "the answer is whole and its own");
    let token_count = u32::try_from(answer.tokens.len()).expect("few tokens");
    let span = VersionSpan { weight_version: WeightVersion(1), first_token: 0, token_count };
    assert_eq!(answer.spans, [span]);
}

#[tokio::test]
async fn answers_whole() {
    let rig = Rig::with_engines(2).await;
    let answer = rig.complete(&request("why does it not charge")).await.expect("an answer");
    assert_whole("why does it not charge", &answer);
    assert_eq!(answer.attempts, 1);
}

#[tokio::test]
async fn streams_the_whole_answer_in_order() {
    let rig = Rig::with_engines(1).await;
    let (chunks, error) = rig.stream(&CompletionRequest { stream: true, ..request("fee for a stall") }).await;
    assert_eq!(error, None);
    let mut tokens = Vec::new();
    for chunk in &chunks {
        assert_eq!(chunk.first_token as usize, tokens.len(), "no gap and no repeat");
        tokens.extend_from_slice(&chunk.tokens);
    }
    assert!(is_whole_answer("fee for a stall", SEED, MAX_TOKENS, &tokens));
    let ends = chunks.iter().filter(|chunk| chunk.finish_reason.is_some()).count();
    assert_eq!(ends, 1);
    assert!(chunks.last().is_some_and(|chunk| chunk.finish_reason.is_some()));
}

#[tokio::test]
async fn resumes_connections_that_break_in_the_middle() {
    let rig = Rig::with_engines(1).await;
    let faults =
        WireFaults { drop_after_tokens: Some(5), duplicate_every: 3, reorder_every: 4, drop_admissions: 0 };
    rig.engines[0].inject(EngineFault::Wire(faults)).await;
    let answer = rig.complete(&request("cracked screen")).await.expect("an answer");
    assert_whole("cracked screen", &answer);
    assert_eq!(answer.attempts, 1, "resumed, not started again");
    assert_eq!(rig.admitted(), 1);
}

#[tokio::test]
async fn finds_an_admission_whose_answer_was_lost() {
    let rig = Rig::with_engines(1).await;
    rig.engines[0]
        .inject(EngineFault::Wire(WireFaults { drop_admissions: 1, ..WireFaults::default() }))
        .await;
    let answer = rig.complete(&request("battery swells")).await.expect("an answer");
    assert_whole("battery swells", &answer);
    assert_eq!(rig.admitted(), 1);
}

#[tokio::test]
async fn goes_on_elsewhere_when_the_engine_has_gone() {
    let rig = Rig::with_engines(2).await;
    let streaming = CompletionRequest { stream: true, max_tokens: 2_000, ..request("a very long story") };
    let mut events = rig
        .http
        .post_events(rig.address, "/v1/completions", &streaming, PATIENCE)
        .await
        .expect("the stream begins");
    let first: CompletionChunk =
        events.next().await.expect("holds").expect("a chunk").json().expect("a chunk");
    let serving = rig.engines.iter().position(|engine| engine.counters().streams_admitted == 1);
    let crash = EngineFault::Crash { down_ms: 10, weight_version: None };
    rig.engines[serving.expect("one engine serves it")].inject(crash).await;
    let mut tokens = first.tokens;
    while let Some(event) = events.next().await.expect("the gateway's own connection holds") {
        assert_eq!(event.name, None, "{}", event.data);
        let chunk: CompletionChunk = event.json().expect("a chunk");
        assert_eq!(chunk.first_token as usize, tokens.len());
        tokens.extend(chunk.tokens);
    }
    assert!(is_whole_answer("a very long story", SEED, 2_000, &tokens));
}

#[tokio::test]
async fn a_draining_engine_is_passed_over_and_a_drained_pool_refuses_as_not_run() {
    let rig = Rig::with_engines(2).await;
    rig.drain(0).await;
    for number in 0..8 {
        let prompt = format!("question {number}");
        assert_whole(&prompt, &rig.complete(&request(&prompt)).await.expect("an answer"));
    }
    assert_eq!(rig.engines[0].counters().streams_admitted, 0);
    rig.drain(1).await;
    let admitted = rig.admitted();
    let (status, body) = refusal(rig.complete(&request("one too many")).await);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body.execution, Some(Execution::NotRun));
    assert!(body.retry_after_ms.is_some());
    assert_eq!(rig.admitted(), admitted, "it truly did not run");
}

/// Guards against a started gateway that tells its first callers that their pool does not exist.
#[tokio::test]
async fn a_gateway_that_has_not_read_the_machine_list_asks_callers_to_retry() {
    let rig = Rig::with_engines(1).await;
    let read = rig.context.directory.swap(Arc::default());
    let (status, body) = refusal(rig.complete(&request("too early")).await);
    assert_eq!((status, body.kind.as_str()), (StatusCode::SERVICE_UNAVAILABLE, "directory_unknown"));
    assert_eq!(body.execution, Some(Execution::NotRun));
    assert!(body.retry_after_ms.is_some());
    rig.context.directory.store(read);
    rig.complete(&request("in time")).await.expect("an answer");
}

#[tokio::test]
async fn refuses_with_typed_bodies() {
    let rig = Rig::with_engines(1).await;
    let unknown = CompletionRequest { pool: PoolName::new("no-such-pool"), ..request("x") };
    let (status, body) = refusal(rig.complete(&unknown).await);
    assert_eq!((status, body.kind.as_str()), (StatusCode::NOT_FOUND, "unknown_pool"));
    assert_eq!(body.execution, Some(Execution::NotRun));

    let nameless = CompletionRequest { repeatable: false, request_id: None, ..request("x") };
    let (status, body) = refusal(rig.complete(&nameless).await);
    assert_eq!((status, body.kind.as_str()), (StatusCode::BAD_REQUEST, "bad_field"));

    let timeless = CompletionRequest { repeatable: false, ..request("x") };
    let (status, _) = refusal(rig.complete(&timeless).await);
    assert_eq!(status, StatusCode::BAD_REQUEST);

    rig.engines[0].inject(EngineFault::RefuseAll { refuse: true }).await;
    let (status, body) = refusal(rig.complete(&request("x")).await);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body.execution, Some(Execution::NotRun));
    assert!(body.retry_after_ms.is_some());

    rig.context.draining.cancel();
    let (status, body) = refusal(rig.complete(&request("x")).await);
    assert_eq!((status, body.kind.as_str()), (StatusCode::SERVICE_UNAVAILABLE, "node_draining"));
    assert_eq!(rig.admitted(), 0);
}

#[tokio::test]
async fn without_a_majority_of_claims_nothing_is_sent_and_nothing_is_promised() {
    let rig = Rig::with_engines(1).await;
    let once = CompletionRequest { repeatable: false, issued_at_unix_ms: Some(1), ..request("pay the fee") };
    let (_, body) = refusal(rig.complete(&once).await);
    assert_eq!(body.execution, Some(Execution::Unknown), "an earlier submission may have run");
    assert_eq!(rig.admitted(), 0);
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_the_engine() {
    let rig = Rig::with_engines(1).await;
    let streaming = CompletionRequest { stream: true, max_tokens: 100_000, ..request("endless") };
    let events = rig
        .http
        .post_events(rig.address, "/v1/completions", &streaming, PATIENCE)
        .await
        .expect("the stream begins");
    drop(events);
    loop {
        let load: LoadReport = rig
            .http
            .get_json(rig.engines[0].address(), "/v1/load", PATIENCE)
            .await
            .expect("the engine reports");
        if load.running + load.queued == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
