//! Tests of `config get`, `config set` and `config explain` against a scripted node.

mod support;

use lichenpulley_cli::error::CliError;
use serde_json::{Value, json};
use support::{Answer, RecordedRequest, Server, run};

fn document() -> Answer {
    let settings = json!([
        {"path": "/", "key": "request.deadline_ms", "value": 4000},
        {"path": "/ramsaran", "key": "request.deadline_ms", "value": 2500},
        {"path": "/ramsaran-two", "key": "request.deadline_ms", "value": 1},
        {"path": "/ramsaran/bench", "key": "job.staleness_bound", "value": 2}
    ]);
    Answer::Json(200, json!({"revision": 7, "settings": settings}))
}

fn changed(revision: u64) -> Answer {
    Answer::Json(200, json!({"revision": revision}))
}

fn refused(status: u16, kind: &str) -> Answer {
    let body = json!({"kind": kind, "message": "the revision is 9", "remedy": "read it and change it again"});
    Answer::Json(status, body)
}

#[tokio::test]
async fn get_shows_a_level_and_the_levels_below_it() {
    let server = Server::start(|_, _| document()).await;
    let run = run(&["config", "get", "/ramsaran", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "LEVEL            KEY                  VALUE\n\
                    /ramsaran        request.deadline_ms  2500\n\
                    /ramsaran/bench  job.staleness_bound  2\n\
                    revision 7\n";
    assert_eq!(run.results, expected);
}

#[tokio::test]
async fn explain_names_the_level_that_set_the_value() {
    let effective = json!({
        "path": "/ramsaran/bench", "key": "request.deadline_ms", "value": 2500, "source": "/ramsaran", "revision": 7
    });
    let server = Server::start(move |_, request| {
        if request.path.starts_with("/v1/config/effective") {
            Answer::Json(200, effective.clone())
        } else {
            document()
        }
    })
    .await;
    let address = server.address.to_string();
    let run = run(&["-o", &address, "config", "explain", "/ramsaran/bench", "request.deadline_ms"]).await;
    run.result.expect("success");
    let expected = "request.deadline_ms at /ramsaran/bench is 2500, from level /ramsaran, at revision 7\n\
                    LEVEL            VALUE\n\
                    /                4000\n\
                    /ramsaran        2500      in force\n\
                    /ramsaran/bench  inherits\n";
    assert_eq!(run.results, expected);
    let path = &server.requests()[0].path;
    assert_eq!(path, "/v1/config/effective?path=%2Framsaran%2Fbench&key=request.deadline_ms");
}

#[tokio::test]
async fn set_reads_the_revision_first_and_sends_a_change_id() {
    let server = Server::start(|index, _| if index == 0 { document() } else { changed(8) }).await;
    let address = server.address.to_string();
    let run =
        run(&["-o", &address, "--json", "config", "set", "/ramsaran", "request.deadline_ms", "3000"]).await;
    run.result.expect("success");
    assert_eq!(run.results, "{\"revision\":8}\n");
    let requests = server.requests();
    assert_eq!((requests[0].method.as_str(), requests[0].path.as_str()), ("GET", "/v1/config"));
    assert_eq!((requests[1].method.as_str(), requests[1].path.as_str()), ("PUT", "/v1/config"));
    assert_eq!(requests[1].body["base_revision"], 7);
    assert_eq!(requests[1].body["value"], 3000);
    assert_eq!(change_id(&requests[1]).len(), 32);
}

#[tokio::test]
async fn a_given_base_skips_reading_and_a_string_needs_no_quotes() {
    let server = Server::start(|_, _| changed(8)).await;
    let address = server.address.to_string();
    let line = ["-o", &address, "config", "set", "/", "pool", "bench", "--base", "3", "--change-id", "mine"];
    run(&line).await.result.expect("success");
    let requests = server.requests();
    assert_eq!(requests.len(), 1);
    let sent = json!({"base_revision": 3, "change_id": "mine", "path": "/", "key": "pool", "value": "bench"});
    assert_eq!(requests[0].body, sent);
}

#[tokio::test]
async fn remove_sends_no_value() {
    let server = Server::start(|_, _| changed(8)).await;
    let address = server.address.to_string();
    run(&["-o", &address, "config", "set", "--remove", "/", "pool", "--base", "3"])
        .await
        .result
        .expect("success");
    assert_eq!(server.requests()[0].body["value"], Value::Null);
}

#[tokio::test]
async fn a_missing_response_repeats_the_same_change() {
    let server = Server::start(|index, _| match index {
        0 => document(),
        1 => Answer::Dropped,
        _ => changed(8),
    })
    .await;
    let run = run(&["config", "set", "/", "k", "1", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    assert!(run.notes.contains("repeating the same change"), "{}", run.notes);
    let requests = server.requests();
    assert_eq!(requests.len(), 3);
    assert_eq!(requests[1].body, requests[2].body, "same id, same base, same value");
}

#[tokio::test]
async fn a_change_without_any_response_is_in_doubt() {
    let server = Server::start(|index, _| if index == 0 { document() } else { Answer::Dropped }).await;
    let run = run(&["config", "set", "/", "k", "1", "-o", &server.address.to_string()]).await;
    let error = run.result.expect_err("no answer came");
    let sent = change_id(&server.requests()[1]);
    let CliError::InDoubt { change_id, base, .. } = &error else { panic!("{error:?}") };
    assert_eq!((change_id, base.0), (&sent, 7));
    assert!(error.remedy().contains(&format!("--change-id {sent} --base 7")), "{}", error.remedy());
    assert_eq!(error.exit_code(), 1);
}

#[tokio::test]
async fn a_revision_conflict_is_reported_and_not_repeated() {
    let server =
        Server::start(|index, _| if index == 0 { document() } else { refused(409, "revision_conflict") })
            .await;
    let run = run(&["config", "set", "/", "k", "1", "-o", &server.address.to_string()]).await;
    let error = run.result.expect_err("a conflict");
    assert_eq!((error.kind(), error.exit_code()), ("revision_conflict", 1));
    assert_eq!(error.remedy(), "read it and change it again");
    assert_eq!(server.requests().len(), 2);
}

#[tokio::test]
async fn a_refusal_that_states_not_run_is_not_in_doubt() {
    let server = Server::start(|index, _| {
        let body = json!({"kind": "platform_down", "message": "m", "remedy": "r", "execution": "not_run"});
        if index == 0 { document() } else { Answer::Json(503, body) }
    })
    .await;
    let run = run(&["config", "set", "/", "k", "1", "-o", &server.address.to_string()]).await;
    assert_eq!(run.result.expect_err("refused").kind(), "platform_down");
    assert_eq!(server.requests().len(), 2);
}

fn change_id(request: &RecordedRequest) -> String {
    request.body["change_id"].as_str().expect("a text").to_owned()
}
