//! How long ago the platform last confirmed what this node holds.
//!
//! Owns the times of confirmation of all kinds, by a clock that counts suspensions of the machine.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_protocol::internal::MetadataKind;

use super::kind_index::kind_index;
use crate::boot_clock::{BootClock, BootInstant};

/// The age of a copy that was never confirmed.
const NEVER: u64 = u64::MAX;

/// Confirmations by kind.
///
/// Invariant: the age is never below the true one. An answer of the platform to a probe confirms only kinds
/// whose watch stands; a copy that came from a peer is as old as the peer said.
#[derive(Debug)]
pub(super) struct Freshness {
    clock: BootClock,
    origin: BootInstant,
    confirmed_ms: [AtomicU64; MetadataKind::ALL.len()],
    reads: [AtomicU8; MetadataKind::ALL.len()],
    is_away: AtomicBool,
}

/// How this node reads one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Reading {
    /// From a peer.
    Followed = 0,
    /// From the platform, which does not answer.
    Failing = 1,
    /// From the platform, by a watch that stands.
    Watched = 2,
}

impl Freshness {
    /// Nothing is confirmed yet. Copies age by this clock while the machine is suspended, too.
    pub(super) fn new(clock: BootClock) -> Self {
        let confirmed_ms = std::array::from_fn(|_| AtomicU64::new(NEVER));
        let is_away = AtomicBool::new(false);
        Self { origin: clock.now(), clock, confirmed_ms, reads: Default::default(), is_away }
    }

    /// A copy of this kind was confirmed so long ago.
    pub(super) fn confirm(&self, kind: MetadataKind, age: Duration) {
        // A time before this process began can't be noted: such a copy is of unknown age.
        let at = self.clock.since(self.origin).checked_sub(age);
        let at_ms = at.and_then(|at| u64::try_from(at.as_millis()).ok()).unwrap_or(NEVER);
        self.confirmed_ms[kind_index(kind)].store(at_ms, Ordering::Relaxed);
    }

    /// Whether the platform gave no answer when it was last asked.
    pub(super) fn is_away(&self) -> bool {
        self.is_away.load(Ordering::Relaxed)
    }

    /// The platform was asked, and gave an answer or none.
    pub(super) fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
    }

    /// How this node reads a kind from now on.
    pub(super) fn set_reading(&self, kind: MetadataKind, reading: Reading) {
        self.reads[kind_index(kind)].store(reading as u8, Ordering::Relaxed);
    }

    /// Whether this node reads anything from the platform for itself.
    pub(super) fn needs_platform(&self) -> bool {
        self.reads.iter().any(|kind| kind.load(Ordering::Relaxed) != Reading::Followed as u8)
    }

    /// The platform answered: what is watched is as new as `age`.
    pub(super) fn reached(&self, age: Duration) {
        for kind in MetadataKind::ALL {
            if self.reads[kind_index(kind)].load(Ordering::Relaxed) == Reading::Watched as u8 {
                self.confirm(kind, age);
            }
        }
    }

    /// How old the copy of a kind may be.
    pub(super) fn age(&self, kind: MetadataKind) -> Duration {
        match self.confirmed_ms[kind_index(kind)].load(Ordering::Relaxed) {
            NEVER => Duration::MAX,
            at_ms => self.clock.since(self.origin).saturating_sub(Duration::from_millis(at_ms)),
        }
    }
}
