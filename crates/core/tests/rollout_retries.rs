//! Slots whose attempts fail again and again, such as those under which engines end.

use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, Epoch, JobId, PoolName};
use lichenpulley_core::rollout::{
    Action, AttemptOutcome, ControllerConfig, Event, JobController, JobSpecification,
};
use lichenpulley_core::time::Timestamp;

/// The attempt that is started, after the records at hand are kept.
fn started(controller: &mut JobController, now: Timestamp) -> Option<AttemptId> {
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
fn a_slot_that_fails_without_end_is_tried_at_growing_intervals() {
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
    let mut pauses = Vec::new();
    for _ in 0..20 {
        let attempt = loop {
            if let Some(attempt) = started(&mut controller, now) {
                break attempt;
            }
            now = controller.next_wakeup().expect("it is tried again");
            controller.handle(Event::WakeUp, now);
        };
        let outcome = AttemptOutcome::Failed { reason: "engine_lost".to_owned(), retry_after: None };
        let failed_at = now;
        controller.handle(Event::AttemptEnded { attempt, outcome }, now);
        assert!(started(&mut controller, now).is_none());
        now = controller.next_wakeup().expect("it is tried again");
        pauses.push(now.saturating_since(failed_at));
        controller.handle(Event::WakeUp, now);
    }
    // The first comes as soon as ever: an engine that ends by itself costs its slots no more than before.
    assert_eq!(pauses[..3], [200, 400, 800].map(Duration::from_millis));
    assert_eq!(pauses[19], Duration::from_secs(30));
}
