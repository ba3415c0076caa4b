//! Writing a snapshot to the stores: in parts, each of which confirms the owner.

mod replication_support;

use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::log::SNAPSHOT_PART_BYTES;
use lichenpulley_core::replication::proposer::{AppendError, Proposer, ProposerConfig, ProposerEvent};
use lichenpulley_core::replication::write_times::WriteTimes;
use lichenpulley_core::time::Timestamp;
use replication_support::{Stores, first_set};

const STORES: [&str; 3] = ["a", "b", "c"];
/// Time in which the stores take one round of requests.
const ROUND: Duration = Duration::from_millis(200);
/// How long a confirmation of an owner is valid.
const CONFIRMED_FOR: Duration = Duration::from_millis(600);
const PARTS: usize = 30;

/// Sends all requests that are due; returns the bytes that one store received at most.
fn exchange(proposer: &mut Proposer, stores: &mut Stores, now: Timestamp) -> usize {
    let mut most = 0;
    let mut requests = Vec::new();
    while let Some(transmit) = proposer.poll_transmit(now) {
        most = most.max(transmit.request.operation.payload_bytes());
        requests.push(transmit.request);
    }
    for request in requests {
        if let Some(response) = stores.send(request) {
            proposer.step(now, response);
        }
    }
    most
}

fn leader(stores: &mut Stores) -> Proposer {
    let config = ProposerConfig::default();
    let mut proposer = Proposer::new(first_set(), ProposerId::new("owner"), Epoch(1), config);
    for _ in 0..10 {
        exchange(&mut proposer, stores, Timestamp::ORIGIN);
        while proposer.poll_event().is_some() {}
    }
    proposer
}

/// Guards against an owner that answers no read for as long as it writes a snapshot.
#[test]
fn an_owner_stays_confirmed_while_it_writes_a_long_snapshot() {
    let mut stores = Stores::new(&STORES);
    let mut proposer = leader(&mut stores);
    let snapshot = vec![7; PARTS * SNAPSHOT_PART_BYTES];
    let mut now = Timestamp::ORIGIN;
    let mut confirmed_at = now;
    let mut times = WriteTimes::after(proposer.last_index());
    let through = proposer.compact(snapshot.clone()).expect("the owner leads");
    times.appended(proposer.last_index(), now);
    while proposer.decided_through() < through {
        now = now + ROUND;
        assert!(exchange(&mut proposer, &mut stores, now) <= 3 * SNAPSHOT_PART_BYTES, "too much at once");
        while let Some(event) = proposer.poll_event() {
            assert!(matches!(event, ProposerEvent::Decided(_)), "{event:?}");
        }
        times.appended(proposer.last_index(), now);
        if let Some(began) = times.decided(proposer.decided_through()) {
            confirmed_at = began;
        }
        assert!(now.saturating_since(confirmed_at) < CONFIRMED_FOR);
    }
    assert!(now.saturating_since(Timestamp::ORIGIN) > 4 * CONFIRMED_FOR, "the snapshot is long enough");
}

/// Guards against records between the parts of a snapshot, which discard it.
#[test]
fn nothing_is_appended_between_the_parts_of_a_snapshot() {
    let mut stores = Stores::new(&STORES);
    let mut proposer = leader(&mut stores);
    proposer.append(vec![b"before".to_vec()]).expect("the owner leads");
    let snapshot = vec![7; 5 * SNAPSHOT_PART_BYTES + 1];
    let through = proposer.compact(snapshot.clone()).expect("the owner leads");
    let mut refused = 0;
    while proposer.decided_through() < through {
        match proposer.append(vec![b"between".to_vec()]) {
            Err(AppendError::Undecided) => refused += 1,
            result => assert!(result.is_ok_and(|last| last > through), "a record is among the parts"),
        }
        exchange(&mut proposer, &mut stores, Timestamp::ORIGIN);
    }
    assert!(refused > 0);
    let config = ProposerConfig::default();
    let mut next = Proposer::new(first_set(), ProposerId::new("next"), Epoch(2), config);
    let recovered = loop {
        exchange(&mut next, &mut stores, Timestamp::ORIGIN);
        if let Some(ProposerEvent::Recovered(log)) = next.poll_event() {
            break log;
        }
    };
    assert!(recovered.snapshot.as_ref() == Some(&snapshot), "the snapshot is kept");
    assert!(recovered.records.iter().all(|record| record == b"between"));
}
