//! The README's first command holds what it promises, also while an engine crashes and the job's owner is killed.

use lichenpulley_lab::demo::{System, demonstrate, plan};

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_lost_while_an_engine_crashes_and_the_owner_is_killed() {
    let system = System::start(&plan()).await.expect("the system starts");
    let summary = demonstrate(&system, true).await.expect("the job runs");
    summary.check().unwrap_or_else(|error| panic!("{error}\n{summary}"));
    assert_eq!(summary.trainer.samples, 384);
}
