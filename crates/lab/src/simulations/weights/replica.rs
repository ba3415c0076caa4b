//! A replica without an engine: fetches, swaps, fails partway, restarts with its first weights.

use std::time::Duration;

use lichenpulley_core::identity::{Epoch, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_core::weights::{OrderCommand, OrderResult, WeightReport};
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::message::{Message, WEIGHT_STORE};
use super::world::WaveSize;

/// A fetch whose end was not heard of is asked for again.
const FETCH_RETRY: Duration = Duration::from_secs(1);

enum Activity {
    Idle,
    Fetching { number: u64, version: WeightVersion, ask_again: Timestamp },
    Swapping { version: WeightVersion, until: Timestamp },
}

/// A replica without an engine.
pub(super) struct Replica {
    random: Pcg64Mcg,
    size: WaveSize,
    fencing: bool,
    loaded: Option<WeightVersion>,
    activity: Activity,
    highest_epoch: Epoch,
    draining: bool,
    /// Times that an order took it back to an older version.
    went_back: u64,
}

impl Replica {
    pub(super) fn new(seed: u64, size: WaveSize, fencing: bool) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            size,
            fencing,
            loaded: Some(WeightVersion(0)),
            activity: Activity::Idle,
            highest_epoch: Epoch(0),
            draining: false,
            went_back: 0,
        }
    }

    /// The replica after a restart, with its first weights and its fence forgotten.
    pub(super) fn restarted(&self) -> Self {
        let mut random = self.random.clone();
        let went_back = self.went_back;
        Self { went_back, ..Self::new(random.random(), self.size, self.fencing) }
    }

    pub(super) fn loaded(&self) -> Option<WeightVersion> {
        self.loaded
    }

    pub(super) fn went_back(&self) -> u64 {
        self.went_back
    }

    fn report(&self) -> WeightReport {
        WeightReport { weight_version: self.loaded, draining: self.draining }
    }

    fn order(&mut self, epoch: Epoch, command: OrderCommand, now: Timestamp) -> OrderResult {
        if self.fencing && epoch < self.highest_epoch {
            return OrderResult::Refused { highest_epoch: self.highest_epoch };
        }
        self.highest_epoch = self.highest_epoch.max(epoch);
        match command {
            OrderCommand::ChangeRole { draining } => self.draining = draining,
            OrderCommand::LoadWeights(version) => self.begin(version, now),
        }
        OrderResult::Accepted(self.report())
    }

    fn begin(&mut self, version: WeightVersion, now: Timestamp) {
        let on_its_way = match self.activity {
            Activity::Fetching { version, .. } | Activity::Swapping { version, .. } => Some(version),
            Activity::Idle => self.loaded,
        };
        if on_its_way == Some(version) {
            return;
        }
        if self.loaded.is_some_and(|loaded| version < loaded) {
            self.went_back += 1;
        }
        // Numbers go up across restarts too.
        let number = now.as_micros();
        self.activity = Activity::Fetching { number, version, ask_again: now };
    }

    fn finish_swap(&mut self, version: WeightVersion) {
        let failed = self.random.random_bool(self.size.swap_failure);
        self.loaded = if failed { None } else { Some(version) };
        self.activity = Activity::Idle;
    }
}

impl Process for Replica {
    type Message = Message;

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::Order { epoch, command } => {
                let result = self.order(epoch, command, now);
                outbox.send(from, Message::OrderEnded { result });
            }
            Message::Ask => outbox.send(from, Message::Reported { report: self.report() }),
            Message::Fetched { number } => {
                let Activity::Fetching { number: wanted, version, .. } = self.activity else { return };
                if wanted == number {
                    self.loaded = None;
                    self.activity = Activity::Swapping { version, until: now + self.size.swap_time };
                }
            }
            _ => {}
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        match &mut self.activity {
            Activity::Fetching { number, ask_again, .. } if *ask_again <= now => {
                *ask_again = now + FETCH_RETRY;
                outbox.send(WEIGHT_STORE, Message::Fetch { number: *number });
            }
            Activity::Swapping { version, until } if *until <= now => {
                let version = *version;
                self.finish_swap(version);
            }
            _ => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        match self.activity {
            Activity::Idle => None,
            Activity::Fetching { ask_again, .. } => Some(ask_again),
            Activity::Swapping { until, .. } => Some(until),
        }
    }
}
