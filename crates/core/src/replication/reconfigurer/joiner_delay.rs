//! Delays copying to joining members of the next set until a majority of staying members is installed.
//!
//! Staying members have nearly the whole log and need few requests. Nothing can be decided until a majority
//! of the next set is installed, so these requests must not queue behind the pages of a whole log for a
//! joining member.

use std::time::Duration;

use super::Reconfigurer;
use crate::replication::replica_set::StoreId;
use crate::time::Timestamp;

/// Whether joining members wait for staying ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JoinerDelay {
    /// Copying has not started, or a staying member has made progress.
    Pending,
    /// Joining members wait until this time at the latest.
    Until(Timestamp),
    /// Joining members no longer wait.
    Ended,
}

/// Maximum time that joining members wait without progress of a staying one, in case one is unavailable.
const JOINER_DELAY: Duration = Duration::from_millis(1_500);

impl Reconfigurer {
    /// Starts or ends the delay at `now`.
    ///
    /// Invariant: once the delay has ended it is no longer reported as a time-out, so the driver does not
    /// wake up for it repeatedly.
    pub(super) fn update_joiner_delay(&mut self, now: Timestamp) {
        self.joiner_delay = match self.joiner_delay {
            JoinerDelay::Pending => JoinerDelay::Until(now + JOINER_DELAY),
            JoinerDelay::Until(until) if now >= until => JoinerDelay::Ended,
            unchanged => unchanged,
        };
    }

    /// Lets joining members wait longer after progress of a staying member.
    pub(super) fn extend_joiner_delay(&mut self, progressed: &StoreId) {
        if self.joiner_delay != JoinerDelay::Ended && self.sealed_positions.contains_key(progressed) {
            self.joiner_delay = JoinerDelay::Pending;
        }
    }

    /// Returns whether joining members wait. They may have to wait again once a staying member is sealed.
    pub(super) fn joiners_wait(&self) -> bool {
        self.joiner_delay != JoinerDelay::Ended && self.awaits_staying_majority()
    }

    /// Returns whether staying members that are installed or sealed form a majority of the next set that is
    /// not installed yet.
    fn awaits_staying_majority(&self) -> bool {
        let staying = self.targets.keys().filter(|store| self.sealed_positions.contains_key(store));
        let majority = self.next.majority();
        self.installed.len() < majority && self.installed.len() + staying.count() >= majority
    }
}
