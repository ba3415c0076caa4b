//! When an owner leaves because it can't reach its stores.

use std::time::Duration;

use lichenpulley_core::batch::cut_off::{CutOffMonitor, CutOffStep, ProbeResult};

const TIMEOUT: Duration = Duration::from_millis(300);

const fn reply(answered: usize, took_ms: u64) -> ProbeResult {
    ProbeResult { answered, took: Duration::from_millis(took_ms), timeout: TIMEOUT }
}

/// A watch that has just asked the stores.
fn asking() -> CutOffMonitor {
    let mut watch = CutOffMonitor::default();
    assert_eq!(
        [true; 3].map(|silent| watch.poll(silent)),
        [CutOffStep::Continue, CutOffStep::Continue, CutOffStep::Probe]
    );
    watch
}

#[test]
fn an_owner_that_no_store_answers_leaves() {
    let mut watch = asking();
    assert_eq!(watch.poll(true), CutOffStep::Continue, "one question at a time");
    assert_eq!(watch.probe_ended(reply(0, 301)), CutOffStep::Leave);
}

#[test]
fn an_owner_whose_stores_are_busy_with_its_appends_stays() {
    let mut watch = asking();
    for _ in 0..10 {
        assert_eq!(watch.probe_ended(reply(40, 20)), CutOffStep::Continue);
        let steps = [true; 3].map(|silent| watch.poll(silent));
        assert_eq!(steps, [CutOffStep::Continue, CutOffStep::Continue, CutOffStep::Probe]);
    }
}

#[test]
fn an_owner_that_stood_still_itself_asks_again() {
    let mut watch = asking();
    assert_eq!(watch.probe_ended(reply(0, 900)), CutOffStep::Continue);
    assert_eq!([true; 3].map(|silent| watch.poll(silent))[2], CutOffStep::Probe);
    assert_eq!(watch.probe_ended(reply(0, 310)), CutOffStep::Leave);
}

#[test]
fn an_answer_to_an_append_ends_the_silence() {
    let mut watch = asking();
    assert_eq!(watch.poll(false), CutOffStep::Continue);
    assert_eq!(watch.probe_ended(reply(0, 301)), CutOffStep::Continue);
}
