//! The routing experiment gives the same figures each time, or no figure of it would mean anything.

use std::path::Path;

use lichenpulley_lab::experiment;

async fn figures(folder: &Path) -> String {
    let output = folder.to_str().expect("a path in UTF-8");
    let arguments =
        ["routing", "--pool", "counter_ticket", "--seeds", "1", "--seconds", "2", "--output", output];
    let arguments = arguments.map(str::to_owned);
    experiment::run(&arguments).await.expect("it runs");
    std::fs::read_to_string(folder.join("routing.csv")).expect("its table is written")
}

#[tokio::test]
async fn the_same_seed_gives_the_same_figures() {
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let first = figures(folder.path()).await;
    let second = figures(folder.path()).await;
    assert_eq!(first, second);
    // A line of names, and one for each policy.
    assert_eq!(first.lines().count(), 4, "{first}");
    assert!(folder.path().join("routing-ramsaran-counter_ticket.svg").exists());
}
