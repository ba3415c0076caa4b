//! Finds out that the machine was suspended, and has the platform's metadata read anew.
//!
//! Timers don't count a suspension: a watch that was held when it began waits on as though nothing had happened, though its
//! answer may have been given and lost meanwhile. Relies on [`crate::boot_clock`] to count what the steady clock does not.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_protocol::internal::MetadataKind;
use tokio::time::{Instant, MissedTickBehavior};

use crate::boot_clock::{BootClock, BootInstant};
use crate::context::Context;

/// The pause between two comparisons of both clocks. Chosen, not measured: a suspension is noticed within it after the
/// machine wakes; shorter wakes an idle machine more often.
const CLOCK_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A shorter difference of the clocks is no suspension. Chosen, not measured: more than a busy machine lets pass between
/// two reads; too short reads all metadata anew for nothing, too long misses suspensions in which a watch was lost.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// Compares the clocks until the node has stopped.
pub fn start(context: &Context) {
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let mut polls = tokio::time::interval(CLOCK_POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut clocks = ClockPair::read(&context.boot_clock);
        loop {
            tokio::select! {
                () = context.stopped.cancelled() => return,
                _ = polls.tick() => {}
            }
            let now = ClockPair::read(&context.boot_clock);
            let suspended = now.suspended_since(&clocks);
            clocks = now;
            if suspended >= MIN_SUSPENSION {
                resumed(&context, suspended);
            }
        }
    });
}

fn resumed(context: &Context, suspended: Duration) {
    log::warn!(target: "node", "The machine was suspended for {} ms: what it watches is read anew.", suspended.as_millis());
    let decision = Decision::new(Component::Membership, "resumed", "was_suspended", &context.node);
    context.decisions.record(decision.with("milliseconds", suspended.as_millis()));
    for kind in MetadataKind::ALL {
        context.metadata.request_relist(kind);
    }
}

/// Both clocks, read one after the other.
struct ClockPair {
    boot: BootInstant,
    steady: Instant,
}

impl ClockPair {
    fn read(clock: &BootClock) -> Self {
        Self { boot: clock.now(), steady: Instant::now() }
    }

    /// By how much more the clock that counts suspensions has moved on.
    fn suspended_since(&self, earlier: &Self) -> Duration {
        let steady = self.steady.saturating_duration_since(earlier.steady);
        self.boot.saturating_since(earlier.boot).saturating_sub(steady)
    }
}
