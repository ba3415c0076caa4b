use tokio::sync::mpsc;

use super::{Write, WriteQueue, WriteStep};
use crate::store::log_writer::{AppendMode, AppendOutcome};

/// An owner's ends of the two channels, and the queue between them.
struct Rig {
    writes: mpsc::UnboundedSender<Write<u8>>,
    outcomes: mpsc::UnboundedReceiver<AppendOutcome>,
    queue: WriteQueue<u8>,
}

/// Three appends, a snapshot and another append, none of them begun.
fn five_writes(mode: AppendMode) -> Rig {
    let (writes, received) = mpsc::unbounded_channel();
    let (owner, outcomes) = mpsc::unbounded_channel();
    for write in [
        Write::Append(vec![1]),
        Write::Append(vec![2, 3]),
        Write::Append(vec![4]),
        Write::Compact(vec![9]),
        Write::Append(vec![5]),
    ] {
        writes.send(write).expect("the queue is there");
    }
    Rig { writes, outcomes, queue: WriteQueue::new(mode, received, owner) }
}

/// Appends as they are, a snapshot as an empty list.
async fn next(queue: &mut WriteQueue<u8>) -> Option<Vec<Vec<u8>>> {
    queue.next().await.map(|step| match step {
        WriteStep::Append(appends) => appends,
        WriteStep::Compact(_) | WriteStep::Replace(_) => Vec::new(),
    })
}

#[tokio::test]
async fn gathered_appends_go_into_one_write_and_nothing_overtakes() {
    let Rig { writes: _writes, outcomes: _outcomes, mut queue } = five_writes(AppendMode::Batched);
    assert_eq!(next(&mut queue).await, Some(vec![vec![1], vec![2, 3], vec![4]]));
    assert_eq!(next(&mut queue).await, Some(Vec::new()));
    assert_eq!(next(&mut queue).await, Some(vec![vec![5]]));
}

#[tokio::test]
async fn single_appends_are_writes_of_their_own() {
    let Rig { writes: _writes, outcomes: _outcomes, mut queue } = five_writes(AppendMode::Single);
    assert_eq!(next(&mut queue).await, Some(vec![vec![1]]));
    assert_eq!(next(&mut queue).await, Some(vec![vec![2, 3]]));
    assert_eq!(next(&mut queue).await, Some(vec![vec![4]]));
    assert_eq!(next(&mut queue).await, Some(Vec::new()));
    assert_eq!(next(&mut queue).await, Some(vec![vec![5]]));
}

#[tokio::test]
async fn what_an_ended_owner_gathered_is_written_to_the_last() {
    let Rig { writes, outcomes, mut queue } = five_writes(AppendMode::Batched);
    drop((writes, outcomes));
    assert_eq!(next(&mut queue).await, Some(vec![vec![1], vec![2, 3], vec![4]]));
    assert_eq!(next(&mut queue).await, Some(Vec::new()));
    assert_eq!(next(&mut queue).await, Some(vec![vec![5]]));
    assert_eq!(next(&mut queue).await, None);
}

#[tokio::test]
async fn a_single_append_under_way_is_the_last_of_an_ended_owner() {
    let Rig { writes, outcomes, mut queue } = five_writes(AppendMode::Single);
    assert_eq!(next(&mut queue).await, Some(vec![vec![1]]));
    drop((writes, outcomes));
    assert_eq!(next(&mut queue).await, None);
}
