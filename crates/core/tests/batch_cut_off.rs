//! When an owner leaves because it can't reach its stores.

use std::time::Duration;

use lichenpulley_core::batch::cut_off::{CutOffStep, CutOffWatch, StoresReply};

const TIMEOUT: Duration = Duration::from_millis(300);

const fn reply(answered: usize, took_ms: u64) -> StoresReply {
    StoresReply { answered, took: Duration::from_millis(took_ms), timeout: TIMEOUT }
}

/// A watch that has just asked the stores.
fn asking() -> CutOffWatch {
    let mut watch = CutOffWatch::default();
    assert_eq!(
        [true; 3].map(|silent| watch.poll(silent)),
        [CutOffStep::GoOn, CutOffStep::GoOn, CutOffStep::Ask]
    );
    watch
}

#[test]
fn an_owner_that_no_store_answers_leaves() {
    let mut watch = asking();
    assert_eq!(watch.poll(true), CutOffStep::GoOn, "one question at a time");
    assert_eq!(watch.replied(reply(0, 301)), CutOffStep::Leave);
}

#[test]
fn an_owner_whose_stores_are_busy_with_its_appends_stays() {
    let mut watch = asking();
    for _ in 0..10 {
        assert_eq!(watch.replied(reply(40, 20)), CutOffStep::GoOn);
        let steps = [true; 3].map(|silent| watch.poll(silent));
        assert_eq!(steps, [CutOffStep::GoOn, CutOffStep::GoOn, CutOffStep::Ask]);
    }
}

#[test]
fn an_owner_that_stood_still_itself_asks_again() {
    let mut watch = asking();
    assert_eq!(watch.replied(reply(0, 900)), CutOffStep::GoOn);
    assert_eq!([true; 3].map(|silent| watch.poll(silent))[2], CutOffStep::Ask);
    assert_eq!(watch.replied(reply(0, 310)), CutOffStep::Leave);
}

#[test]
fn an_answer_to_an_append_ends_the_silence() {
    let mut watch = asking();
    assert_eq!(watch.poll(false), CutOffStep::GoOn);
    assert_eq!(watch.replied(reply(0, 301)), CutOffStep::GoOn);
}
