//! Tests of the division of appends into writes.

use super::*;

fn append(records: usize, bytes: usize) -> EncodedAppend {
    EncodedAppend { is_refusable: false, records: vec![vec![0; bytes]; records] }
}

fn refusable(records: usize, bytes: usize) -> EncodedAppend {
    EncodedAppend { is_refusable: true, ..append(records, bytes) }
}

#[test]
fn small_appends_are_written_together() {
    let batches = batches((0..100).map(|_| append(2, 100)));
    assert_eq!(batches.len(), 1);
    assert_eq!((batches[0].appends, batches[0].records.len(), batches[0].bytes), (100, 200, 20_000));
}

/// Six trainers submit their steps at the same moment. In one write, none would be accepted before all of them
/// have crossed the link.
#[test]
fn large_appends_are_written_one_after_the_other() {
    let jobs = (0..6).map(|_| append(1, 250 << 10));
    let progress = (0..50).map(|_| append(1, 1_000));
    let batches = batches(jobs.chain(progress));
    assert!(batches.len() >= 6);
    assert!(batches.iter().all(|batch| batch.bytes <= MAX_WRITE_BYTES));
    assert_eq!(batches.iter().map(|batch| batch.appends).sum::<usize>(), 56);
}

#[test]
fn an_append_is_never_divided_and_keeps_its_place() {
    let batches = batches([append(1, 10), append(3, 200 << 10), append(1, 20)].into_iter());
    let sizes: Vec<(usize, usize)> = batches.iter().map(|batch| (batch.appends, batch.bytes)).collect();
    assert_eq!(sizes, [(1, 10), (1, 600 << 10), (1, 20)]);
}

/// Guards against a heartbeat or a result that is given up with a job for which there is no room.
#[test]
fn appends_that_may_be_refused_are_not_written_with_others() {
    let batches = batches([append(1, 10), refusable(1, 20), refusable(2, 5), append(1, 30)].into_iter());
    let kinds: Vec<(bool, usize)> = batches.iter().map(|batch| (batch.is_refusable, batch.bytes)).collect();
    assert_eq!(kinds, [(false, 10), (true, 30), (false, 30)]);
}
