//! From where metadata is read, by rank, size and what readers answered.

use std::time::Duration;

use lichenpulley_core::relay::{ReadSource, ReadSourceSelector, RelayConfig};
use lichenpulley_core::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

fn choice() -> ReadSourceSelector {
    ReadSourceSelector::new(RelayConfig::default())
}

#[test]
fn every_node_of_a_small_deployment_reads_for_itself_and_the_first_few_of_a_large_one() {
    let choice = choice();
    assert_eq!(choice.source(at(0), 9, 10), ReadSource::Platform);
    assert_eq!(choice.source(at(0), 5, 75), ReadSource::Platform);
    assert_eq!(choice.source(at(0), 6, 75), ReadSource::Peer);
}

/// A copy that its reader has not had confirmed for too long.
const STALE: Duration = Duration::from_millis(1_900);

#[test]
fn a_follower_whose_readers_lost_the_platform_reads_for_itself_for_a_while_once_it_answers_two_probes() {
    let mut choice = choice();
    assert!(choice.record_answer(at(1_000), Duration::from_millis(1_400)));
    assert_eq!(choice.source(at(1_000), 40, 75), ReadSource::Peer);
    assert!(!choice.record_answer(at(1_500), STALE));
    assert_eq!(choice.source(at(1_500), 40, 75), ReadSource::Peer, "another reader may know more");
    assert!(!choice.record_answer(at(1_510), STALE));
    assert_eq!(choice.source(at(1_510), 40, 75), ReadSource::Probe);
    choice.record_probe(at(1_520), true);
    assert_eq!(choice.source(at(1_530), 40, 75), ReadSource::Peer);
    assert!(!choice.record_answer(at(1_540), STALE));
    assert_eq!(choice.source(at(2_120), 40, 75), ReadSource::Probe);
    choice.record_probe(at(2_120), true);
    assert_eq!(choice.source(at(2_120), 40, 75), ReadSource::Peer, "a reader is asked once more");
    assert!(!choice.record_answer(at(2_130), STALE));
    assert_eq!(choice.source(at(2_130), 40, 75), ReadSource::Platform);
    assert_eq!(choice.source(at(5_129), 40, 75), ReadSource::Platform);
    assert_eq!(choice.source(at(5_130), 40, 75), ReadSource::Peer);
}

#[test]
fn one_silent_reader_is_replaced_by_another_and_two_in_a_row_lead_to_a_probe() {
    let mut choice = choice();
    choice.record_failure(at(0));
    assert_eq!(choice.source(at(0), 40, 75), ReadSource::Peer);
    choice.record_answer(at(10), Duration::ZERO);
    choice.record_failure(at(20));
    assert_eq!(choice.source(at(20), 40, 75), ReadSource::Peer);
    choice.record_failure(at(30));
    assert_eq!(choice.source(at(30), 40, 75), ReadSource::Probe);
}

#[test]
fn followers_of_a_platform_that_is_away_from_all_probe_it_now_and_then_and_never_read() {
    let mut choice = choice();
    let mut probes = 0;
    for now in (0..10_000).step_by(50).map(at) {
        match choice.source(now, 40, 300) {
            ReadSource::Peer => {
                choice.record_answer(now, STALE);
            }
            ReadSource::Probe => {
                probes += 1;
                choice.record_probe(now, false);
            }
            ReadSource::Platform => panic!("it reads at {now:?}"),
        }
    }
    assert!((10..=17).contains(&probes), "{probes} probes in ten seconds");
}

#[test]
fn a_reader_that_finds_the_platform_again_keeps_its_followers() {
    let mut choice = choice();
    choice.record_failure(at(0));
    choice.record_failure(at(0));
    choice.record_probe(at(0), true);
    choice.record_probe(at(600), true);
    assert!(choice.record_answer(at(610), Duration::ZERO), "found again just before the follower would read");
    choice.record_failure(at(620));
    choice.record_failure(at(630));
    assert_eq!(
        choice.source(at(1_300), 40, 300),
        ReadSource::Probe,
        "the probes before were of another time"
    );
}
