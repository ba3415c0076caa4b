//! Detecting that an owner cannot reach its stores.

use std::time::Duration;

use lichenpulley_core::batch::cut_off::{CutOffMonitor, CutOffStep, ProbeResult};

const TIMEOUT: Duration = Duration::from_millis(300);

const fn result(answered: usize, took_ms: u64) -> ProbeResult {
    ProbeResult { answered, took: Duration::from_millis(took_ms), timeout: TIMEOUT }
}

/// Returns a monitor that has just requested a probe.
fn probing_monitor() -> CutOffMonitor {
    let mut monitor = CutOffMonitor::default();
    assert_eq!(
        [true; 3].map(|silent| monitor.poll(silent)),
        [CutOffStep::Continue, CutOffStep::Continue, CutOffStep::Probe]
    );
    monitor
}

#[test]
fn an_owner_leaves_if_no_store_answers_the_probe() {
    let mut monitor = probing_monitor();
    assert_eq!(monitor.poll(true), CutOffStep::Continue, "one probe at a time");
    assert_eq!(monitor.probe_ended(result(0, 301)), CutOffStep::Leave);
}

#[test]
fn an_owner_stays_if_busy_stores_answer_the_probe() {
    let mut monitor = probing_monitor();
    for _ in 0..10 {
        assert_eq!(monitor.probe_ended(result(40, 20)), CutOffStep::Continue);
        let steps = [true; 3].map(|silent| monitor.poll(silent));
        assert_eq!(steps, [CutOffStep::Continue, CutOffStep::Continue, CutOffStep::Probe]);
    }
}

#[test]
fn a_probe_that_overran_its_timeout_is_repeated() {
    let mut monitor = probing_monitor();
    assert_eq!(monitor.probe_ended(result(0, 900)), CutOffStep::Continue);
    assert_eq!([true; 3].map(|silent| monitor.poll(silent))[2], CutOffStep::Probe);
    assert_eq!(monitor.probe_ended(result(0, 310)), CutOffStep::Leave);
}

#[test]
fn an_append_answer_during_the_probe_ends_the_silence() {
    let mut monitor = probing_monitor();
    assert_eq!(monitor.poll(false), CutOffStep::Continue);
    assert_eq!(monitor.probe_ended(result(0, 301)), CutOffStep::Continue);
}
