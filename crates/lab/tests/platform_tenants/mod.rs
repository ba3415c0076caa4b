//! Tenants with keys over real nodes and sockets: who is served, what replicas see, and whose jobs are whose.

use hyper::{Method, StatusCode};
use lichenpulley_daemon::node::Node;
use lichenpulley_lab::platform_replica::Replica;
use lichenpulley_platform::objects;
use lichenpulley_protocol::operator::TenantsDocument;
use serde_json::{Value, json};
use std::time::Duration;

use crate::platform_system::{Answer, PATIENCE, System, configuration};

const ANNA: &str = "Bearer key-of-anna";
const BERT: &str = "Bearer key-of-bert";

/// A configuration in which `anna` and `bert` hold these keys, and one of the routes is public.
fn with_tenants(version: u64, anna: &[&str], bert: &[&str]) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"] =
        json!([{"name": "anna", "api_keys": anna}, {"name": "bert", "api_keys": bert, "priority": 0}]);
    configuration["routes"][1]["public"] = json!(true);
    configuration
}

async fn start(replicas: usize) -> System {
    let system = System::start(replicas, 3).await;
    put(&system, with_tenants(2, &["key-of-anna", "second-key"], &["key-of-bert"]));
    until(&system, "/read/x", &[("attempt-id", "warm")], StatusCode::UNAUTHORIZED).await;
    system
}

fn put(system: &System, configuration: Value) {
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, configuration);
}

/// Asks both gateways until each answers with this status.
async fn until(system: &System, path: &str, fields: &[(&'static str, &str)], status: StatusCode) {
    let asked = async {
        for gateway in 0..2 {
            while system.call(gateway, Method::POST, path, fields, "x").await.status != status {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    tokio::time::timeout(PATIENCE, asked).await.expect("the status in time");
}

async fn submit(system: &System, id: &str, key: &str) -> StatusCode {
    let item = json!({"id": format!("{id}-0"), "path": "/stream/x", "body": "Ym9keQ==", "tokens": 10,
        "headers": {"Model": "pricing", "Tenant": "forged", "Authorization": "Bearer forged"}});
    let job = json!({"step": 0, "model": "pricing", "min_version": 1, "items": [item]}).to_string();
    let fields = [("attempt-id", id), ("authorization", key)];
    let asked = async {
        loop {
            let answer = system.call(0, Method::POST, "/rollouts/x", &fields, job.clone()).await;
            // Until there is an owner, a gateway says when to come back.
            if answer.status != StatusCode::SERVICE_UNAVAILABLE {
                return answer.status;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, asked).await.expect("an answer in time")
}

async fn ask(system: &System, method: Method, path: &str, key: &str) -> Answer {
    system.call(1, method, path, &[("authorization", key), ("wait-ms", "500")], "").await
}

fn seen(system: &System, id: &str) -> Vec<(Option<String>, bool)> {
    let seen = system.replicas.iter().flat_map(Replica::seen).filter(|seen| seen.id == id);
    seen.map(|seen| (seen.headers.get("tenant").cloned(), seen.headers.contains_key("authorization")))
        .collect()
}

#[tokio::test]
async fn a_request_needs_a_known_key_and_a_replica_sees_the_tenant_in_its_place() {
    let system = start(1).await;
    for (number, key) in
        ["", "key-of-anna", "Bearer", "Bearer unknown", "Basic key-of-anna"].into_iter().enumerate()
    {
        let id = format!("bad-{number}");
        let fields = [("attempt-id", id.as_str()), ("authorization", key)];
        let answer = system.call(0, Method::POST, "/read/x", &fields, "x").await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{key}");
        assert!(seen(&system, &id).is_empty(), "{key}");
    }
    for path in ["/read/x", "/stream/x"] {
        let fields = [("attempt-id", path), ("authorization", ANNA), ("tenant", "bert")];
        assert_eq!(system.call(0, Method::POST, path, &fields, "x").await.status, StatusCode::OK);
        assert_eq!(seen(&system, path), [(Some("anna".to_owned()), false)]);
    }
}

#[tokio::test]
async fn a_public_route_needs_no_key_and_passes_on_no_tenant_that_a_caller_claims() {
    let system = start(1).await;
    let fields = [("attempt-id", "p-1"), ("tenant", "anna")];
    assert_eq!(system.call(0, Method::POST, "/write/x", &fields, "x").await.status, StatusCode::OK);
    let fields = [("attempt-id", "p-2"), ("tenant", "anna"), ("authorization", BERT)];
    assert_eq!(system.call(0, Method::POST, "/write/x", &fields, "x").await.status, StatusCode::OK);
    assert_eq!(seen(&system, "p-1"), [(None, false)]);
    assert_eq!(seen(&system, "p-2"), [(Some("bert".to_owned()), false)]);
}

#[tokio::test]
async fn a_key_that_is_taken_away_serves_no_more_and_ends_no_job_of_its_tenant() {
    let system = start(1).await;
    assert_eq!(submit(&system, "job", ANNA).await, StatusCode::ACCEPTED);
    put(&system, with_tenants(3, &["second-key"], &["key-of-bert"]));
    let old = [("attempt-id", "old"), ("authorization", ANNA)];
    until(&system, "/read/x", &old, StatusCode::UNAUTHORIZED).await;
    let read = ask(&system, Method::GET, "/-/lots/job", "Bearer second-key").await;
    assert_eq!((read.status, read.json()["total"].as_u64()), (StatusCode::OK, Some(1)));
    assert_eq!(ask(&system, Method::GET, "/-/lots/job", ANNA).await.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn a_job_is_there_for_its_own_tenant_only() {
    let system = start(1).await;
    assert_eq!(submit(&system, "job", ANNA).await, StatusCode::ACCEPTED);
    assert_eq!(submit(&system, "job", ANNA).await, StatusCode::ACCEPTED, "it is taken once");
    assert_eq!(submit(&system, "job", BERT).await, StatusCode::CONFLICT, "the id is taken");
    assert_eq!(submit(&system, "other", "Bearer unknown").await, StatusCode::UNAUTHORIZED);
    for (method, path) in [
        (Method::GET, "/-/lots/job"),
        (Method::GET, "/-/items/job?id=job-0"),
        (Method::DELETE, "/-/lots/job"),
    ] {
        let foreign = ask(&system, method.clone(), path, BERT).await;
        assert_eq!(foreign.status, StatusCode::NOT_FOUND, "{method} {path}");
        assert!(ask(&system, method.clone(), path, "").await.status == StatusCode::UNAUTHORIZED);
        assert_eq!(ask(&system, method.clone(), path, ANNA).await.status, StatusCode::OK, "{method} {path}");
    }
    assert_eq!(
        ask(&system, Method::DELETE, "/-/lots/job", ANNA).await.status,
        StatusCode::OK,
        "it can be repeated"
    );
    let items = seen(&system, "job-0");
    assert!(
        !items.is_empty() && items.iter().all(|seen| *seen == (Some("anna".to_owned()), false)),
        "{items:?}"
    );
}

#[tokio::test]
async fn an_end_with_an_unknown_key_is_recorded_as_refused() {
    let system = start(1).await;
    let mut decisions = system.gateways[1].as_ref().expect("a gateway").context().decisions.watch();
    let answer = ask(&system, Method::DELETE, "/-/lots/job", "Bearer unknown").await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    let refused = async {
        loop {
            let decision = decisions.recv().await.expect("a decision").decision;
            if decision.action == "end_refused" {
                return (decision.subject.clone(), decision.reason.clone());
            }
        }
    };
    let refused = tokio::time::timeout(PATIENCE, refused).await.expect("the decision in time");
    assert_eq!(refused, ("job".to_owned(), "unknown_key".to_owned()));
}

/// Fails if the operators' list of tenants is not the one in force, or if it shows a key.
#[tokio::test]
async fn operators_see_the_tenants_in_force_without_their_keys() {
    let system = start(1).await;
    let operators = system.gateways[0].as_ref().expect("a gateway").addresses().operators;
    let document: TenantsDocument =
        system.http.get_json(operators, "/v1/tenants", PATIENCE).await.expect("the tenants");
    let tenants = document.tenants.as_ref().expect("callers need keys");
    let shown: Vec<_> =
        tenants.iter().map(|status| (status.tenant.as_str(), status.priority, status.keys)).collect();
    assert_eq!((document.version, shown), (2, vec![("anna", None, 2), ("bert", Some(0), 1)]));
    let text = serde_json::to_string(&document).expect("JSON");
    assert!(!text.contains("key-of") && !text.contains("second-key"), "{text}");
}

#[tokio::test]
async fn a_job_that_is_being_accepted_is_not_ended_by_another_tenant() {
    let system = start(1).await;
    assert_eq!(submit(&system, "first", ANNA).await, StatusCode::ACCEPTED);
    let owner = system.owner();
    let node = system.gateways[owner].as_ref().expect("the owner");
    let mut decisions = node.context().decisions.watch();
    // Without stores the job's record stays pending.
    system.stores.iter().flatten().for_each(Node::kill);
    let end = async {
        while decisions.recv().await.expect("a decision").decision.action != "batch_taken" {}
        let fields = [("attempt-id", "end"), ("authorization", BERT)];
        system.call(owner, Method::DELETE, "/-/lots/job", &fields, "").await
    };
    let (answer, _) = tokio::join!(end, submit(&system, "job", ANNA));
    assert_ne!(answer.status, StatusCode::OK);
    while let Ok(event) = decisions.try_recv() {
        assert_ne!(event.decision.action, "batch_ended");
    }
}
