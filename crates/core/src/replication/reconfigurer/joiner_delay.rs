//! Delays copying to joining members of the next set until a majority of staying members is installed.
//!
//! Staying members have nearly the whole log and need few requests. Nothing can be decided until a majority
//! of the next set is installed, so these requests must not queue behind the pages of a whole log for a
//! joining member.

use std::time::Duration;

use super::Reconfigurer;
use crate::time::Timestamp;

/// Whether joining members wait for staying ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JoinerDelay {
    /// Copying has not started.
    Pending,
    /// Joining members wait until this time at the latest.
    Until(Timestamp),
    /// Joining members no longer wait.
    Ended,
}

/// Maximum time that joining members wait for staying ones, in case a staying member is unavailable.
const JOINER_DELAY: Duration = Duration::from_millis(1_500);

impl Reconfigurer {
    /// Updates whether joining members wait at `now`.
    ///
    /// Invariant: once the delay has ended it is no longer reported as a time-out, so the driver does not
    /// wake up for it repeatedly.
    pub(super) fn update_joiner_delay(&mut self, now: Timestamp) {
        if self.joiner_delay == JoinerDelay::Pending {
            self.joiner_delay = JoinerDelay::Until(now + JOINER_DELAY);
        }
        let is_waiting = matches!(self.joiner_delay, JoinerDelay::Until(until) if now < until);
        if !is_waiting || !self.awaits_staying_majority() {
            self.joiner_delay = JoinerDelay::Ended;
        }
    }

    /// Returns whether staying members that are sealed form a majority of the next set that is not installed
    /// yet.
    fn awaits_staying_majority(&self) -> bool {
        let staying = self.sealed_positions.keys().filter(|store| self.next.member(store).is_some());
        let majority = self.next.majority();
        self.installed.len() < majority && staying.count() >= majority
    }
}
