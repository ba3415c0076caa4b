//! Detects suspensions of the machine and rereads the platform's metadata afterwards.
//!
//! Timers do not advance during a suspension, so a pending watch keeps waiting even if its response was sent and lost
//! in the meantime. A suspension is detected by comparing [`crate::boot_clock`] with the monotonic clock.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_protocol::internal::MetadataKind;
use tokio::time::{Instant, MissedTickBehavior};

use crate::boot_clock::{BootClock, BootInstant};
use crate::context::Context;

/// Interval between comparisons of the clocks. Every node wakes for each.
const CLOCK_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum difference of the clocks that counts as a suspension. On a busy machine, time also passes between the two
/// clock reads.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// Starts a task that compares the clocks until the node has stopped.
pub fn start(context: &Context) {
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(CLOCK_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut clocks = ClockPair::read(&context.boot_clock);
        loop {
            tokio::select! {
                () = context.stopped.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let now = ClockPair::read(&context.boot_clock);
            let suspended = now.suspended_since(&clocks);
            clocks = now;
            if suspended >= MIN_SUSPENSION {
                handle_resume(&context, suspended);
            }
        }
    });
}

fn handle_resume(context: &Context, suspended: Duration) {
    log::warn!(target: "node", "The machine was suspended for {} ms; rereading all watched metadata.", suspended.as_millis());
    let decision = Decision::new(Component::Membership, "resumed", "was_suspended", &context.node);
    context.decisions.record(decision.with("milliseconds", suspended.as_millis()));
    for kind in MetadataKind::ALL {
        context.metadata.request_relist(kind);
    }
}

/// Readings of both clocks, taken one after the other.
struct ClockPair {
    boot: BootInstant,
    monotonic: Instant,
}

impl ClockPair {
    fn read(clock: &BootClock) -> Self {
        Self { boot: clock.now(), monotonic: Instant::now() }
    }

    /// Returns how much further the boot clock has advanced than the monotonic clock since `earlier`.
    fn suspended_since(&self, earlier: &Self) -> Duration {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        self.boot.saturating_since(earlier.boot).saturating_sub(monotonic)
    }
}
