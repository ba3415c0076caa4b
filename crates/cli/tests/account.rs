//! Tests of `lichenpulley account` on the logs of two owners.

use lichenpulley_cli::commands::account::{Account, account};
use lichenpulley_cli::log_lines::{LogLine, time_ms};
use lichenpulley_cli::output::Output;
use lichenpulley_cli::step_account;
use serde_json::json;

fn line(milliseconds: u64, message: &str, fields: serde_json::Value) -> LogLine {
    let (seconds, rest) = (milliseconds / 1_000, milliseconds % 1_000);
    let mut line = fields.as_object().expect("fields").clone();
    line.insert("time".to_owned(), json!(format!("2026-12-02T10:00:{seconds:02}.{rest:03}Z")));
    line.insert("message".to_owned(), json!(message));
    line
}

/// Logs of a step with two groups, both desired by the trainer. The item `slow` completes the step; its first owner is lost.
fn logs() -> Vec<LogLine> {
    vec![
        line(0, "batch_taken", json!({"id": "j", "step": "3"})),
        line(100, "run_started", json!({"batch": "j", "id": "quick", "replica": "a"})),
        line(200, "run_started", json!({"batch": "j", "id": "slow", "replica": "a"})),
        line(600, "run_ended", json!({"batch": "j", "id": "quick", "replica": "a", "reason": "complete"})),
        line(650, "score_ended", json!({"batch": "j", "id": "s", "item": "quick", "reason": "scored"})),
        line(700, "group_whole", json!({"batch": "j", "id": "quick", "whole": "1", "desired": "2"})),
        line(
            1_200,
            "run_stopped",
            json!({"batch": "j", "id": "slow", "replica": "a", "reason": "slow_replica"}),
        ),
        line(1_300, "taken_over", json!({"id": "batch/main"})),
        line(1_500, "run_started", json!({"batch": "j", "id": "slow", "replica": "b"})),
        line(2_500, "run_ended", json!({"batch": "j", "id": "slow", "replica": "b", "reason": "complete"})),
        line(2_560, "score_ended", json!({"batch": "j", "id": "t", "item": "slow", "reason": "scored"})),
        line(2_570, "group_whole", json!({"batch": "j", "id": "slow", "whole": "2", "desired": "2"})),
        line(3_000, "batch_ended", json!({"id": "j", "reason": "caller"})),
    ]
}

#[test]
fn a_step_is_split_by_the_phases_of_the_item_that_completed_it() {
    let accounts = step_account::account_steps(&logs());
    let [step] = accounts.as_slice() else { panic!("{accounts:?}") };
    assert_eq!((step.step.as_str(), step.item.as_str(), step.whole, step.desired), ("3", "slow", 2, 2));
    let parts = [step.wait_ms, step.run_ms, step.gap_ms, step.score_ms, step.list_ms, step.read_ms];
    assert_eq!(parts, [200, 2_000, 300, 60, 10, 430]);
    assert_eq!((parts.iter().sum::<u64>(), step.total_ms), (3_000, 3_000), "the parts add up to the total");
    assert_eq!(step.takeovers, 1);
    let runs: Vec<(&str, &str)> =
        step.runs.iter().map(|run| (run.replica.as_str(), run.end.as_str())).collect();
    assert_eq!(runs, [("a", "slow_replica"), ("b", "complete")]);
}

#[test]
fn a_step_with_too_few_complete_groups_has_no_item() {
    let logs: Vec<LogLine> = logs().into_iter().take(6).collect();
    let accounts = step_account::account_steps(&logs);
    assert_eq!((accounts[0].whole, accounts[0].desired, accounts[0].item.as_str()), (1, 2, ""));
}

#[test]
fn the_time_of_a_line_without_a_time_field_is_none() {
    assert_eq!(time_ms(&LogLine::new()), None);
    assert_eq!(time_ms(&line(1_500, "x", json!({}))).map(|at| at % 60_000), Some(1_500));
}

#[test]
fn the_command_skips_line_prefixes_and_writes_a_plot() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let path = |name: &str| folder.path().join(name).to_string_lossy().into_owned();
    let text: Vec<String> = logs().iter().map(|line| format!("7.5 node-1 {}", json!(line))).collect();
    std::fs::write(path("log"), text.join("\n")).expect("a file");
    let (mut results, mut notes) = (Vec::new(), Vec::new());
    let mut output = Output::new(&mut results, &mut notes, false);
    account(&Account { files: vec![path("log")], plot: Some(path("plot.svg")) }, &mut output)
        .expect("an account");
    let table = String::from_utf8(results).expect("text");
    assert!(table.contains("a 1.00 slow_replica, b 1.00 complete"), "{table}");
    let plot = std::fs::read_to_string(path("plot.svg")).expect("a plot");
    assert!(plot.starts_with("<svg") && plot.contains("step 3"));
}
