//! Decides when a node takes the batch jobs over from their owner.
//!
//! Inputs: the answers of the stores about the current leader (its epoch, its node, and the time since its
//! last append), the current replica set if known, this node's rank among the candidates, and the reason for
//! asking. Timing only decides when a takeover is attempted; ownership itself is decided by the epoch that
//! the stores promise (see `replication`). An owner appends at least every 200 ms, so one second of silence
//! means that it has failed or is partitioned.

use std::time::Duration;

use crate::identity::{Epoch, NodeId};
use crate::replication::replica_set::ReplicaSet;

/// Number of nodes that poll the stores in every round. With three, losing two at once delays a takeover only
/// by their rank delays; each additional one adds a request to every store in every round.
pub const CANDIDATES: usize = 3;
/// Maximum number of rounds that a node waits. After the loss of the nodes before it, it notices its new rank within
/// this time.
const MAX_ROUNDS_TO_WAIT: u64 = 4;
/// Additional delay for each lower rank. Exceeds the poll interval of 250 ms plus the time of a takeover's
/// first append, so that two candidates do not take the log from each other.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Silence after which a node takes over again if it was the owner before it restarted. It only has to wait
/// for appends of its previous incarnation that are still in flight.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Silence after which a candidate takes over if an owner that cannot reach its stores asked it to. Equals
/// the silence after which an owner suspects a partition.
const CUT_OFF_TAKEOVER_DELAY: Duration = Duration::from_millis(300);

/// Returns whether a node of this rank polls the stores in this round. Ranks beyond the first [`CANDIDATES`]
/// poll less often the lower they are, so that a simultaneous loss of all nodes before them is still noticed,
/// while 410 nodes poll less than four times as often as 7.
pub fn should_poll(rank: usize, round: u64) -> bool {
    round.is_multiple_of(poll_period(rank))
}

/// Returns the number of rounds after which a node of this rank polls next or checks its rank again.
pub fn rounds_to_wait(rank: usize, round: u64) -> u64 {
    let period = poll_period(rank);
    (period - round % period).min(MAX_ROUNDS_TO_WAIT)
}

/// Returns the number of rounds between two polls of a node of this rank.
const fn poll_period(rank: usize) -> u64 {
    (rank / CANDIDATES + 1) as u64
}

/// Why a candidate polls the stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollReason {
    /// The regular poll.
    Due,
    /// The owner handed the jobs over to this node.
    OwnerLeft,
    /// The owner cannot reach its stores and asked this node to take over.
    OwnerCutOff,
}

impl PollReason {
    /// Returns the name used in logs as the reason of a takeover.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Due => "owner_silent",
            Self::OwnerLeft => "owner_left",
            Self::OwnerCutOff => "owner_cut_off",
        }
    }

    /// Returns the rank and the required silence to decide by. A cut-off owner asks only one node, so that
    /// node need not wait for candidates of higher rank.
    pub const fn rank_and_delay(self, rank: usize, takeover_after: Duration) -> (usize, Duration) {
        match self {
            Self::OwnerCutOff => (0, CUT_OFF_TAKEOVER_DELAY),
            Self::Due | Self::OwnerLeft => (rank, takeover_after),
        }
    }
}

/// The current leader as known to one store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLeader {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The leader's node.
    pub owner: NodeId,
    /// Time since its last append at this store.
    pub idle: Duration,
}

/// One store's answer about the current leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAnswer {
    /// The node of the store.
    pub store: NodeId,
    /// The leader; `None` if there has not been one.
    pub leader: Option<ObservedLeader>,
}

/// The answers of all stores that replied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderAnswers(pub Vec<LeaderAnswer>);

impl LeaderAnswers {
    fn leaders(&self) -> impl Iterator<Item = &ObservedLeader> {
        self.0.iter().filter_map(|answer| answer.leader.as_ref())
    }

    /// Returns the owner with the highest epoch.
    pub fn owner(&self) -> Option<&NodeId> {
        let latest = self.leaders().max_by_key(|leader| leader.epoch);
        latest.map(|leader| &leader.owner)
    }

    /// Returns the number of stores that answered.
    pub const fn answered(&self) -> usize {
        self.0.len()
    }

    /// Returns whether an owner appended at any store within the last `duration`.
    pub fn appended_within(&self, duration: Duration) -> bool {
        self.leaders().any(|leader| leader.idle < duration)
    }

    /// Returns the answers that count towards a majority of `set`: those of its members, and those of stores
    /// that know a leader, which belong to a newer set that this node does not know yet. Without a set, all
    /// answers count.
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
    /// Keep waiting; holds the current owner if known.
    Wait(Option<NodeId>),
    /// Take over the shard; holds the time since the previous owner's last append, if there was one.
    TakeOver(Option<Duration>),
}

/// Decides whether to take over. `answers` has one entry per store that answered, `None` if it has known no
/// leader; `quorum` is the required number of answers, and `rank` is 0 for the first candidate.
pub fn decide_takeover(
    node: &NodeId,
    rank: usize,
    answers: &[Option<ObservedLeader>],
    quorum: usize,
    takeover_after: Duration,
) -> TakeoverDecision {
    let latest = answers.iter().flatten().max_by_key(|seen| seen.epoch);
    let Some(latest) = latest else {
        let may_begin = answers.len() >= quorum && rank == 0;
        return if may_begin { TakeoverDecision::TakeOver(None) } else { TakeoverDecision::Wait(None) };
    };
    let of_latest = answers.iter().flatten().filter(|seen| seen.epoch == latest.epoch);
    // Never empty, since `latest` itself is included.
    let idle = of_latest.map(|seen| seen.idle).min().unwrap_or_default();
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let required_silence =
        if &latest.owner == node { RESTART_DELAY } else { takeover_after + RANK_DELAY * rank };
    if answers.len() >= quorum && idle >= required_silence {
        return TakeoverDecision::TakeOver(Some(idle));
    }
    TakeoverDecision::Wait(Some(latest.owner.clone()))
}
