//! The load generator against engines, with and without harm on the wire.

use std::time::Duration;

use lichenpulley_core::identity::{PoolName, ZoneName};
use lichenpulley_lab::engine::faults::{EngineFault, WireFaults};
use lichenpulley_lab::engine::{Engine, EngineOptions, start};
use lichenpulley_lab::load::{
    CallOptions, CallOutcome, LoadOptions, LoadReport, Pacing, Target, Workload, generate,
};
use lichenpulley_protocol::caller::Priority;
use tokio_util::sync::CancellationToken;

const CALLERS: u32 = 4;

async fn engine() -> Engine {
    let mut options = EngineOptions::new("replica", PoolName::new("pool"), ZoneName::new("zone"));
    options.model.step_time = Duration::from_millis(1);
    start(options).await.expect("loopback ports are free")
}

/// Each caller asks at least once, however short the run.
async fn load(engine: &Engine) -> LoadReport {
    let options = LoadOptions {
        targets: vec![Target::Engine(engine.address())],
        call: CallOptions {
            pool: PoolName::new("pool"),
            max_tokens: 64,
            priority: Priority::Live,
            deadline: Duration::from_secs(30),
        },
        pacing: Pacing::Closed { callers: CALLERS },
        duration: Duration::from_millis(100),
    };
    generate(options, &CancellationToken::new()).await
}

#[tokio::test]
async fn whole_answers_are_counted_as_completed() {
    let engine = engine().await;
    let report = load(&engine).await;
    assert!(report.count(CallOutcome::Completed) >= u64::from(CALLERS), "{report:?}");
    assert_eq!(report.outcomes.len(), 1, "{report:?}");
    assert_eq!(engine.counters().streams_admitted, report.count(CallOutcome::Completed));
}

#[tokio::test]
async fn doubled_chunks_and_broken_streams_are_found() {
    let engine = engine().await;
    engine.inject(EngineFault::Wire(WireFaults { duplicate_every: 2, ..WireFaults::default() })).await;
    let doubled = load(&engine).await;
    assert_eq!(doubled.count(CallOutcome::Completed), 0, "{doubled:?}");
    assert!(doubled.count(CallOutcome::Wrong) >= u64::from(CALLERS), "{doubled:?}");
    engine
        .inject(EngineFault::Wire(WireFaults { drop_after_tokens: Some(2), ..WireFaults::default() }))
        .await;
    let broken = load(&engine).await;
    assert_eq!(broken.count(CallOutcome::Completed), 0, "{broken:?}");
    assert!(broken.count(CallOutcome::NoAnswer) >= u64::from(CALLERS), "{broken:?}");
    engine.inject(EngineFault::RefuseAll { refuse: true }).await;
    let refused = load(&engine).await;
    assert!(refused.count(CallOutcome::NotRun) >= u64::from(CALLERS), "{refused:?}");
}

#[test]
fn the_same_seed_draws_the_same_prompts() {
    let draw = || {
        let mut workload = Workload::default();
        (0..100).map(|_| workload.draw()).collect::<Vec<_>>()
    };
    assert_eq!(draw(), draw());
}
