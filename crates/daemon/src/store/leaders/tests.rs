//! Tests which leader a store reports and when it counts as active.

use std::time::Duration;

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::message::ReplicaResponse;
use lichenpulley_core::replication::replica_set::{Generation, StoreId};

use super::*;

fn ballot(epoch: u64) -> Ballot {
    Ballot { epoch: Epoch(epoch), proposer: ProposerId::new("node-1/1") }
}

fn shard() -> ShardId {
    ShardId::new("batch/main")
}

fn entries_read_under(ballot: Ballot) -> WorkResult {
    let (from, through) = (LogIndex(1), LogIndex(1));
    let outcome = ReplicaAnswer::Entries { ballot, from, through, entries: Vec::new() };
    let (generation, store) = (Generation::FIRST, StoreId::new("a"));
    let response = ReplicaResponse { shard: shard(), generation, store, outcome };
    WorkResult::Response(StoreResponse::Replica(Box::new(response)))
}

fn active_at(leaders: &Leaders) -> Option<Instant> {
    leaders.by_shard.get(&shard()).map(|leader| leader.active_at)
}

#[test]
fn a_heartbeat_keeps_a_leader_active_without_appends() {
    let mut leaders = Leaders::new();
    leaders.record_answer(&entries_read_under(ballot(3)));
    let before = active_at(&leaders);
    std::thread::sleep(Duration::from_millis(2));
    leaders.record_heartbeat(&shard(), &ballot(3));
    assert!(active_at(&leaders) > before);
}

#[test]
fn heartbeats_under_a_superseded_or_unknown_ballot_are_ignored() {
    let mut leaders = Leaders::new();
    leaders.record_heartbeat(&shard(), &ballot(3));
    assert!(leaders.get(&shard()).is_none());
    leaders.record_answer(&entries_read_under(ballot(3)));
    let before = active_at(&leaders);
    std::thread::sleep(Duration::from_millis(2));
    leaders.record_heartbeat(&shard(), &ballot(2));
    leaders.record_heartbeat(&shard(), &ballot(4));
    assert_eq!(active_at(&leaders), before);
    assert_eq!(leaders.get(&shard()).map(|known| known.epoch), Some(Epoch(3)));
}
