//! The planned stop of a whole node (brief point 8) over real sockets: streams far longer than the notice are not
//! cut, new work is refused as not run, and a second word ends the node at once.

use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::{PoolName, ZoneName};
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::http::events::EventReader;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;
use lichenpulley_lab::engine::answer::{Answer, is_whole_answer};
use lichenpulley_lab::engine::faults::EngineFault;
use lichenpulley_lab::engine::{Engine, EngineOptions, start};
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::machine_list::{self, MachineListServer};
use lichenpulley_lab::object_api::{self, ObjectApi};
use lichenpulley_protocol::caller::{CompletionChunk, CompletionRequest, Priority};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use lichenpulley_protocol::operator::DecisionEvent;
use tokio::net::TcpStream;

const PROMPT: &str = "the phone does not charge";
const POOL: &str = "bench-assistant";
const ZONE: &str = "sando-hall";
const PATIENCE: Duration = Duration::from_secs(60);
/// Far shorter than the stream: the stop must not be what ends it.
const NOTICE: Duration = Duration::from_millis(50);
const STEP_TIME: Duration = Duration::from_millis(5);
const LONG_TOKENS: u32 = 200;

struct Rig {
    node: Node,
    engine: Engine,
    http: HttpClient,
    _platform: (MachineListServer, ObjectApi),
}

impl Rig {
    /// A node that serves, with one engine and its own platform.
    async fn start(notice: Duration) -> Self {
        let machines = machine_list::start(ANY_PORT, Vec::new()).await.expect("a machine list");
        let objects = object_api::start(ANY_PORT).await.expect("an object API");
        let mut options = EngineOptions::new("replica-0", PoolName::new(POOL), ZoneName::new(ZONE));
        options.model.step_time = STEP_TIME;
        options.machine_list = Some(machines.address);
        let engine = start(options).await.expect("loopback ports are free");
        let mut settings = Settings::on_loopback("node-a", ZONE);
        settings.stop.notice = notice;
        settings.platform.machine_list = Some(machines.address);
        settings.platform.object_api = Some(objects.address);
        settings.configuration.poll_interval = Duration::from_millis(20);
        let node = Node::start(settings).await.expect("the node starts");
        let http = HttpClient::new(Duration::from_secs(5));
        let rig = Self { node, engine, http, _platform: (machines, objects) };
        tokio::time::timeout(PATIENCE, rig.serves()).await.expect("the node serves");
        rig
    }

    async fn serves(&self) {
        while self.readiness().await.is_err() || self.node.context().directory.load().pools.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn stream(&self, max_tokens: u32) -> Result<EventReader, ClientError> {
        let callers = self.node.addresses().callers;
        self.http.post_events(callers, "/v1/completions", &request(max_tokens), PATIENCE).await
    }

    async fn readiness(&self) -> Result<bytes::Bytes, ClientError> {
        self.http.get_bytes(self.node.addresses().operators, "/readyz", PATIENCE).await
    }

    /// Waits until the callers' port takes no connection any more.
    async fn callers_port_closed(&self) {
        while TcpStream::connect(self.node.addresses().callers).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A seed whose answer has at least `LONG_TOKENS`.
fn long_seed() -> u64 {
    let is_long = |seed: &u64| Answer::of(PROMPT, *seed).token_count(LONG_TOKENS) == LONG_TOKENS;
    (0..).find(is_long).expect("the lengths have a long tail")
}

fn request(max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        pool: PoolName::new(POOL),
        prompt: PROMPT.to_owned(),
        max_tokens,
        priority: Priority::Live,
        deadline_ms: None,
        repeatable: true,
        request_id: None,
        issued_at_unix_ms: None,
        seed: long_seed(),
        stream: true,
    }
}

/// Reads on to the end and adds the tokens; panics where the stream ends in an error.
async fn read_to_end(events: &mut EventReader, tokens: &mut Vec<u32>) {
    let mut finished = false;
    while let Some(event) = events.next().await.expect("the stream is not cut") {
        assert_eq!(event.name, None, "the stream ended in an error: {}", event.data);
        let chunk: CompletionChunk = event.json().expect("a chunk");
        tokens.extend(chunk.tokens);
        finished |= chunk.finish_reason.is_some();
    }
    assert!(finished, "the stream ended without saying that it is whole");
}

#[tokio::test]
async fn a_stream_longer_than_the_notice_is_not_cut() {
    let rig = Rig::start(NOTICE).await;
    let mut events = rig.stream(LONG_TOKENS).await.expect("a stream");
    let first = events.next().await.expect("a stream").expect("an event");
    let mut tokens = first.json::<CompletionChunk>().expect("a chunk").tokens;

    rig.engine.inject(EngineFault::SlowSteps { percent: 4_000 }).await;
    rig.node.begin_drain();
    tokio::time::timeout(PATIENCE, rig.callers_port_closed())
        .await
        .expect("the port closes after the notice");
    rig.engine.inject(EngineFault::SlowSteps { percent: 100 }).await;
    read_to_end(&mut events, &mut tokens).await;
    assert!(is_whole_answer(PROMPT, long_seed(), LONG_TOKENS, &tokens));
    tokio::time::timeout(PATIENCE, rig.node.stopped()).await.expect("the node ends by itself");
}

#[tokio::test]
async fn new_work_is_refused_as_not_run_during_the_notice() {
    // Long enough that the port is surely open; the node is killed at the end.
    let rig = Rig::start(PATIENCE).await;
    rig.node.begin_drain();
    let admitted = rig.engine.counters().streams_admitted;
    let error = rig.stream(LONG_TOKENS).await.expect_err("new work is refused");
    let body: ErrorBody = error.body().expect("a typed error");
    assert_eq!(error.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(body.execution, Some(Execution::NotRun));
    assert!(body.retry_after_ms.is_some());
    assert_eq!(rig.engine.counters().streams_admitted, admitted);

    let unready = rig.readiness().await.expect_err("not ready");
    assert_eq!(unready.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(unready.body::<ErrorBody>().expect("a typed error").kind, "stopping");
}

#[tokio::test]
async fn the_stop_is_watchable_to_its_end() {
    let rig = Rig::start(NOTICE).await;
    let operators = rig.node.addresses().operators;
    let mut decisions = rig.http.get_events(operators, "/v1/decisions", PATIENCE).await.expect("a stream");
    rig.node.begin_drain();
    let mut actions = Vec::new();
    while let Some(event) = decisions.next().await.expect("the stream ends well") {
        let event: DecisionEvent = event.json().expect("a decision");
        actions.push(event.decision.action);
    }
    let begun = actions.iter().position(|action| action == "stop_begun").expect("the beginning is told");
    let finished = actions.iter().position(|action| action == "stop_finished").expect("the end is told");
    assert!(begun < finished);
    tokio::time::timeout(PATIENCE, rig.node.stopped()).await.expect("the node ends by itself");
}

/// The proof's other half: with the finishing of streams switched off, which is what `kill` does, the same caller
/// sees its stream cut, and is never told that it was whole.
#[tokio::test]
async fn without_the_planned_stop_the_same_stream_is_cut() {
    let rig = Rig::start(NOTICE).await;
    let mut events = rig.stream(LONG_TOKENS).await.expect("a stream");
    assert!(events.next().await.expect("a stream").is_some());
    rig.node.kill();
    rig.node.stopped().await;
    let cut = loop {
        match events.next().await {
            Ok(Some(event)) => {
                let chunk: CompletionChunk = event.json().expect("a chunk");
                assert!(chunk.finish_reason.is_none(), "the stream was over before the node was killed");
            }
            Ok(None) => break false,
            Err(_) => break true,
        }
    };
    assert!(cut, "a cut stream was dressed as a whole one");
}
