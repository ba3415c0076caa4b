//! Tests of `watch` against scripted nodes: filters, reconnection and reports of lost decisions.

mod support;

use std::fmt::Write;

use lichenpulley_cli::event_stream::{EventDecoder, ServerSentEvent};
use serde_json::json;
use support::{Answer, Server, run};

/// Returns a stream that ends after these sequence numbers; even ones belong to routing, odd ones to rollout.
fn stream(sequences: &[u64]) -> Answer {
    let mut text = ": hello\n\n".to_owned();
    for &sequence in sequences {
        let component = if sequence % 2 == 0 { "routing" } else { "rollout" };
        let event = json!({
            "node": "node-1", "sequence": sequence, "unix_ms": 3_723_004, "component": component,
            "action": "routed", "reason": "least_load", "subject": format!("request-{sequence}"),
            "inputs": [{"name": "in_flight", "value": "3"}]
        });
        write!(text, "data: {event}\n\n").expect("writing to a string succeeds");
    }
    Answer::Text(text)
}

#[tokio::test]
async fn a_decision_is_one_line_with_its_reason_and_inputs() {
    let server = Server::start(|_, _| stream(&[4])).await;
    let run = run(&["watch", "-n", "1", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    let expected = "01:02:03.004 node-1     routing       routed           least_load               \
                    request-4  in_flight=3\n";
    assert_eq!(run.results, expected);
}

#[tokio::test]
async fn a_sequence_gap_is_reported_also_after_a_reconnect() {
    let server = Server::start(|index, _| match index {
        0 => stream(&[4, 5, 9]),
        _ => stream(&[12]),
    })
    .await;
    let run = run(&["watch", "-n", "4", "--json", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    assert_eq!(run.results.lines().count(), 4);
    assert!(run.notes.contains("3 decisions of node-1 were lost"), "{}", run.notes);
    assert!(run.notes.contains("2 decisions of node-1 were lost"), "{}", run.notes);
    assert!(run.notes.contains("connecting again"), "{}", run.notes);
}

#[tokio::test]
async fn a_filtered_decision_is_not_reported_as_lost() {
    let server = Server::start(|_, _| stream(&[4, 5, 6, 7, 8])).await;
    let address = server.address.to_string();
    let run = run(&["watch", "-n", "2", "--component", "rollout", "-o", &address]).await;
    run.result.expect("success");
    let subjects: Vec<&str> = run.results.lines().filter_map(|line| line.split_whitespace().nth(5)).collect();
    assert_eq!(subjects, ["request-5", "request-7"]);
    assert!(!run.notes.contains("lost"), "{}", run.notes);
}

#[tokio::test]
async fn a_lower_sequence_number_is_reported_as_a_restart() {
    let server = Server::start(|index, _| if index == 0 { stream(&[40]) } else { stream(&[0]) }).await;
    let run = run(&["watch", "-n", "2", "-o", &server.address.to_string()]).await;
    run.result.expect("success");
    assert!(run.notes.contains("node-1 was started again"), "{}", run.notes);
}

#[test]
fn events_are_independent_of_chunk_boundaries() {
    let text = b": comment\r\n\r\nevent: error\r\ndata: one\r\ndata: two\r\n\r\ndata:three\n\nid: 4\n\n";
    let event = |name: &str, data: &str| ServerSentEvent { name: name.to_owned(), data: data.to_owned() };
    let expected = [event("error", "one\ntwo"), event("", "three")];
    for size in 1..=text.len() {
        let mut decoder = EventDecoder::default();
        let events: Vec<ServerSentEvent> = text.chunks(size).flat_map(|chunk| decoder.push(chunk)).collect();
        assert_eq!(events, expected, "in chunks of {size}");
    }
}
