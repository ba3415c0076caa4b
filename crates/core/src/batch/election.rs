//! When a node takes the batch jobs over from their owner.
//!
//! The stores see whether the owner still appends. Time only decides when a takeover is tried: the epoch that the
//! stores promise decides who owns (see `replication`).

use std::time::Duration;

use crate::identity::{Epoch, NodeId};

/// Nodes that look after the ownership of a shard at each turn.
pub const CANDIDATES: usize = 3;
/// A candidate waits so much longer for each one before it.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// An owner that restarted without its state need not be waited for.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Whether a node of this rank looks at its turn `turn`. Those behind the first few look the more rarely the further
/// behind they are: should all before them be gone at once, one of them notices, and the stores are not asked much more
/// often however many nodes there are.
pub fn looks_now(rank: usize, turn: u64) -> bool {
    let period = (rank / CANDIDATES + 1) as u64;
    turn.is_multiple_of(period)
}

/// Who leads, as one store knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderSeen {
    /// The epoch.
    pub epoch: Epoch,
    /// The owner's node.
    pub owner: NodeId,
    /// How long ago it last appended there.
    pub idle: Duration,
}

/// What a candidate should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing; this is the owner, where it is known.
    Wait(Option<NodeId>),
    /// Take the shard over. The owner before was last heard of so long ago, where there was one.
    TakeOver(Option<Duration>),
}

/// Judges what the stores say. `answers` has an entry for each store that answered, `None` where nobody has led there.
/// `rank` is 0 for the first candidate.
pub fn judge(
    node: &NodeId,
    rank: usize,
    answers: &[Option<LeaderSeen>],
    needed: usize,
    takeover_after: Duration,
) -> Verdict {
    let latest = answers.iter().flatten().max_by_key(|seen| seen.epoch);
    let Some(latest) = latest else {
        let may_begin = answers.len() >= needed && rank == 0;
        return if may_begin { Verdict::TakeOver(None) } else { Verdict::Wait(None) };
    };
    let of_latest = answers.iter().flatten().filter(|seen| seen.epoch == latest.epoch);
    let idle = of_latest.map(|seen| seen.idle).min().unwrap_or_default();
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let patience = if &latest.owner == node { RESTART_DELAY } else { takeover_after + RANK_DELAY * rank };
    if answers.len() >= needed && idle >= patience {
        return Verdict::TakeOver(Some(idle));
    }
    Verdict::Wait(Some(latest.owner.clone()))
}
