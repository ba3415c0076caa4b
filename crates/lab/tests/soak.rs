//! Short soaks of the real processes with fixed seeds. They fail only if a guarantee is violated or nothing was exercised.

use std::path::Path;
use std::time::Duration;

use lichenpulley_lab::soak::{DaemonBuilds, SoakConfig, soak};

/// Runs a soak with a seed, injects faults for `seconds`, and asserts that every guarantee held.
async fn soak_with(seed: u64, seconds: u64, overlaps_faults: bool) {
    let folder = tempfile::tempdir().expect("a folder");
    let binary = Path::new(env!("CARGO_BIN_EXE_lichenpulley-lab")).with_file_name("lichenpulleyd");
    assert!(binary.exists(), "{} is missing; run `cargo build --workspace --bins`", binary.display());
    let duration = Duration::from_secs(seconds);
    let builds = DaemonBuilds { current: binary, previous: None };
    let config = SoakConfig { seed, duration, builds, folder: folder.path().to_owned(), overlaps_faults };
    let report = soak(&config).await.expect("a report");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.results > 0 && report.writes_answered > 0 && !report.faults.is_empty(), "{report:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_while_processes_and_connections_fail() {
    soak_with(1, 12, false).await;
}

/// Guards against the quarantine of a frequent write that ran on the same replicas as a request that ended them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn often_answered_request_is_not_quarantined_beside_one_that_ends_replicas() {
    soak_with(210, 15, false).await;
}

/// Guards against jobs that keep running although a gateway has read the request to end them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_of_a_job_arrives_after_its_end_while_nodes_are_lost() {
    soak_with(12, 21, true).await;
}
