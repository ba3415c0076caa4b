//! Tracks how long ago the platform last confirmed each kind of metadata on this node.
//!
//! Ages are measured by a clock that keeps counting while the machine is suspended.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::time::whole_millis;
use lichenpulley_protocol::internal::MetadataKind;

use super::kind_index::kind_index;
use crate::boot_clock::{BootClock, BootInstant};

/// Time of confirmation of a copy whose age is not known.
const UNCONFIRMED: u64 = u64::MAX;

/// Describes the age of a copy for the log. An unknown age is [`Duration::MAX`] on the node itself and `u64::MAX`
/// milliseconds in the answer of a peer.
pub(super) fn describe_age(age: Duration) -> String {
    match whole_millis(age) {
        u64::MAX => "was never read since that node started".to_owned(),
        age_ms => format!("is {age_ms} ms old"),
    }
}

/// Time of the last confirmation and read state of each kind.
///
/// Invariant: the reported age is never less than the true one. A successful probe of the platform confirms
/// only the kinds with a working watch; a copy from a peer is as old as the peer reported.
#[derive(Debug)]
pub(super) struct Freshness {
    clock: BootClock,
    origin: BootInstant,
    confirmed_ms: [AtomicU64; MetadataKind::ALL.len()],
    read_states: [AtomicU8; MetadataKind::ALL.len()],
    is_unreachable: AtomicBool,
}

/// How this node currently reads one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ReadState {
    /// From a peer.
    Followed = 0,
    /// From the platform, which gives no answer.
    Failing = 1,
    /// From the platform, with a working watch.
    Watched = 2,
}

impl Freshness {
    /// Creates a state in which no kind is confirmed. Ages are measured by `clock`, which counts suspensions.
    pub(super) fn new(clock: BootClock) -> Self {
        let confirmed_ms = std::array::from_fn(|_| AtomicU64::new(UNCONFIRMED));
        let is_unreachable = AtomicBool::new(false);
        Self { origin: clock.now(), clock, confirmed_ms, read_states: Default::default(), is_unreachable }
    }

    /// Records that the platform confirmed the copy of a kind `age` ago.
    pub(super) fn confirm(&self, kind: MetadataKind, age: Duration) {
        // A time before the start of this process can't be represented; the age of such a copy counts as
        // unknown.
        let at = self.clock.since(self.origin).checked_sub(age);
        let at_ms = at.and_then(|at| u64::try_from(at.as_millis()).ok()).unwrap_or(UNCONFIRMED);
        self.confirmed_ms[kind_index(kind)].store(at_ms, Ordering::Relaxed);
    }

    /// Returns whether the last probe of the platform got no answer.
    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable.load(Ordering::Relaxed)
    }

    /// Records whether a probe of the platform got no answer.
    pub(super) fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }

    /// Sets how this node reads a kind from now on.
    pub(super) fn set_read_state(&self, kind: MetadataKind, state: ReadState) {
        self.read_states[kind_index(kind)].store(state as u8, Ordering::Relaxed);
    }

    /// Returns whether this node reads any kind directly from the platform.
    pub(super) fn needs_platform(&self) -> bool {
        self.read_states.iter().any(|kind| kind.load(Ordering::Relaxed) != ReadState::Followed as u8)
    }

    /// Confirms all watched kinds after the platform answered a probe that was sent `age` ago.
    pub(super) fn confirm_watched(&self, age: Duration) {
        for kind in MetadataKind::ALL {
            if self.read_states[kind_index(kind)].load(Ordering::Relaxed) == ReadState::Watched as u8 {
                self.confirm(kind, age);
            }
        }
    }

    /// Returns an upper bound of the age of a kind's copy; [`Duration::MAX`] if it is not known.
    pub(super) fn age(&self, kind: MetadataKind) -> Duration {
        match self.confirmed_ms[kind_index(kind)].load(Ordering::Relaxed) {
            UNCONFIRMED => Duration::MAX,
            at_ms => self.clock.since(self.origin).saturating_sub(Duration::from_millis(at_ms)),
        }
    }
}

#[cfg(test)]
mod tests;
