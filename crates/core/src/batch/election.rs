//! When a node takes the batch jobs over from their owner.
//!
//! Inputs: what the stores answer to the question who leads (the epoch, its owner, how long ago that owner
//! last appended), the replica set in force where it is known, this node's rank among the candidates, and why
//! it asks. Time only decides when a takeover is tried; the epoch that the stores promise decides who owns
//! (see `replication`). An owner appends at least each 200 ms, so that a second of silence means that it is
//! gone or cut off.

use std::time::Duration;

use crate::identity::{Epoch, NodeId};
use crate::replication::replica_set::ReplicaSet;

/// Nodes that ask the stores at each turn. Three, so that the loss of two at once delays a takeover by no
/// more than the ranks between them; each further one adds a question to every store at each turn.
pub const CANDIDATES: usize = 3;
/// A candidate waits this much longer for each one before it. Chosen, not measured: above the 250 ms between
/// two polls and the time of a takeover's first append, or two candidates take the log from each other.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Silence after which a node that itself led before it restarted takes over again. Chosen, not measured: it
/// need not wait for itself, only for appends of its own earlier incarnation that are still on their way.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Silence after which a candidate takes over that the owner asked because it can't reach its stores. As long
/// as the owner waits before it suspects that it is cut off. Chosen, not measured: shorter takes over from an
/// owner that is merely slow.
const ASKED_DELAY: Duration = Duration::from_millis(300);

/// Whether a node of this rank asks the stores in poll round `round`. Those behind the first few ask the more
/// rarely the further behind they are: should all before them be gone at once, one of them notices, and 410
/// nodes ask the stores less than four times as often as 7.
pub fn should_poll(rank: usize, round: u64) -> bool {
    let period = (rank / CANDIDATES + 1) as u64;
    round.is_multiple_of(period)
}

/// Why a candidate asks the stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollReason {
    /// Its turn has come.
    Due,
    /// The owner left the jobs to this node.
    OwnerLeft,
    /// The owner can't reach its stores, and asked this node to try.
    OwnerCutOff,
}

impl PollReason {
    /// The name used in logs, as the reason of a takeover.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Due => "owner_silent",
            Self::OwnerLeft => "owner_left",
            Self::OwnerCutOff => "owner_cut_off",
        }
    }

    /// The rank and the silence by which the candidate judges. Where the owner asked this node, it asked
    /// nobody else, so that no other candidate need be waited for.
    pub const fn rank_and_delay(self, rank: usize, takeover_after: Duration) -> (usize, Duration) {
        match self {
            Self::OwnerCutOff => (0, ASKED_DELAY),
            Self::Due | Self::OwnerLeft => (rank, takeover_after),
        }
    }
}

/// Who leads, as one store knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLeader {
    /// The epoch.
    pub epoch: Epoch,
    /// The owner's node.
    pub owner: NodeId,
    /// How long ago it last appended there.
    pub idle: Duration,
}

/// What one store answers to the question who leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAnswer {
    /// The store's node.
    pub store: NodeId,
    /// Who leads there; `None` where nobody has led.
    pub leader: Option<ObservedLeader>,
}

/// What the stores that answered say of who leads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderAnswers(pub Vec<LeaderAnswer>);

impl LeaderAnswers {
    fn leaders(&self) -> impl Iterator<Item = &ObservedLeader> {
        self.0.iter().filter_map(|answer| answer.leader.as_ref())
    }

    /// The owner under the highest epoch.
    pub fn owner(&self) -> Option<&NodeId> {
        let latest = self.leaders().max_by_key(|leader| leader.epoch);
        latest.map(|leader| &leader.owner)
    }

    /// How many stores answered.
    pub const fn answered(&self) -> usize {
        self.0.len()
    }

    /// Whether an owner appended at a store less than `duration` ago.
    pub fn appended_within(&self, duration: Duration) -> bool {
        self.leaders().any(|leader| leader.idle < duration)
    }

    /// The answers that count towards a majority of `set`: those of its members, and of stores that know of a
    /// leader, which are members of a set that this node has not met yet. All of them where no set is known.
    pub fn counted(&self, set: Option<&ReplicaSet>) -> Vec<Option<ObservedLeader>> {
        let is_member =
            |set: &ReplicaSet, node: &NodeId| set.members.iter().any(|member| member.node == *node);
        let counts = |answer: &&LeaderAnswer| {
            answer.leader.is_some() || set.is_none_or(|set| is_member(set, &answer.store))
        };
        self.0.iter().filter(counts).map(|answer| answer.leader.clone()).collect()
    }
}

/// What a candidate should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Nothing; this is the owner, where it is known.
    Wait(Option<NodeId>),
    /// Take the shard over. The owner before last appended this long ago, where there was one.
    TakeOver(Option<Duration>),
}

/// Judges what the stores say. `answers` has an entry for each store that answered, `None` where nobody has
/// led there; `needed` is how many must have answered. `rank` is 0 for the first candidate.
pub fn decide_takeover(
    node: &NodeId,
    rank: usize,
    answers: &[Option<ObservedLeader>],
    needed: usize,
    takeover_after: Duration,
) -> TakeoverDecision {
    let latest = answers.iter().flatten().max_by_key(|seen| seen.epoch);
    let Some(latest) = latest else {
        let may_begin = answers.len() >= needed && rank == 0;
        return if may_begin { TakeoverDecision::TakeOver(None) } else { TakeoverDecision::Wait(None) };
    };
    let of_latest = answers.iter().flatten().filter(|seen| seen.epoch == latest.epoch);
    // `latest` is among them, so that there is a least.
    let idle = of_latest.map(|seen| seen.idle).min().unwrap_or_default();
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let silence = if &latest.owner == node { RESTART_DELAY } else { takeover_after + RANK_DELAY * rank };
    if answers.len() >= needed && idle >= silence {
        return TakeoverDecision::TakeOver(Some(idle));
    }
    TakeoverDecision::Wait(Some(latest.owner.clone()))
}
