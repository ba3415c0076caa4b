use lichenpulley_core::batch::job::OutputEvent;
use lichenpulley_core::batch::outline::outline_entries;
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::{BatchId, Epoch};
use lichenpulley_core::replication::entry::{Entry, IndexedEntry, Payload};

use super::*;

const RECORDS: u64 = 20;
const TEXT_BYTES: usize = 10_000;

fn entries() -> Vec<IndexedEntry> {
    let entry = |index: u64| {
        let events = vec![OutputEvent { number: index, version: 1, data: "x".repeat(TEXT_BYTES) }];
        let record = Record::Progress { batch: BatchId::new("j"), item: 0, events };
        let bytes = record.encode().expect("a record");
        let payload = Payload::Record { origin: Epoch(1), bytes };
        IndexedEntry { index: LogIndex(index), entry: Entry { epoch: Epoch(1), payload } }
    };
    (1..=RECORDS).map(entry).collect()
}

fn follow(after: LogIndex, entries: Vec<IndexedEntry>) -> LedgerFollower {
    let mut follower = LedgerFollower::beginning_after(after);
    let page = DecidedPage { entries, base: LogIndex::FIRST, decided_through: LogIndex(RECORDS) };
    follower.apply_page(page).expect("records that can be decoded");
    follower
}

/// Guards against a log that counts without its texts after each takeover, so that it is compacted too late.
#[test]
fn the_texts_that_an_outline_leaves_out_count_towards_the_log_once_they_are_read() {
    let mut outlined = entries();
    outline_entries(&mut outlined);
    let outline = follow(LogIndex::ZERO, outlined);
    let whole = follow(LogIndex::ZERO, entries());
    assert!(outline.held_bytes() < TEXT_BYTES);
    let missing = MissingTexts::of(&outline);
    let left_out = missing.left_out_bytes(&whole).expect("a log that was read from its beginning");
    assert_eq!(outline.held_bytes() + left_out, whole.held_bytes());
    assert!(left_out >= TEXT_BYTES * RECORDS as usize);
    let part = follow(LogIndex(5), entries());
    assert_eq!(missing.left_out_bytes(&part), None);
}
