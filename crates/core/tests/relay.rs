//! From where metadata is read, by rank, size and what readers answered.

use std::time::Duration;

use lichenpulley_core::relay::{ReadSource, RelayChoice, RelayConfig};
use lichenpulley_core::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

fn choice() -> RelayChoice {
    RelayChoice::new(RelayConfig::default())
}

#[test]
fn every_node_of_a_small_deployment_reads_for_itself_and_the_first_few_of_a_large_one() {
    let choice = choice();
    assert_eq!(choice.source(at(0), 9, 10), ReadSource::Platform);
    assert_eq!(choice.source(at(0), 5, 75), ReadSource::Platform);
    assert_eq!(choice.source(at(0), 6, 75), ReadSource::Peer);
}

#[test]
fn a_follower_whose_reader_lost_the_platform_reads_for_itself_for_a_while() {
    let mut choice = choice();
    choice.answered(at(1_000), Duration::from_millis(1_400));
    assert_eq!(choice.source(at(1_000), 40, 75), ReadSource::Peer);
    choice.answered(at(1_500), Duration::from_millis(1_900));
    assert_eq!(choice.source(at(1_500), 40, 75), ReadSource::Platform);
    assert_eq!(choice.source(at(4_499), 40, 75), ReadSource::Platform);
    assert_eq!(choice.source(at(4_500), 40, 75), ReadSource::Peer);
}

#[test]
fn one_silent_reader_is_replaced_by_another_and_two_in_a_row_by_the_platform() {
    let mut choice = choice();
    choice.failed(at(0));
    assert_eq!(choice.source(at(0), 40, 75), ReadSource::Peer);
    choice.answered(at(10), Duration::ZERO);
    choice.failed(at(20));
    assert_eq!(choice.source(at(20), 40, 75), ReadSource::Peer);
    choice.failed(at(30));
    assert_eq!(choice.source(at(30), 40, 75), ReadSource::Platform);
}
