//! Tests of `lichenpulley trace` on the logs of several nodes.

use lichenpulley_cli::commands::trace::{Trace, trace};
use lichenpulley_cli::output::Output;

/// Log lines of three nodes, out of order and with a collector's prefix.
const LOG: &str = r#"
edge-2 {"time":"2026-08-30T18:17:27.143Z","node":"edge-2","level":"info","part":"rollout","message":"taking_over","id":"batch/main","reason":"owner_silent","idle_ms":"6130"}
edge-1 {"time":"2026-08-30T18:17:20.025Z","node":"edge-1","level":"info","part":"rollout","message":"batch_taken","id":"3ab6","reason":"has_room","items":"96"}
edge-1 {"time":"2026-08-30T18:17:20.030Z","node":"edge-1","level":"info","part":"rollout","message":"run_started","id":"item-7","reason":"chosen","batch":"3ab6","replica":"i-1","run":4}
no log line
edge-1 {"time":"2026-08-30T18:17:20.900Z","node":"edge-1","level":"info","part":"rollout","message":"run_ended","id":"item-7","reason":"broken","batch":"3ab6","replica":"i-1","run":4}
edge-2 {"time":"2026-08-30T18:17:30.000Z","node":"edge-2","level":"info","part":"rollout","message":"run_ended","id":"item-7","reason":"complete","batch":"3ab6","replica":"i-2","run":1}
edge-3 {"time":"2026-08-30T18:17:21.000Z","node":"edge-3","level":"info","part":"request","message":"refused","id":"r-9","reason":"no_owner"}
"#;

fn run(id: &str, json: bool) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("all.log");
    std::fs::write(&path, LOG).expect("a file");
    let files = vec![path.to_string_lossy().into_owned()];
    let (mut results, mut notes) = (Vec::new(), Vec::new());
    let mut output = Output::new(&mut results, &mut notes, json);
    trace(&Trace { id: id.to_owned(), files }, &mut output).expect("a trace");
    String::from_utf8(results).expect("text")
}

#[test]
fn an_item_is_traced_across_owners_in_order_of_time() {
    let shown = run("item-7", false);
    let decisions: Vec<&str> =
        shown.lines().skip(1).filter_map(|line| line.split_whitespace().nth(2)).collect();
    assert_eq!(decisions, ["batch_taken", "run_started", "run_ended", "taking_over", "run_ended"]);
    assert!(shown.contains("idle_ms=6130"), "the cause of the gap: {shown}");
}

#[test]
fn a_refused_request_shows_its_reason_without_other_decisions() {
    let shown = run("r-9", true);
    assert!(shown.contains("no_owner") && !shown.contains("item-7"), "{shown}");
}
