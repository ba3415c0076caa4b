//! The configuration through real nodes: operators' HTTP in, platform stand-ins behind.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::configuration::path::LevelPath;
use lichenpulley_core::configuration::schema::STALENESS_BOUND;
use lichenpulley_core::identity::{PoolName, Revision, ZoneName};
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::machine_list::{self, MachineListServer};
use lichenpulley_lab::object_api::{self, ObjectApi, ObjectApiFaults};
use lichenpulley_protocol::error::ErrorBody;
use lichenpulley_protocol::operator::{
    ChangeConfiguration, ConfigurationChanged, ConfigurationDocument, EffectiveSetting,
};
use lichenpulley_protocol::platform::{Machine, MachineKind, MachineState};
use serde_json::{Value, json};

/// Far more than any step takes; a test that needs it has failed.
const PATIENCE: Duration = Duration::from_secs(60);

struct System {
    object_api: ObjectApi,
    machine_list: MachineListServer,
    http: HttpClient,
}

impl System {
    async fn start() -> Self {
        let object_api = object_api::start(ANY_PORT).await.expect("starts");
        let machine_list = machine_list::start(ANY_PORT, Vec::new()).await.expect("starts");
        Self { object_api, machine_list, http: HttpClient::new(Duration::from_secs(5)) }
    }

    async fn node(&self, name: &str) -> Node {
        let mut settings = Settings::on_loopback(name, "sando-hall");
        settings.platform.object_api = Some(self.object_api.address);
        settings.platform.machine_list = Some(self.machine_list.address);
        // Never called here: submissions are refused before anything is generated.
        settings.platform.scorer = Some(self.object_api.address);
        let node = Node::start(settings).await.expect("starts");
        until(|| node.context().configuration.load().known).await;
        node
    }

    async fn put(&self, node: &Node, change: &ChangeConfiguration) -> Result<Revision, ClientError> {
        let address = node.addresses().operators;
        let changed = self.http.put_json(address, "/v1/config", change, PATIENCE).await;
        changed.map(|changed: ConfigurationChanged| changed.revision)
    }

    async fn explain(&self, operators: SocketAddr, path: &str, key: &str) -> EffectiveSetting {
        let path = format!("/v1/config/effective?path={path}&key={key}");
        self.http.get_json(operators, &path, PATIENCE).await.expect("answers")
    }
}

async fn until(condition: impl Fn() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waited).await.expect("the condition comes true");
}

fn change(base: u64, id: &str, path: &str, key: &str, value: Value) -> ChangeConfiguration {
    ChangeConfiguration {
        base_revision: Revision(base),
        change_id: id.to_owned(),
        path: path.to_owned(),
        key: key.to_owned(),
        value: Some(value),
    }
}

fn error_of(result: Result<Revision, ClientError>) -> (StatusCode, ErrorBody) {
    let error = result.expect_err("is refused");
    (error.status().expect("answered"), error.body().expect("a typed error"))
}

#[tokio::test]
async fn an_accepted_change_is_in_force_and_explained() {
    let system = System::start().await;
    let node = system.node("a").await;
    let operators = node.addresses().operators;

    let first = change(0, "c1", "/", "staleness_bound", json!(2));
    assert_eq!(system.put(&node, &first).await.expect("accepted"), Revision(1));
    let second = change(1, "c2", "/ramsaran/bench-assistant", "staleness_bound", json!(7));
    assert_eq!(system.put(&node, &second).await.expect("accepted"), Revision(2));

    let pool = system.explain(operators, "/ramsaran/bench-assistant", "staleness_bound").await;
    assert_eq!((pool.value, pool.source.as_deref()), (json!(7), Some("/ramsaran/bench-assistant")));
    let site = system.explain(operators, "/ramsaran", "staleness_bound").await;
    assert_eq!((site.value, site.source.as_deref()), (json!(2), Some("/")));
    let inherited = system.explain(operators, "/ramsaran", "retry_budget_percent").await;
    assert_eq!((inherited.value, inherited.source), (json!(10), None));

    let view = node.context().configuration.load();
    assert_eq!(view.for_pool(&PoolName::new("bench-assistant"), &STALENESS_BOUND), 7);
    assert_eq!(view.integer(&LevelPath::root(), &STALENESS_BOUND), 2);
}

#[tokio::test]
async fn a_race_loses_with_the_current_revision() {
    let system = System::start().await;
    let node = system.node("a").await;
    system.put(&node, &change(0, "c1", "/", "staleness_bound", json!(2))).await.expect("accepted");
    let late = system.put(&node, &change(0, "c2", "/", "staleness_bound", json!(3))).await;
    let (status, body) = error_of(late);
    assert_eq!((status, body.kind.as_str()), (StatusCode::CONFLICT, "conflict"));
    assert_eq!(body.current_revision, Some(Revision(1)));
}

#[tokio::test]
async fn a_bad_setting_is_refused_with_its_path_and_remedy() {
    let system = System::start().await;
    let node = system.node("a").await;
    let cases = [
        ("/", "stalenes_bound", json!(2), "staleness_bound"),
        ("/ramsaran", "staleness_bound", json!(-1), "from 0 to 1000"),
        ("/ramsaran", "staleness_bound", json!("2"), "from 0 to 1000"),
        ("/ramsaran/bench/job", "retry_budget_percent", json!(5), "from organisation to pool"),
        ("ramsaran", "staleness_bound", json!(2), "/site/pool/job/policy"),
    ];
    for (path, key, value, remedy) in cases {
        let (status, body) = error_of(system.put(&node, &change(0, "c", path, key, value)).await);
        assert_eq!((status, body.kind.as_str()), (StatusCode::BAD_REQUEST, "bad_setting"));
        assert!(body.message.contains(path), "{body}");
        assert!(body.remedy.contains(remedy), "{body}");
    }
    assert_eq!(system.object_api.counters().writes, 0);
}

#[tokio::test]
async fn a_lost_reply_is_settled_by_the_change_id() {
    let system = System::start().await;
    let node = system.node("a").await;
    system.object_api.set_faults(ObjectApiFaults { lose_next_replies: 1, ..ObjectApiFaults::default() });
    let lost = change(0, "c1", "/", "staleness_bound", json!(2));
    assert_eq!(system.put(&node, &lost).await.expect("accepted"), Revision(1));
    assert_eq!(system.put(&node, &lost).await.expect("a repeat"), Revision(1));
    assert_eq!(system.object_api.counters().lost_replies, 1);
    let document: ConfigurationDocument =
        system.http.get_json(node.addresses().operators, "/v1/config", PATIENCE).await.expect("answers");
    assert_eq!((document.revision, document.settings.len()), (Revision(1), 1));
}

#[tokio::test]
async fn while_the_platform_is_down_a_change_is_refused_and_the_rest_stays_in_force() {
    let system = System::start().await;
    let node = system.node("a").await;
    system.put(&node, &change(0, "c1", "/", "staleness_bound", json!(2))).await.expect("accepted");
    system.object_api.set_faults(ObjectApiFaults { down: true, ..ObjectApiFaults::default() });
    let (status, body) =
        error_of(system.put(&node, &change(1, "c2", "/", "staleness_bound", json!(3))).await);
    assert_eq!((status, body.kind.as_str()), (StatusCode::SERVICE_UNAVAILABLE, "platform_unavailable"));
    assert!(body.retry_after_ms.is_some(), "{body}");
    assert_eq!(node.context().configuration.load().revision, Revision(1));
}

#[tokio::test]
async fn the_directory_follows_the_machine_list() {
    let system = System::start().await;
    let node = system.node("a").await;
    let engine = |id: &str, state| Machine {
        id: id.to_owned(),
        kind: MachineKind::Engine,
        zone: ZoneName::new("sando-hall"),
        address: "127.0.0.1:9".to_owned(),
        pool: Some(PoolName::new("bench-assistant")),
        state,
    };
    let replicas = |node: &Node| {
        let directory = node.context().directory.load();
        let replicas = directory.pools.get(&PoolName::new("bench-assistant")).into_iter().flatten();
        replicas.map(|entry| (entry.replica.to_string(), entry.leaving)).collect::<Vec<_>>()
    };
    system.machine_list.put(engine("e1", MachineState::Live));
    system.machine_list.put(engine("e2", MachineState::Leaving));
    until(|| replicas(&node) == [("e1".to_owned(), false), ("e2".to_owned(), true)]).await;
    system.machine_list.remove("e1");
    until(|| replicas(&node) == [("e2".to_owned(), true)]).await;
}

#[tokio::test]
async fn a_change_made_elsewhere_comes_by_the_watch() {
    let system = System::start().await;
    let (writer, reader) = (system.node("a").await, system.node("b").await);
    system.put(&writer, &change(0, "c1", "/", "staleness_bound", json!(2))).await.expect("accepted");
    until(|| reader.context().configuration.load().revision == Revision(1)).await;
    assert_eq!(reader.context().configuration.load().integer(&LevelPath::root(), &STALENESS_BOUND), 2);
}

#[tokio::test]
async fn a_job_beyond_what_the_tree_allows_is_refused() {
    let system = System::start().await;
    let node = system.node("a").await;
    let submit = async |staleness_bound: u64| {
        let job = json!({
            "job": "repair-steps", "pool": "bench-assistant", "prompts": ["p"], "samples_per_prompt": 1, "steps": 1,
            "max_tokens": 8, "staleness_bound": staleness_bound,
        });
        let submitted =
            system.http.post_json::<_, Value>(node.addresses().callers, "/v1/jobs", &job, PATIENCE);
        submitted.await.expect_err("is refused").body::<ErrorBody>().expect("a typed error").kind
    };
    system.put(&node, &change(0, "c1", "/", "staleness_bound", json!(1))).await.expect("accepted");
    assert_eq!(submit(2).await, "staleness_bound_too_high");
    let off = change(1, "c2", "/ramsaran/bench-assistant", "rollouts_enabled", json!(false));
    system.put(&node, &off).await.expect("accepted");
    assert_eq!(submit(1).await, "rollouts_disabled");
}
