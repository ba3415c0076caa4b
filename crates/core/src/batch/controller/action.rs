//! What goes into the owner's state machine and what comes out.

use crate::batch::job::{BatchItem, OutputEvent};
use crate::batch::record::Record;
use crate::batch::score_plan::{ScoreId, ScoreStart};
use crate::batch::weights::Load;
use crate::decision::Decision;
use crate::duties::DutyCall;
use crate::identity::TenantName;
use crate::ingress::replicas::ReplicaRecord;
use crate::quarantine::Fingerprint;

/// Names one run of one item within the time of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// A run to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// The run.
    pub run: RunId,
    /// Where.
    pub replica: ReplicaRecord,
    /// The host of the job's route.
    pub host: String,
    /// Whose job it is.
    pub tenant: Option<TenantName>,
    /// The item.
    pub item: BatchItem,
    /// What all its runs have in common.
    pub fingerprint: Fingerprint,
    /// The last event that is kept: the run begins after it.
    pub last_event: Option<u64>,
    /// How urgent it is: 0 to 9, 0 first.
    pub urgency: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer came whole.
    Complete,
    /// The replica stated that it did not run it.
    Rejected,
    /// Another replica has the address now.
    OtherReplica,
    /// The replica answered that the run failed.
    Failed,
    /// The replica answered that the item can never be done.
    Unprocessable,
    /// Nothing was sent, or the answer broke off.
    Broken,
}

impl RunEnd {
    /// The name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Rejected => "rejected",
            Self::OtherReplica => "other_replica",
            Self::Failed => "failed",
            Self::Unprocessable => "never",
            Self::Broken => "broken",
        }
    }
}

/// What a run gives while it goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// An event of its answer.
    Event(OutputEvent),
    /// It has ended.
    Ended(RunEnd),
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append to the shard's log; call [`super::Controller::appended`] once it is decided, in the same order.
    Append(Vec<Record>),
    /// Begin a run.
    Start(Box<RunStart>),
    /// Stop a run; nothing more of it is wanted.
    Stop(RunId),
    /// Send a score request; tell its end by [`super::Controller::score_ended`].
    Score(Box<ScoreStart>),
    /// Give a score request up; nothing more of it is wanted.
    StopScore(ScoreId),
    /// Order a replica to load a version.
    Load(Load),
    /// Call the platform; tell how it ended by [`super::Controller::duty_ended`].
    Duty(DutyCall),
    /// Show a decision.
    Decide(Decision),
}

/// What comes of handing a job in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It is kept already.
    Committed,
    /// It will be kept once its record is decided.
    Pending,
    /// There is no room for it; nothing of it runs.
    Full,
    /// Another tenant's job has its id; nothing of it runs.
    IdTaken,
}
