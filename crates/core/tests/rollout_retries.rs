//! Slots whose attempts keep failing, for example because their prompt crashes engines.

use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, Epoch, JobId, PoolName};
use lichenpulley_core::rollout::{
    Action, AttemptOutcome, ControllerConfig, Event, JobController, JobSpecification,
};
use lichenpulley_core::time::Timestamp;

/// Commits pending records and returns the attempt that was started, if any.
fn started_attempt(controller: &mut JobController, now: Timestamp) -> Option<AttemptId> {
    let mut started = None;
    while let Some(action) = controller.poll_action() {
        match action {
            Action::Start(start) => started = Some(start.attempt),
            Action::Append(_) => controller.handle(Event::Appended, now),
            _ => {}
        }
    }
    started
}

#[test]
fn a_slot_that_keeps_failing_is_retried_with_growing_delays() {
    let specification = JobSpecification {
        job: JobId::new("j"),
        pool: PoolName::new("p"),
        prompts: vec!["prompt".to_owned()],
        samples_per_prompt: 1,
        steps: 1,
        max_tokens: 8,
        staleness_bound: 1,
        idle_weight_percent: 0,
    };
    let config = ControllerConfig::default();
    let mut now = Timestamp::ORIGIN;
    let mut controller = JobController::create(specification, Epoch(1), config, now);
    let mut delays = Vec::new();
    for _ in 0..20 {
        let attempt = loop {
            if let Some(attempt) = started_attempt(&mut controller, now) {
                break attempt;
            }
            now = controller.next_wakeup().expect("a retry is due");
            controller.handle(Event::WakeUp, now);
        };
        let outcome = AttemptOutcome::Failed { reason: "engine_lost".to_owned(), retry_after: None };
        let failed_at = now;
        controller.handle(Event::AttemptEnded { attempt, outcome }, now);
        assert!(started_attempt(&mut controller, now).is_none());
        now = controller.next_wakeup().expect("a retry is due");
        delays.push(now.saturating_since(failed_at));
        controller.handle(Event::WakeUp, now);
    }
    // The first delays stay short, so that a single engine crash delays a slot little.
    assert_eq!(delays[..3], [200, 400, 800].map(Duration::from_millis));
    assert_eq!(delays[19], Duration::from_secs(30));
}
