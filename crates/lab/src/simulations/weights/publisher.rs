//! The trainer that publishes versions, each until an owner says that it is kept.

use std::time::Duration;

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::message::{FIRST_OWNER, Message, OWNERS};

/// A publication without an answer is sent again.
const RETRY: Duration = Duration::from_millis(400);

/// The trainer.
#[derive(Clone)]
pub(super) struct Publisher {
    random: Pcg64Mcg,
    interval: Duration,
    last: WeightVersion,
    version: WeightVersion,
    kept: WeightVersion,
    next: Timestamp,
    owner: usize,
}

impl Publisher {
    pub(super) fn new(seed: u64, versions: u64, interval: Duration) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            interval,
            last: WeightVersion(versions),
            version: WeightVersion(1),
            kept: WeightVersion(0),
            next: Timestamp::ORIGIN,
            owner: 0,
        }
    }

    /// The trainer after a restart: it saved everything.
    pub(super) fn restarted(&self) -> Self {
        self.clone()
    }

    /// The last version, once it is kept.
    pub(super) fn finished(&self) -> Option<WeightVersion> {
        (self.kept == self.last).then_some(self.kept)
    }
}

impl Process for Publisher {
    type Message = Message;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Message>) {
        self.next = now;
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, message: Message, _outbox: &mut Outbox<Message>) {
        let Message::Published { version } = message else { return };
        if version < self.version {
            return;
        }
        self.kept = self.version;
        if self.version < self.last {
            self.version = self.version.next();
            self.next = now + self.interval;
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if self.random.random_bool(0.3) {
            self.owner = self.random.random_range(0..OWNERS);
        }
        outbox.send(ProcessId(FIRST_OWNER + self.owner), Message::Publish { version: self.version });
        self.next = now + RETRY;
    }

    fn next_wake(&self) -> Option<Timestamp> {
        (self.kept < self.last).then_some(self.next)
    }
}
