//! Decides which lines of the log are dropped when there are too many of them.
//!
//! A shortage produces hundreds of lines of single runs in a second, and the lines that explain it come among them.
//! Each class of lines therefore has a part of the rate limit and of the queue that no less important class can use.

use std::time::Duration;

use log::Level;

/// Maximum number of lines per second. Bounds the processor time spent on logging.
pub const LINES_PER_SECOND: u64 = 400;
/// Capacity of the queue, in lines.
pub const QUEUE_LINES: usize = 2_048;

/// Actions of decisions that report a shortage or a change of owner.
const VITAL_ACTIONS: [&str; 9] = [
    "shortage",
    "taking_over",
    "taken_over",
    "superseded",
    "ledger_whole",
    "set_changed",
    "replaced_set",
    "replacing",
    "connection_aborted",
];
/// Actions of decisions that refuse something or give it up.
const REFUSAL_ACTIONS: [&str; 5] =
    ["refused", "batch_refused", "append_refused", "claim_refused", "nowhere_to_send"];
/// Modules whose lines at the level warn are about single runs.
const RUN_MODULES: [&str; 2] = ["::batch::run", "::batch::score"];

/// Importance of a line, the least important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LineClass {
    /// About a single request or run, or routine.
    Ordinary,
    /// Reports a refusal, or a state that somebody should look at.
    Report,
    /// Reports a shortage, a change of owner or an error.
    Vital,
}

impl LineClass {
    /// Classifies a line. `message` is the action if the line is a decision.
    pub fn of(level: Level, part: &str, module: &str, message: &str) -> Self {
        if level == Level::Error || VITAL_ACTIONS.contains(&message) {
            return Self::Vital;
        }
        if REFUSAL_ACTIONS.contains(&message) {
            return Self::Report;
        }
        let is_about_run = RUN_MODULES.iter().any(|run| module.ends_with(run));
        // The part `batch` has the lines about who owns the batch jobs, and about refused jobs.
        let is_report = level == Level::Warn || (part == "batch" && level == Level::Info);
        if is_report && !is_about_run { Self::Report } else { Self::Ordinary }
    }

    /// Returns the part of a limit that this class and the less important ones may use: three quarters for ordinary
    /// lines, another eighth for reports, and all for vital lines.
    const fn share_of(self, limit: u64) -> u64 {
        match self {
            Self::Ordinary => limit / 4 * 3,
            Self::Report => limit / 8 * 7,
            Self::Vital => limit,
        }
    }
}

/// Admits lines up to [`LINES_PER_SECOND`] and [`QUEUE_LINES`].
///
/// Invariants: no second and no queue has more lines than its limit, and a line is never dropped because of lines of
/// less important classes while its own class is within the part that is reserved for it.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    second_start: Duration,
    admitted: u64,
}

impl LineBudget {
    /// Returns whether a line may be queued, and counts it if so. `now` is the time since some fixed origin, and
    /// `queued` the number of lines in the queue.
    pub fn admit(&mut self, now: Duration, class: LineClass, queued: u64) -> bool {
        if now.saturating_sub(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.admitted = 0;
        }
        let has_place = queued < class.share_of(QUEUE_LINES as u64);
        let is_admitted = has_place && self.admitted < class.share_of(LINES_PER_SECOND);
        self.admitted += u64::from(is_admitted);
        is_admitted
    }
}
