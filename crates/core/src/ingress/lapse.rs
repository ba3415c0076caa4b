//! Retains entries of replicas that lapsed during an outage of the platform's store.
//!
//! A replica's entry lapses unless the replica renews it, so an outage of the store removes the entries of
//! healthy replicas. Running replicas register again soon after the store recovers. Until then their entries are
//! retained; those still missing after a grace period are removed.
//!
//! If the store is unreachable from this node alone, replicas can still renew their entries. If peers show that
//! the store kept answering them, nothing has lapsed, and entries removed meanwhile are dropped at once.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Timestamp;

/// Maximum time between two confirmations of peers' copies for the store to count as continuously available to
/// others. Must be below the time after which an entry lapses (about three seconds).
const MAX_CONFIRMATION_GAP: Duration = Duration::from_millis(2_500);

/// Availability of the store to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreState {
    /// It answers, and its lists are complete.
    #[default]
    Available,
    /// It does not answer.
    Unavailable {
        /// When it stopped answering.
        since: Timestamp,
        /// The time until which it is known to have served other nodes.
        served_until: Timestamp,
    },
    /// It has answered again since this time, and replicas are registering again.
    Recovering(Timestamp),
}

/// The entries removed from the store that are retained, with their deadline.
#[derive(Clone, Debug)]
pub struct LapsedEntries {
    grace_period: Duration,
    state: StoreState,
    lapsed: BTreeSet<String>,
}

impl LapsedEntries {
    /// Creates an empty set. Replicas have the time `grace_period` to register again after an outage.
    pub const fn new(grace_period: Duration) -> Self {
        Self { grace_period, state: StoreState::Available, lapsed: BTreeSet::new() }
    }

    /// Records that the store did not answer.
    pub const fn store_failed(&mut self, now: Timestamp) {
        if !matches!(self.state, StoreState::Unavailable { .. }) {
            self.state = StoreState::Unavailable { since: now, served_until: now };
        }
    }

    /// Records that the store confirmed a peer's copy the time `age` ago. Returns whether that was after the store
    /// became unavailable here.
    pub fn record_peer_confirmation(&mut self, now: Timestamp, age: Duration) -> bool {
        let StoreState::Unavailable { since, served_until } = &mut self.state else { return false };
        let outage = now.saturating_since(*since);
        if age >= outage {
            return false;
        }
        let confirmed_at = *since + (outage - age);
        // A confirmation after a longer gap does not show that the store was available during it.
        if confirmed_at.saturating_since(*served_until) < MAX_CONFIRMATION_GAP {
            *served_until = confirmed_at.max(*served_until);
        }
        true
    }

    /// Records that the store answered. `was_away` states that another component of this node found it
    /// unavailable until now.
    pub fn store_answered(&mut self, now: Timestamp, was_away: bool) {
        let nothing_lapsed = self.lapsed.is_empty();
        self.state = match self.state {
            StoreState::Unavailable { since, served_until }
                if nothing_lapsed && was_continuously_served(since, served_until, now) =>
            {
                StoreState::Available
            }
            StoreState::Unavailable { .. } => StoreState::Recovering(now),
            StoreState::Available if was_away => StoreState::Recovering(now),
            state @ (StoreState::Available | StoreState::Recovering(_)) => state,
        };
    }

    /// Records that an entry was removed; returns whether it is retained for now.
    pub fn entry_removed(&mut self, name: &str) -> bool {
        let is_retained = self.state != StoreState::Available;
        if is_retained {
            self.lapsed.insert(name.to_owned());
        }
        is_retained
    }

    /// Records that an entry is listed.
    pub fn mark_listed(&mut self, name: &str) {
        self.lapsed.remove(name);
    }

    /// Whether a removed entry is retained.
    pub fn retains(&self, name: &str) -> bool {
        self.lapsed.contains(name)
    }

    /// Returns when [`Self::expire`] is due.
    pub fn deadline(&self) -> Option<Timestamp> {
        match self.state {
            StoreState::Recovering(at) => Some(at + self.grace_period),
            StoreState::Available | StoreState::Unavailable { .. } => None,
        }
    }

    /// Returns and drops the retained entries once the grace period has ended.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        self.state = StoreState::Available;
        std::mem::take(&mut self.lapsed).into_iter().collect()
    }
}

/// Whether the store is known to have served other nodes throughout the outage.
fn was_continuously_served(since: Timestamp, served_until: Timestamp, now: Timestamp) -> bool {
    served_until > since && now.saturating_since(served_until) < MAX_CONFIRMATION_GAP
}
