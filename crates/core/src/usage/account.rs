//! Usage by window and tenant, derived from the usage records.
//!
//! Invariants: each request is counted once, however often its report is received. A closed window never
//! changes, so that every duty holder reports the same counts for it, however often.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

use super::window::WindowNumber;
use crate::identity::TenantName;

/// Number of requests by tenant.
pub type TenantCounts = BTreeMap<TenantName, u64>;

/// Closed windows after its last count until a source is removed. What it repeats later is too late to be
/// counted.
pub(super) const SOURCE_RETENTION_WINDOWS: u64 = 24;

/// Number of requests of one tenant that started in one window.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WindowCount {
    /// The window.
    pub window: WindowNumber,
    /// The tenant.
    pub tenant: TenantName,
    /// Number of requests.
    pub requests: u64,
}

/// Counted entries of a source, which is one incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SourceProgress {
    /// Number of the first entry that is not counted.
    through: u64,
    /// Latest window of its last counts, or the last closed window if that is later.
    window: WindowNumber,
}

/// Usage by window and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageAccount {
    sources: BTreeMap<String, SourceProgress>,
    open: BTreeMap<WindowNumber, TenantCounts>,
    closed: BTreeMap<WindowNumber, TenantCounts>,
    closed_through: Option<WindowNumber>,
}

impl UsageAccount {
    /// Returns the number of the first entry of a source that is not counted.
    pub fn through(&self, source: &str) -> u64 {
        self.sources.get(source).map_or(0, |progress| progress.through)
    }

    /// Returns the last closed window.
    pub(crate) const fn closed_through(&self) -> Option<WindowNumber> {
        self.closed_through
    }

    /// Returns the closed windows that the platform has not accepted, oldest first.
    pub const fn closed(&self) -> &BTreeMap<WindowNumber, TenantCounts> {
        &self.closed
    }

    /// Adds the counts of a source up to an entry. Counts of closed windows, which only earlier releases
    /// wrote (see [`super::reporter`]), are ignored as in those releases.
    pub(crate) fn count(&mut self, source: &str, through: u64, counts: &[WindowCount]) {
        if through <= self.through(source) {
            return;
        }
        let window = counts.iter().map(|count| count.window).max();
        let window = window.max(self.closed_through).unwrap_or_default();
        self.sources.insert(source.to_owned(), SourceProgress { through, window });
        self.add(counts);
    }

    fn add(&mut self, counts: &[WindowCount]) {
        for count in counts.iter().filter(|count| Some(count.window) > self.closed_through) {
            let open = self.open.entry(count.window).or_default();
            *open.entry(count.tenant.clone()).or_default() += count.requests;
        }
    }

    /// Closes all windows up to this one.
    pub(crate) fn close(&mut self, window: WindowNumber) {
        if Some(window) <= self.closed_through {
            return;
        }
        let still_open = self.open.split_off(&window.next());
        self.closed.append(&mut std::mem::replace(&mut self.open, still_open));
        self.closed.entry(window).or_default();
        self.closed_through = Some(window);
        self.sources.retain(|_, progress| progress.window.0 + SOURCE_RETENTION_WINDOWS >= window.0);
    }

    /// Removes a window that the platform has accepted.
    pub(crate) fn delivered(&mut self, window: WindowNumber) {
        self.closed.remove(&window);
    }

    /// Returns the account in the form stored in a snapshot.
    pub(crate) fn parts(&self) -> AccountParts {
        let counts = |windows: &BTreeMap<WindowNumber, TenantCounts>| {
            let of_window = |(window, counts): (&WindowNumber, &TenantCounts)| {
                let window = *window;
                let count = |(tenant, requests): (&TenantName, &u64)| WindowCount {
                    window,
                    tenant: tenant.clone(),
                    requests: *requests,
                };
                counts.iter().map(count).collect::<Vec<_>>()
            };
            windows.iter().flat_map(of_window).collect()
        };
        let sources = self.sources.iter();
        AccountParts {
            sources: sources
                .map(|(source, progress)| (source.clone(), progress.through, progress.window))
                .collect(),
            open: counts(&self.open),
            closed: counts(&self.closed),
            closed_windows: self.closed.keys().copied().collect(),
            closed_through: self.closed_through,
        }
    }

    /// Restores the account from the form stored in a snapshot.
    pub(crate) fn from_parts(parts: AccountParts) -> Self {
        let mut account = Self::default();
        account.add(&parts.closed);
        account.closed = std::mem::take(&mut account.open);
        for window in parts.closed_windows {
            account.closed.entry(window).or_default();
        }
        account.closed_through = parts.closed_through;
        account.add(&parts.open);
        let sources = parts.sources.into_iter();
        account.sources =
            sources.map(|(source, through, window)| (source, SourceProgress { through, window })).collect();
        account
    }
}

/// An account in the form stored in a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AccountParts {
    sources: Vec<(String, u64, WindowNumber)>,
    open: Vec<WindowCount>,
    closed: Vec<WindowCount>,
    closed_windows: Vec<WindowNumber>,
    closed_through: Option<WindowNumber>,
}
