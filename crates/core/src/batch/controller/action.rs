//! Inputs and outputs of the owner's state machine.

use crate::batch::job::{BatchItem, OutputEvent};
use crate::batch::record::Record;
use crate::batch::score_plan::{ScoreId, ScoreStart};
use crate::batch::weights::Load;
use crate::decision::Decision;
use crate::duties::DutyCall;
use crate::identity::TenantName;
use crate::ingress::replica_load::ReplicaLoad;
use crate::ingress::replicas::ReplicaRecord;

/// Identifies one run of one item during one ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// The run.
    pub run: RunId,
    /// The replica that runs the item.
    pub replica: ReplicaRecord,
    /// The host name under which the job was submitted.
    pub host: String,
    /// The tenant that owns the job; `None` where callers need no key.
    pub tenant: Option<TenantName>,
    /// The item to run.
    pub item: BatchItem,
    /// Number of the last event received so far; the run resumes after it. `None` starts from the beginning.
    pub last_event: Option<u64>,
    /// Urgency from 0 (highest) to 9.
    pub urgency: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer is complete.
    Complete,
    /// The replica reported that it did not run the item.
    Rejected,
    /// The address now belongs to another replica.
    OtherReplica,
    /// The replica reported that the run failed.
    Failed,
    /// The replica reported that the item can never succeed.
    Unprocessable,
    /// The answer brought events and ended with its connection, which a crash of the replica looks like.
    Unframed,
    /// The request was not sent, or the answer was truncated.
    Broken,
}

impl RunEnd {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Rejected => "rejected",
            Self::OtherReplica => "other_replica",
            Self::Failed => "failed",
            Self::Unprocessable => "never",
            Self::Unframed => "unframed",
            Self::Broken => "broken",
        }
    }
}

/// A progress report of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// The head of the answer reported the replica's load.
    Load(ReplicaLoad),
    /// An event of the answer.
    Event(OutputEvent),
    /// The run has ended.
    Ended(RunEnd),
}

/// An instruction to the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append to the shard's log. The driver calls [`super::Controller::appended`] once the append is
    /// committed, in the same order.
    Append(Vec<Record>),
    /// Start a run.
    Start(Box<RunStart>),
    /// Stop a run; further output of it is ignored.
    Stop(RunId),
    /// Send a score request. The driver reports its end through [`super::Controller::score_ended`].
    Score(Box<ScoreStart>),
    /// Cancel a score request; its answer is ignored.
    StopScore(ScoreId),
    /// Order a replica to load a version.
    Load(Load),
    /// Call the platform. The driver reports the result through [`super::Controller::duty_ended`].
    Duty(DutyCall),
    /// Record a decision in the decision log.
    Decide(Decision),
}

/// Result of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The job is already committed.
    Committed,
    /// The job is accepted once its record is committed.
    Pending,
    /// The job exceeds the capacity, or its trainer's earlier jobs leave no time for it; it is refused.
    Full,
    /// Another tenant's job has the same id; the job is refused.
    IdTaken,
}
