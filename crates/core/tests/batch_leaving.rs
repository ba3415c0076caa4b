//! When an owner hands the batch jobs over to a more capable node.

use std::time::Duration;

use lichenpulley_core::batch::leaving::LeaveMonitor;
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(milliseconds)
}

#[test]
fn a_more_capable_node_must_be_present_for_two_seconds() {
    let better = NodeId::new("better");
    let mut monitor = LeaveMonitor::default();
    assert!(!monitor.poll(Some(&better), true, at(0)));
    assert!(!monitor.poll(Some(&better), true, at(1_999)));
    assert!(monitor.poll(Some(&better), true, at(2_000)));
}

#[test]
fn a_missing_or_different_node_restarts_the_wait() {
    let (better, other) = (NodeId::new("better"), NodeId::new("other"));
    let mut monitor = LeaveMonitor::default();
    assert!(!monitor.poll(Some(&better), true, at(0)));
    assert!(!monitor.poll(None, true, at(1_000)));
    assert!(!monitor.poll(Some(&better), true, at(2_500)));
    assert!(!monitor.poll(Some(&other), true, at(5_000)));
    assert!(!monitor.poll(Some(&other), true, at(6_900)));
    assert!(monitor.poll(Some(&other), true, at(7_000)));
}

#[test]
fn an_owner_without_confirmed_authority_stays() {
    let better = NodeId::new("better");
    let mut monitor = LeaveMonitor::default();
    assert!(!monitor.poll(Some(&better), true, at(0)));
    assert!(!monitor.poll(Some(&better), false, at(3_000)));
    assert!(monitor.poll(Some(&better), true, at(3_050)));
}
