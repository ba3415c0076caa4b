//! One node's view of a replica: eligibility, load, concurrency limit and cached prefixes. Owned by
//! [`super::pool`].

use crate::identity::{WeightVersion, ZoneName};
use crate::request::answer::Priority;
use crate::routing::concurrency::{ConcurrencyConfig, ConcurrencyLimit};
use crate::routing::eligibility::Confirmation;
use crate::routing::load::{LoadEstimate, LoadReport, earlier};
use crate::routing::prefix::PrefixHints;
use crate::time::Timestamp;

/// One node's view of a replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Its confirmation that it accepts new work.
    pub confirmation: Confirmation,
    /// Its estimated load.
    pub load: LoadEstimate,
    /// The limit on this node's concurrent requests there.
    pub concurrency: ConcurrencyLimit,
    /// The prefixes it probably has cached.
    pub prefixes: PrefixHints,
    /// Whether it is in the machine list. An unlisted replica is kept while requests run there.
    pub listed: bool,
    /// Whether it is in this node's subset; see [`crate::routing::subset`].
    pub in_subset: bool,
}

impl Replica {
    /// Creates a listed replica without any reports.
    pub fn new(zone: ZoneName, concurrency: ConcurrencyConfig) -> Self {
        Self {
            zone,
            confirmation: Confirmation::default(),
            load: LoadEstimate::default(),
            concurrency: ConcurrencyLimit::new(concurrency),
            prefixes: PrefixHints::default(),
            listed: true,
            in_subset: false,
        }
    }

    /// Records a load report received in the response to a message sent at `asked_at`.
    ///
    /// Eligibility dates the report to the time of that message, the latest time that is safe to assume. The
    /// load, which is only a hint, dates it to its arrival, so that a report at the end of a long stream is
    /// still used.
    pub fn observe(&mut self, asked_at: Timestamp, report: LoadReport, now: Timestamp) {
        let age = report.age();
        self.confirmation.observe(asked_at, age, report.role, now);
        self.load.observe(earlier(now, age), report);
    }

    /// Whether the replica is listed and not marked as leaving.
    pub(crate) fn may_be_used(&self) -> bool {
        self.listed && !self.confirmation.is_listed_leaving()
    }

    /// Whether the limit admits another request of this priority.
    pub fn has_room(&self, priority: Priority) -> bool {
        self.load.in_flight() < self.concurrency.limit_for(priority)
    }

    /// Whether its last report states weights older than `minimum`.
    pub(crate) fn is_older_than(&self, minimum: Option<WeightVersion>) -> bool {
        let Some(minimum) = minimum else { return false };
        let reported = self.load.report().and_then(|report| report.weight_version);
        reported.is_some_and(|version| version < minimum)
    }
}
