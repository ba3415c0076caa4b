//! One replica as one node knows it: whether it takes work, its load, its limit and its cached prefixes.
//! Joins the parts for [`super::pool`], which owns it.

use crate::identity::{WeightVersion, ZoneName};
use crate::request::answer::Priority;
use crate::routing::concurrency::{ConcurrencyConfig, ConcurrencyLimit};
use crate::routing::eligibility::Confirmation;
use crate::routing::load::{LoadEstimate, LoadReport, earlier};
use crate::routing::prefix::PrefixHints;
use crate::time::Timestamp;

/// What a node knows about a replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub confirmation: Confirmation,
    /// Its load.
    pub load: LoadEstimate,
    /// How many requests this node keeps there.
    pub concurrency: ConcurrencyLimit,
    /// What it probably has in its cache.
    pub prefixes: PrefixHints,
    /// Whether it is in the machine list; kept after that while requests run there.
    pub listed: bool,
    /// Whether this node uses it; see [`crate::routing::subset`].
    pub in_subset: bool,
}

impl Replica {
    /// A replica of which nothing is known.
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

    /// Takes a report that came in the answer to a question sent at `asked_at`.
    ///
    /// For eligibility it stands for the time of the question; for the load, which is a hint, for its
    /// arrival, so that the report at the end of a long stream is of use.
    pub fn observe(&mut self, asked_at: Timestamp, report: LoadReport, now: Timestamp) {
        let age = report.age();
        self.confirmation.observe(asked_at, age, report.role, now);
        self.load.observe(earlier(now, age), report);
    }

    /// Whether it is in the machine list and not listed as leaving.
    pub(crate) fn may_be_used(&self) -> bool {
        self.listed && !self.confirmation.is_listed_leaving()
    }

    /// Whether one more request of this priority may run there.
    pub fn has_room(&self, priority: Priority) -> bool {
        self.load.in_flight() < self.concurrency.limit_for(priority)
    }

    /// Whether its last report rules out that it generates with `minimum` or later.
    pub(crate) fn is_older_than(&self, minimum: Option<WeightVersion>) -> bool {
        let Some(minimum) = minimum else { return false };
        let reported = self.load.report().and_then(|report| report.weight_version);
        reported.is_some_and(|version| version < minimum)
    }
}
