//! Tests that a shortage is told when it begins, every five seconds and when it ends, however often it is looked at.

use std::time::Duration;

use lichenpulley_core::batch::queue_report::{QueueReport, ServiceQueue, TrainerQueue};
use lichenpulley_core::batch::shortage_summary::ShortageSummaries;
use lichenpulley_core::decision::Decision;
use lichenpulley_core::time::Timestamp;

fn report(services: &[(&str, bool)]) -> QueueReport {
    let trainer = |priority, waiting| TrainerQueue { priority, waiting, ..TrainerQueue::default() };
    let services = services.iter().map(|(name, is_short)| ServiceQueue {
        service: (*name).to_owned(),
        slots: 24,
        drain_ms: Some(5_200),
        is_short: *is_short,
        trainers: vec![trainer(1, 9), trainer(0, 4), trainer(1, 2)],
        ..ServiceQueue::default()
    });
    QueueReport { services: services.collect(), refused_jobs: 3 }
}

/// Looks every 100 ms for the given time; returns when which reason was told about which service.
fn observe(
    summaries: &mut ShortageSummaries,
    from_ms: u64,
    to_ms: u64,
    report: impl Fn(u64) -> QueueReport,
) -> Vec<(u64, String, String)> {
    let mut told = Vec::new();
    for now_ms in (from_ms..to_ms).step_by(100) {
        let now = Timestamp::ORIGIN + Duration::from_millis(now_ms);
        let decisions = summaries.observe(now, &report(now_ms));
        told.extend(decisions.into_iter().map(|told| (now_ms, told.reason, told.subject)));
    }
    told
}

fn told(now_ms: u64, reason: &str, service: &str) -> (u64, String, String) {
    (now_ms, reason.to_owned(), service.to_owned())
}

/// Fails if a shortage is told for each look, or if its end is not told because the service has no work any more.
#[test]
fn shortage_is_told_at_its_begin_every_five_seconds_and_at_its_end() {
    let mut summaries = ShortageSummaries::default();
    let short = observe(&mut summaries, 0, 11_000, |_| report(&[("pricing", true), ("plain", false)]));
    let expected =
        [told(0, "begun", "pricing"), told(5_000, "lasts", "pricing"), told(10_000, "lasts", "pricing")];
    assert_eq!(short, expected);
    let idle = observe(&mut summaries, 11_000, 20_000, |_| report(&[]));
    assert_eq!(idle, [told(12_900, "ended", "pricing")]);
}

/// Fails if a service that is short and not short in turns floods the log.
#[test]
fn service_around_the_threshold_is_told_once() {
    let mut summaries = ShortageSummaries::default();
    let told_all =
        observe(&mut summaries, 0, 4_900, |now_ms| report(&[("pricing", now_ms / 1_000 % 2 == 0)]));
    assert_eq!(told_all, [told(0, "begun", "pricing")]);
}

#[test]
fn summary_states_the_levels_by_priority() {
    let decisions = ShortageSummaries::default().observe(Timestamp::ORIGIN, &report(&[("pricing", true)]));
    let [decision]: [Decision; 1] = decisions.try_into().expect("one decision");
    let input = |name: &str| {
        let input = decision.inputs.iter().find(|input| input.name == name);
        input.map(|input| input.value.clone()).unwrap_or_default()
    };
    assert_eq!((input("drain_ms").as_str(), input("refused_jobs").as_str()), ("5200", "3"));
    assert!(input("priority_0").contains("waiting 4"), "{decision:?}");
    assert!(input("priority_1").contains("waiting 11"), "{decision:?}");
}
