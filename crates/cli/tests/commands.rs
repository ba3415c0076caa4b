//! Tests of the commands other than `config`, `watch`, `trace` and `account`, and of addresses and exit codes, against a
//! scripted node.

mod support;

use serde_json::json;
use support::{Answer, Server, run};

fn job_status() -> Answer {
    let status = json!({
        "job": "j", "step": 1, "steps": 4, "ready": 3, "delivered": 32, "reopened": 1, "in_flight": 5,
        "finished": false
    });
    Answer::Json(200, status)
}

#[tokio::test]
async fn job_status_is_a_table() {
    let server = Server::start(|_, _| job_status()).await;
    let run = run(&["job", "status", "j", "-c", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "JOB  STEP  STEPS  READY  DELIVERED  REOPENED  IN FLIGHT  FINISHED\n\
                    j    1     4      3      32         1         5          no\n";
    assert_eq!(run.results, expected);
    assert_eq!(server.requests()[0].path, "/v1/jobs/j");
}

#[tokio::test]
async fn job_submit_sends_the_file() {
    let server = Server::start(|_, _| job_status()).await;
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("job.json");
    let specification = json!({
        "job": "j", "pool": "p", "prompts": ["a"], "samples_per_prompt": 2, "steps": 4, "max_tokens": 8,
        "staleness_bound": 1, "idle_weight_percent": 20
    });
    std::fs::write(&path, specification.to_string()).expect("written");
    let line = ["job", "submit", path.to_str().expect("text"), "-c", &server.address.to_string()];
    run(&line).await.result.expect("success");
    let requests = server.requests();
    assert_eq!((requests[0].method.as_str(), requests[0].path.as_str()), ("POST", "/v1/jobs"));
    assert_eq!(requests[0].body, specification);
}

#[tokio::test]
async fn a_job_file_with_an_unknown_key_is_rejected_before_any_request() {
    let server = Server::start(|_, _| job_status()).await;
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("job.json");
    std::fs::write(&path, "{\"job\": \"j\", \"step\": 4}").expect("written");
    let run = run(&["job", "submit", path.to_str().expect("text"), "-c", &server.address.to_string()]).await;
    let error = run.result.expect_err("refused");
    assert_eq!((error.kind(), error.exit_code()), ("file", 2));
    assert!(error.to_string().contains("unknown field `step`"), "{error}");
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn pool_list_shows_one_pool() {
    let replica = |name: &str, version: Option<u64>| {
        json!({
            "replica": name, "zone": "z1", "eligibility": "eligible", "in_flight": 2, "concurrency_limit": 16,
            "weight_version": version
        })
    };
    let pools = json!([
        {"pool": "bench", "replicas": [replica("bench-1", Some(3)), replica("bench-2", None)]},
        {"pool": "counter", "replicas": [replica("counter-1", Some(1))]}
    ]);
    let server = Server::start(move |_, _| Answer::Json(200, pools.clone())).await;
    let run = run(&["pool", "list", "bench", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "POOL   REPLICA  ZONE  ELIGIBILITY  IN FLIGHT  LIMIT  WEIGHTS\n\
                    bench  bench-1  z1    eligible     2          16     3\n\
                    bench  bench-2  z1    eligible     2          16     -\n";
    assert_eq!(run.results, expected);
}

#[tokio::test]
async fn replicas_shows_the_send_state_of_one_service() {
    let cold = |interval_ms: Option<u64>| json!({"cause": "recorded", "since_ms": 1_200, "left_ms": 4_800, "interval_ms": interval_ms, "sent": 1});
    let replica = |id: &str, service: &str, state: &str, cold: serde_json::Value| json!({"replica": id, "service": service, "zone": "z1", "state": state, "cold": cold});
    let replicas = json!([
        replica("i-1", "engines", "cold", cold(Some(1_333))),
        replica("i-2", "engines", "cold", cold(None)),
        replica("i-3", "engines", "warm", json!(null)),
        replica("i-4", "scorers", "evacuated", json!(null)),
    ]);
    let server = Server::start(move |_, _| Answer::Json(200, replicas.clone())).await;
    let run = run(&["replicas", "engines", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "SERVICE  REPLICA  ZONE  STATE  CAUSE     SINCE MS  LEFT MS  EVERY MS  SENT\n\
                    engines  i-1      z1    cold   recorded  1200      4800     1333      1\n\
                    engines  i-2      z1    cold   recorded  1200      4800     never     1\n\
                    engines  i-3      z1    warm   -         -         -        -         -\n";
    assert_eq!(run.results, expected);
    assert_eq!(server.requests()[0].path, "/v1/replicas");
}

#[tokio::test]
async fn drain_sends_the_order_to_the_replica() {
    let load = json!({
        "role": "draining", "running": 4, "queued": 1, "capacity": 8, "tokens_per_second": 0,
        "weight_version": 1, "incarnation": 1, "age_ms": 0
    });
    let accepted = json!({"replica": "bench/1", "load": load});
    let server = Server::start(move |_, _| Answer::Json(200, accepted.clone())).await;
    let run = run(&["drain", "bench/1", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    assert_eq!(run.results, "bench/1 takes no new work; 4 requests run and 1 wait there\n");
    let requests = server.requests();
    assert_eq!(
        (requests[0].method.as_str(), requests[0].path.as_str()),
        ("POST", "/v1/replicas/bench%2F1/drain")
    );
}

#[tokio::test]
async fn undrain_sends_the_order_to_the_replica() {
    let load = json!({
        "role": "serving", "running": 4, "queued": 1, "capacity": 8, "tokens_per_second": 0,
        "weight_version": 1, "incarnation": 1, "age_ms": 0
    });
    let accepted = json!({"replica": "bench/1", "load": load});
    let server = Server::start(move |_, _| Answer::Json(200, accepted.clone())).await;
    let run = run(&["undrain", "bench/1", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    assert_eq!(run.results, "bench/1 takes work again\n");
    let requests = server.requests();
    assert_eq!(
        (requests[0].method.as_str(), requests[0].path.as_str()),
        ("POST", "/v1/replicas/bench%2F1/undrain")
    );
}

#[tokio::test]
async fn regions_shows_regions_shard_owners_and_refusals() {
    let document = json!({
        "regions": [{"region": "east", "zones": ["e-1", "e-2"], "nodes": 5, "coordinators": 2, "stores": 3,
            "replicas": 7}],
        "shards": [{"shard": "batch/in/east", "regions": "east", "owner": "node-4", "stores": ["s-1", "s-2"],
            "shortage": null}],
        "refusals": [{"regions": "west", "reason": "outside_regions", "count": 9}],
    });
    let server = Server::start(move |_, _| Answer::Json(200, document.clone())).await;
    let run = run(&["regions", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    for line in
        [["east", "e-1 e-2", "7"], ["batch/in/east", "node-4", "s-1 s-2"], ["west", "outside_regions", "9"]]
    {
        let shows = |shown: &str| line.iter().all(|word| shown.contains(word));
        assert!(run.results.lines().any(shows), "{}", run.results);
    }
    assert_eq!(server.requests()[0].path, "/v1/regions");
}

#[tokio::test]
async fn queue_shows_one_service_by_priority_and_an_owner_without_an_answer_as_unknown() {
    let trainer = |priority: u32, tenant: Option<&str>, waiting: u32| {
        json!({"priority": priority, "tenant": tenant, "route": "train", "model": "pricing", "jobs": 2, "running": 3,
            "waiting": waiting, "groups_in_time": 4, "groups_late": 5, "groups_surplus": 6, "oldest_waiting_ms": 700,
            "share_percent": 33})
    };
    let service = |name: &str, drain: Option<u64>| {
        json!({"service": name, "slots": 24, "used_slots": 6, "drain_ms": drain, "is_short": drain.is_some(),
            "trainers": [trainer(1, None, 9), trainer(0, Some("anna"), 8)]})
    };
    let shards = json!([
        {"shard": "batch/main", "regions": "all", "owner": "node-2",
            "report": {"services": [service("plain", None), service("pricing", Some(5200))], "refused_jobs": 12}},
        {"shard": "batch/in/east", "regions": "east", "owner": "node-4", "report": null}
    ]);
    let server = Server::start(move |_, _| Answer::Json(200, shards.clone())).await;
    let run = run(&["queue", "pricing", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "SHARD          REGIONS  OWNER   STATE     REFUSED JOBS\n\
                    batch/main     all      node-2  reported  12\n\
                    batch/in/east  east     node-4  unknown   -\n\
                    SHARD       SERVICE  SLOTS  USED  DRAIN MS  SHORTAGE\n\
                    batch/main  pricing  24     6     5200      yes\n\
                    SERVICE  PRIORITY  TENANT  ROUTE  MODEL    JOBS  RUNNING  WAITING  IN TIME  LATE  SURPLUS  \
                    OLDEST MS  SHARE %\n\
                    pricing  0         anna    train  pricing  2     3        8        4        5     6        \
                    700        33\n\
                    pricing  1         -       train  pricing  2     3        9        4        5     6        \
                    700        33\n";
    assert_eq!(run.results, expected);
    assert_eq!(server.requests()[0].path, "/v1/queue");
}

#[tokio::test]
async fn tenants_shows_priorities_regions_and_numbers_of_keys() {
    let document = json!({"version": 7, "tenants": [
        {"tenant": "anna", "priority": null, "regions": [], "keys": 2},
        {"tenant": "bert", "priority": 0, "regions": ["east", "west"], "keys": 1}
    ]});
    let server = Server::start(move |_, _| Answer::Json(200, document.clone())).await;
    let run = run(&["tenants", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "TENANT  PRIORITY  REGIONS    KEYS\n\
                    anna    -         all        2\n\
                    bert    0         east west  1\n";
    assert_eq!(run.results, expected);
    assert_eq!(server.requests()[0].path, "/v1/tenants");
}

#[tokio::test]
async fn tenants_says_that_callers_need_no_keys() {
    let server = Server::start(|_, _| Answer::Json(200, json!({"version": 7, "tenants": null}))).await;
    let run = run(&["tenants", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    assert!(run.results.contains("callers need no keys"), "{}", run.results);
}

#[tokio::test]
async fn zones_shows_the_state_age_and_source_of_evacuations() {
    let zones = json!([
        {"zone": "a/1", "state": "evacuated", "replicas": 12, "evacuated_for_ms": 2100, "through": "edge-2", "age_ms": 300},
        {"zone": "b", "state": "open", "replicas": 0, "evacuated_for_ms": null, "through": null, "age_ms": 300}
    ]);
    let server = Server::start(move |_, _| Answer::Json(200, zones.clone())).await;
    let run = run(&["zones", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "ZONE  STATE      REPLICAS  FOR MS  THROUGH  AGE MS\n\
                    a/1   evacuated  12        2100    edge-2   300\n\
                    b     open       0         -       -        300\n";
    assert_eq!(run.results, expected);
}

#[tokio::test]
async fn evacuate_and_return_send_the_zone_and_report_a_refusal() {
    let server = Server::start(|_, request| match request.path.as_str() {
        "/v1/zones/a%2F1/evacuate" => Answer::Json(200, json!({"zone": "a/1", "state": "evacuated"})),
        "/v1/zones/a%2F1/return" => Answer::Json(200, json!({"zone": "a/1", "state": "open"})),
        _ => Answer::Json(404, json!({"kind": "unknown_zone", "message": "m", "remedy": "r"})),
    })
    .await;
    let address = server.address.to_string();
    let printed = run(&["evacuate", "a/1", "-o", &address]).await;
    printed.result.expect("success");
    assert!(printed.results.starts_with("a/1 is to be evacuated"), "{}", printed.results);
    let printed = run(&["return", "a/1", "-o", &address]).await;
    assert_eq!(printed.results, "a/1 takes work again\n");
    let refused = run(&["evacuate", "c", "-o", &address]).await.result.expect_err("refused");
    assert_eq!((refused.kind(), refused.exit_code()), ("unknown_zone", 1));
}

#[tokio::test]
async fn quarantine_lists_requests_and_release_sends_the_fingerprint() {
    let fingerprint = "93855f52fce4cd53d9d1ef4b5334c338";
    let held = json!([{"fingerprint": fingerprint, "replicas": ["r-1", "r-2", "r-3"], "held_for_ms": 1200}]);
    let server = Server::start(move |_, request| match request.path.as_str() {
        "/v1/quarantine" => Answer::Json(200, held.clone()),
        "/v1/quarantine/93855f52fce4cd53d9d1ef4b5334c338/release" => {
            Answer::Json(200, json!({"fingerprint": fingerprint}))
        }
        _ => Answer::Json(404, json!({"kind": "not_quarantined", "message": "m", "remedy": "r"})),
    })
    .await;
    let address = server.address.to_string();
    let shown = run(&["quarantine", "-o", &address]).await;
    shown.result.expect("success");
    let expected = "FINGERPRINT                       HELD FOR MS  REPLICAS ENDED\n\
                    93855f52fce4cd53d9d1ef4b5334c338  1200         r-1 r-2 r-3\n";
    assert_eq!(shown.results, expected);
    let released = run(&["release", fingerprint, "-o", &address]).await;
    assert!(released.results.starts_with(fingerprint), "{}", released.results);
    let other = run(&["release", &"0".repeat(32), "-o", &address]).await.result.expect_err("refused");
    assert_eq!(other.kind(), "not_quarantined");
    let usage = run(&["release", "r-1", "-o", &address]).await.result.expect_err("refused");
    assert!(usage.to_string().contains("hexadecimal"), "{usage}");
}

#[tokio::test]
async fn ends_lists_pending_ends_and_how_long_they_are_held() {
    let pending = json!([{"batch": "job-1", "source": "peer", "held_for_ms": 1200, "questions": 2}]);
    let server = Server::start(move |_, _| Answer::Json(200, pending.clone())).await;
    let address = server.address.to_string();
    let shown = run(&["ends", "-o", &address]).await;
    shown.result.expect("success");
    let expected = "JOB    FROM  HELD FOR MS  TIMES ASKED\njob-1  peer  1200         2\n";
    assert_eq!(shown.results, expected);
}

#[tokio::test]
async fn the_next_address_is_used_if_one_refuses_the_connection() {
    let server = Server::start(|_, _| job_status()).await;
    let closed = closed_address().await;
    let both = format!("{closed},{}", server.address);
    run(&["job", "status", "j", "-c", &both]).await.result.expect("success");
}

#[tokio::test]
async fn a_failed_connection_reports_the_address() {
    let closed = closed_address().await;
    let error = run(&["job", "status", "j", "-c", &closed]).await.result.expect_err("no listener");
    assert_eq!((error.kind(), error.exit_code()), ("unreachable", 1));
    assert!(error.to_string().contains(&closed), "{error}");
}

#[tokio::test]
async fn a_missing_address_error_names_the_flag_and_the_variable() {
    let error = run(&["pool", "list"]).await.result.expect_err("no address");
    assert_eq!(error.exit_code(), 2);
    assert_eq!(error.remedy(), "give --operators IP:PORT or set LICHENPULLEY_OPERATORS");
}

#[tokio::test]
async fn errors_are_json_with_the_json_option() {
    let error = run(&["pool", "list"]).await.result.expect_err("no address");
    let body: serde_json::Value = serde_json::from_str(&error.describe(true)).expect("JSON");
    assert_eq!(body["kind"], "no_address");
    assert!(error.describe(false).contains("\n  remedy: give --operators"));
}

/// Returns an address without a listener: its port was bound and closed again.
async fn closed_address() -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address").to_string()
}
