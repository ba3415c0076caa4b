//! Tests of the selection between the platform and a peer for metadata reads.

use std::time::Duration;

use lichenpulley_core::relay::{ReadSource, ReadSourceSelector, RelayConfig};
use lichenpulley_core::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

fn selector() -> ReadSourceSelector {
    ReadSourceSelector::new(RelayConfig::default())
}

#[test]
fn small_deployments_and_top_ranked_nodes_read_the_platform() {
    let selector = selector();
    assert_eq!(selector.source(at(0), 9, 10), ReadSource::Platform);
    assert_eq!(selector.source(at(0), 5, 75), ReadSource::Platform);
    assert_eq!(selector.source(at(0), 6, 75), ReadSource::Peer);
}

/// Age of a stale copy.
const STALE: Duration = Duration::from_millis(1_900);

#[test]
fn follower_with_stale_readers_reads_directly_for_a_limited_time_after_two_successful_probes() {
    let mut selector = selector();
    assert!(selector.record_answer(at(1_000), Duration::from_millis(1_400)));
    assert_eq!(selector.source(at(1_000), 40, 75), ReadSource::Peer);
    assert!(!selector.record_answer(at(1_500), STALE));
    assert_eq!(selector.source(at(1_500), 40, 75), ReadSource::Peer, "another reader may have a fresh copy");
    assert!(!selector.record_answer(at(1_510), STALE));
    assert_eq!(selector.source(at(1_510), 40, 75), ReadSource::Probe);
    selector.record_probe(at(1_520), true);
    assert_eq!(selector.source(at(1_530), 40, 75), ReadSource::Peer);
    assert!(!selector.record_answer(at(1_540), STALE));
    assert_eq!(selector.source(at(2_120), 40, 75), ReadSource::Probe);
    selector.record_probe(at(2_120), true);
    assert_eq!(
        selector.source(at(2_120), 40, 75),
        ReadSource::Peer,
        "one more reader is tried before direct reads"
    );
    assert!(!selector.record_answer(at(2_130), STALE));
    assert_eq!(selector.source(at(2_130), 40, 75), ReadSource::Platform);
    assert_eq!(selector.source(at(5_129), 40, 75), ReadSource::Platform);
    assert_eq!(selector.source(at(5_130), 40, 75), ReadSource::Peer);
}

#[test]
fn single_reader_failure_is_tolerated_and_two_in_a_row_cause_a_probe() {
    let mut selector = selector();
    selector.record_failure(at(0));
    assert_eq!(selector.source(at(0), 40, 75), ReadSource::Peer);
    selector.record_answer(at(10), Duration::ZERO);
    selector.record_failure(at(20));
    assert_eq!(selector.source(at(20), 40, 75), ReadSource::Peer);
    selector.record_failure(at(30));
    assert_eq!(selector.source(at(30), 40, 75), ReadSource::Probe);
}

#[test]
fn followers_only_probe_during_a_platform_outage() {
    let mut selector = selector();
    let mut probes = 0;
    for now in (0..10_000).step_by(50).map(at) {
        match selector.source(now, 40, 300) {
            ReadSource::Peer => {
                selector.record_answer(now, STALE);
            }
            ReadSource::Probe => {
                probes += 1;
                selector.record_probe(now, false);
            }
            ReadSource::Platform => panic!("the follower reads the platform at {now:?}"),
        }
    }
    assert!((10..=17).contains(&probes), "{probes} probes in ten seconds");
}

#[test]
fn recovered_reader_keeps_its_followers() {
    let mut selector = selector();
    selector.record_failure(at(0));
    selector.record_failure(at(0));
    selector.record_probe(at(0), true);
    selector.record_probe(at(600), true);
    assert!(
        selector.record_answer(at(610), Duration::ZERO),
        "the reader recovers just before the follower would read directly"
    );
    selector.record_failure(at(620));
    selector.record_failure(at(630));
    assert_eq!(selector.source(at(1_300), 40, 300), ReadSource::Probe, "earlier probes do not count");
}

/// The work of a reader must not grow with the deployment.
#[test]
fn readers_increase_with_the_nodes() {
    let config = RelayConfig::default();
    assert_eq!(config.readers_among(75), 6);
    assert_eq!(config.readers_among(384), 6);
    for nodes in [835_usize, 1_670] {
        let followers = nodes.div_ceil(config.readers_among(nodes));
        assert!(followers <= config.max_followers, "{followers} followers a reader of {nodes} nodes");
    }
}

/// Nodes that start together know few of the others, so that most of them rank among the first for a moment. If each
/// read a list of many pages then, the calls would grow with the product of nodes and replicas.
#[test]
fn a_starting_node_reads_a_long_list_only_after_it_has_ranked_first_for_a_while() {
    let mut selector = selector();
    selector.set_long_list(true);
    selector.observe_rank(at(0), 0, 1);
    assert_eq!(selector.source(at(0), 0, 1), ReadSource::Peer);
    selector.observe_rank(at(1_000), 2, 400);
    assert_eq!(selector.source(at(1_000), 2, 400), ReadSource::Peer);
    selector.observe_rank(at(1_500), 3, 700);
    assert_eq!(selector.source(at(1_500), 3, 700), ReadSource::Platform);
    selector.observe_rank(at(2_000), 90, 835);
    assert_eq!(selector.source(at(2_000), 90, 835), ReadSource::Peer);
    selector.observe_rank(at(2_500), 5, 835);
    assert_eq!(selector.source(at(2_500), 5, 835), ReadSource::Peer, "the time begins anew");
}

/// Readers of a large deployment may be slow for a moment. If their followers then read the whole list themselves, they
/// would overload the platform, and each follower would hold all replicas.
#[test]
fn a_follower_never_reads_a_long_list_from_the_platform() {
    let mut selector = selector();
    selector.set_long_list(true);
    for round in 0..20 {
        selector.observe_rank(at(round * 500), 40, 75);
        selector.record_failure(at(round * 500));
        assert_eq!(selector.source(at(round * 500), 40, 75), ReadSource::Peer);
    }
}
