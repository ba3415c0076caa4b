//! When an owner replaces its log by a snapshot.

use lichenpulley_core::replication::compaction::{CompactionCause, LogUsage};
use proptest::prelude::*;

const MIB: u64 = 1 << 20;

/// A log on stores with room for `room` bytes, and the state that it produces.
struct Log {
    room: u64,
    log: u64,
    state: u64,
    usage: LogUsage,
    snapshots: usize,
}

impl Log {
    fn new(room: u64) -> Self {
        Self { room, log: 0, state: 0, usage: LogUsage::default(), snapshots: 0 }
    }

    fn snapshot_bytes(&self) -> u64 {
        self.state + self.state / 8
    }

    fn free(&self) -> u64 {
        self.room.saturating_sub(self.log)
    }

    fn observe(&mut self) {
        self.usage.set_state(self.state);
        self.usage.set_free(Some(self.free()));
    }

    /// Compacts the log if that is due, and appends if the stores accept it.
    fn append(&mut self, bytes: u64) -> bool {
        self.observe();
        if self.usage.compaction_due(bytes).is_some() {
            assert!(self.free() >= 2 * self.snapshot_bytes(), "two snapshots have no room");
            self.log = self.snapshot_bytes();
            self.usage.compacted(self.log);
            self.snapshots += 1;
            self.observe();
        }
        let is_accepted = self.free() >= bytes;
        if is_accepted {
            self.log += bytes;
            self.usage.appended(bytes);
        }
        is_accepted
    }
}

proptest! {
    /// Guards against a log that fills the stores before it is compacted, also when the first owner that writes a
    /// snapshot does not finish it: no snapshot fits any more.
    #[test]
    fn room_for_two_snapshots_is_left_after_every_accepted_append(
        room in 3 * MIB..1_000 * MIB,
        steps in prop::collection::vec((1..=1_000_u64, any::<bool>(), 0..=100_u64), 1..400),
    ) {
        let mut log = Log::new(room);
        for (size, keeps, ended_percent) in steps {
            let bytes = room / 16 * size / 1_000;
            log.observe();
            let is_admitted = log.usage.state_limit().is_some_and(|limit| log.state + bytes <= limit);
            prop_assert!(log.append(bytes), "an append within the bound is refused");
            if keeps && is_admitted {
                log.state += bytes;
            } else if !keeps {
                log.state -= log.state / 100 * (ended_percent / 10);
            }
            prop_assert!(log.free() >= 2 * log.snapshot_bytes(), "{} free, state {}", log.free(), log.state);
        }
    }

    /// Guards against snapshots that are written again and again although they free nothing.
    #[test]
    fn rewriting_costs_at_most_a_multiple_of_what_is_appended(
        room in 3 * MIB..100 * MIB,
        state_percent in 1..100_u64,
        size in 1..1_000_u64,
    ) {
        let mut log = Log::new(room);
        log.state = room / 100 * state_percent;
        log.log = log.snapshot_bytes();
        log.usage.compacted(log.log);
        let mut appended = 0;
        for _ in 0..300 {
            let bytes = room / 16 * size / 1_000;
            log.observe();
            if log.usage.compaction_due(bytes).is_some() {
                log.log = log.snapshot_bytes();
                log.usage.compacted(log.log);
                log.snapshots += 1;
            }
            if log.free() >= bytes {
                log.log += bytes;
                log.usage.appended(bytes);
                appended += bytes;
            }
        }
        let rewritten = log.snapshots as u64 * log.snapshot_bytes();
        prop_assert!(rewritten <= 5 * appended, "{rewritten} rewritten for {appended}");
    }
}

/// Guards against a compaction at every append once the state is larger than a fixed threshold.
#[test]
fn a_large_state_is_rewritten_only_after_twice_its_size_was_appended() {
    let mut usage = LogUsage::default();
    usage.set_state(200 * MIB);
    usage.set_free(Some(100_000 * MIB));
    usage.compacted(220 * MIB);
    usage.appended(400 * MIB);
    assert_eq!(usage.compaction_due(MIB), None);
    usage.appended(100 * MIB);
    assert_eq!(usage.compaction_due(MIB), Some(CompactionCause::LongLog));
}

/// Guards against a compaction that is forgotten when the owner can't write a snapshot at that moment.
#[test]
fn compaction_stays_due_until_a_snapshot_is_written() {
    let mut usage = LogUsage::default();
    usage.appended(100 * MIB);
    for _ in 0..3 {
        assert_eq!(usage.compaction_due(0), Some(CompactionCause::LongLog));
        usage.appended(1);
    }
    usage.compacted(MIB);
    assert_eq!(usage.compaction_due(0), None);
}

#[test]
fn unknown_room_neither_compacts_nor_limits_the_state() {
    let mut usage = LogUsage::of_log(MIB);
    usage.set_state(MIB);
    assert_eq!((usage.compaction_due(MIB), usage.state_limit()), (None, None));
    usage.set_free(Some(0));
    assert_eq!(usage.compaction_due(MIB), None, "a snapshot would free nothing");
    usage.set_state(MIB / 4);
    assert_eq!(usage.compaction_due(MIB), Some(CompactionCause::LowRoom));
}

/// Guards against jobs that are accepted for room that other logs of the same stores have taken meanwhile.
#[test]
fn the_limit_of_the_state_falls_with_the_room_except_until_replaced_records_are_removed() {
    let mut usage = LogUsage::of_log(100 * MIB);
    usage.set_state(20 * MIB);
    usage.set_free(Some(300 * MIB));
    let limit = usage.state_limit().expect("the room is known");
    usage.compacted(25 * MIB);
    usage.set_free(Some(275 * MIB));
    assert_eq!(usage.state_limit(), Some(limit), "the stores have not removed the records yet");
    usage.set_free(Some(375 * MIB));
    assert_eq!(usage.state_limit(), Some(limit));
    usage.set_free(Some(100 * MIB));
    assert!(usage.state_limit().is_some_and(|lower| lower < limit / 2));
}
