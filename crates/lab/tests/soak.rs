//! A short soak of the real processes with a fixed seed. Judged on the promises alone.

use std::path::Path;
use std::time::Duration;

use lichenpulley_lab::soak::{SoakConfig, soak};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_promises_hold_while_processes_and_connections_fail() {
    let folder = tempfile::tempdir().expect("a folder");
    let binary = Path::new(env!("CARGO_BIN_EXE_lichenpulley-lab")).with_file_name("lichenpulleyd");
    assert!(binary.exists(), "{} is missing; run `cargo build --workspace --bins`", binary.display());
    let config =
        SoakConfig { seed: 1, duration: Duration::from_secs(12), binary, folder: folder.path().to_owned() };
    let report = soak(&config).await.expect("a report");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.results > 0 && report.writes_answered > 0 && !report.faults.is_empty(), "{report:#?}");
}
