use tokio::sync::mpsc;

use super::{Write, WriteQueue, WriteStep};
use crate::store::log_writer::{AppendMode, AppendOutcome};

/// A queue with the owner's ends of its two channels.
struct Fixture {
    writes: mpsc::UnboundedSender<Write<u8>>,
    outcomes: mpsc::UnboundedReceiver<AppendOutcome>,
    queue: WriteQueue<u8>,
}

/// Queues three appends, a snapshot and another append.
fn five_writes(mode: AppendMode) -> Fixture {
    let (writes, received) = mpsc::unbounded_channel();
    let (owner, outcomes) = mpsc::unbounded_channel();
    for write in [
        Write::Append(vec![1]),
        Write::Append(vec![2, 3]),
        Write::Append(vec![4]),
        Write::Compact(vec![9]),
        Write::Append(vec![5]),
    ] {
        writes.send(write).expect("the queue is open");
    }
    Fixture { writes, outcomes, queue: WriteQueue::new(mode, received, owner) }
}

/// Returns the appends of the next write; an empty list stands for a snapshot or replacement.
async fn next(queue: &mut WriteQueue<u8>) -> Option<Vec<Vec<u8>>> {
    queue.next().await.map(|step| match step {
        WriteStep::Append(appends) => appends,
        WriteStep::Compact(_) | WriteStep::Replace(_) => Vec::new(),
    })
}

#[tokio::test]
async fn batched_appends_share_one_write_and_keep_their_order() {
    let Fixture { writes: _writes, outcomes: _outcomes, mut queue } = five_writes(AppendMode::Batched);
    assert_eq!(next(&mut queue).await, Some(vec![vec![1], vec![2, 3], vec![4]]));
    assert_eq!(next(&mut queue).await, Some(Vec::new()));
    assert_eq!(next(&mut queue).await, Some(vec![vec![5]]));
}

#[tokio::test]
async fn single_appends_are_separate_writes() {
    let Fixture { writes: _writes, outcomes: _outcomes, mut queue } = five_writes(AppendMode::Single);
    assert_eq!(next(&mut queue).await, Some(vec![vec![1]]));
    assert_eq!(next(&mut queue).await, Some(vec![vec![2, 3]]));
    assert_eq!(next(&mut queue).await, Some(vec![vec![4]]));
    assert_eq!(next(&mut queue).await, Some(Vec::new()));
    assert_eq!(next(&mut queue).await, Some(vec![vec![5]]));
}

#[tokio::test]
async fn batched_writes_are_drained_after_the_owner_has_ended() {
    let Fixture { writes, outcomes, mut queue } = five_writes(AppendMode::Batched);
    drop((writes, outcomes));
    assert_eq!(next(&mut queue).await, Some(vec![vec![1], vec![2, 3], vec![4]]));
    assert_eq!(next(&mut queue).await, Some(Vec::new()));
    assert_eq!(next(&mut queue).await, Some(vec![vec![5]]));
    assert_eq!(next(&mut queue).await, None);
}

#[tokio::test]
async fn no_single_append_begins_after_the_owner_has_ended() {
    let Fixture { writes, outcomes, mut queue } = five_writes(AppendMode::Single);
    assert_eq!(next(&mut queue).await, Some(vec![vec![1]]));
    drop((writes, outcomes));
    assert_eq!(next(&mut queue).await, None);
}
