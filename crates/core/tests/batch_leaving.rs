//! When an owner leaves the batch jobs to a more capable node.

use std::time::Duration;

use lichenpulley_core::batch::leaving::LeaveMonitor;
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

#[test]
fn a_more_capable_node_must_stay_for_two_seconds() {
    let better = NodeId::new("better");
    let mut watch = LeaveMonitor::default();
    assert!(!watch.poll(Some(&better), true, at(0)));
    assert!(!watch.poll(Some(&better), true, at(1_999)));
    assert!(watch.poll(Some(&better), true, at(2_000)));
}

#[test]
fn a_node_that_vanishes_or_changes_begins_the_wait_anew() {
    let (better, other) = (NodeId::new("better"), NodeId::new("other"));
    let mut watch = LeaveMonitor::default();
    assert!(!watch.poll(Some(&better), true, at(0)));
    assert!(!watch.poll(None, true, at(1_000)));
    assert!(!watch.poll(Some(&better), true, at(2_500)));
    assert!(!watch.poll(Some(&other), true, at(5_000)));
    assert!(!watch.poll(Some(&other), true, at(6_900)));
    assert!(watch.poll(Some(&other), true, at(7_000)));
}

#[test]
fn an_owner_without_confirmed_authority_stays() {
    let better = NodeId::new("better");
    let mut watch = LeaveMonitor::default();
    assert!(!watch.poll(Some(&better), true, at(0)));
    assert!(!watch.poll(Some(&better), false, at(3_000)));
    assert!(watch.poll(Some(&better), true, at(3_050)));
}
