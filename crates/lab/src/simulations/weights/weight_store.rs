//! The weight store: its rate is shared by the fetches that run, and no fetch is faster than a replica's link.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::Message;
use super::world::WaveSize;

struct Fetch {
    number: u64,
    remaining_bytes: f64,
}

/// The weight store.
pub(super) struct WeightStore {
    size: WaveSize,
    fetches: BTreeMap<ProcessId, Fetch>,
    /// The last fetch that each replica completed.
    completed: BTreeMap<ProcessId, u64>,
    progressed_at: Timestamp,
    most_fetches: usize,
}

impl WeightStore {
    pub(super) fn new(size: WaveSize) -> Self {
        Self {
            size,
            fetches: BTreeMap::new(),
            completed: BTreeMap::new(),
            progressed_at: Timestamp::ORIGIN,
            most_fetches: 0,
        }
    }

    /// The store after a restart: no fetch runs.
    pub(super) fn restarted(&self) -> Self {
        Self { most_fetches: self.most_fetches, ..Self::new(self.size) }
    }

    /// The most fetches that ran at once.
    pub(super) fn most_fetches(&self) -> usize {
        self.most_fetches
    }

    fn bytes_per_second(&self) -> f64 {
        let share = self.size.store_bytes_per_second / self.fetches.len().max(1) as f64;
        share.min(self.size.link_bytes_per_second)
    }

    fn progress(&mut self, now: Timestamp) {
        let bytes = self.bytes_per_second() * now.saturating_since(self.progressed_at).as_secs_f64();
        self.progressed_at = now;
        for fetch in self.fetches.values_mut() {
            fetch.remaining_bytes -= bytes;
        }
    }
}

impl Process for WeightStore {
    type Message = Message;

    fn receive(&mut self, now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        let Message::Fetch { number } = message else { return };
        self.progress(now);
        if self.completed.get(&from).is_some_and(|completed| number <= *completed) {
            return outbox.send(from, Message::Fetched { number });
        }
        let is_older = self.fetches.get(&from).is_some_and(|fetch| number <= fetch.number);
        if !is_older {
            self.fetches.insert(from, Fetch { number, remaining_bytes: self.size.weight_bytes });
        }
        self.most_fetches = self.most_fetches.max(self.fetches.len());
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        self.progress(now);
        // Less than a byte is left by rounding.
        let done = |fetch: &Fetch| fetch.remaining_bytes < 1.0;
        self.fetches.iter().filter(|(_, fetch)| done(fetch)).for_each(|(replica, fetch)| {
            self.completed.insert(*replica, fetch.number);
            outbox.send(*replica, Message::Fetched { number: fetch.number });
        });
        self.fetches.retain(|_, fetch| !done(fetch));
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let least = self.fetches.values().map(|fetch| fetch.remaining_bytes).reduce(f64::min)?;
        let seconds = least.max(0.0) / self.bytes_per_second();
        Some(self.progressed_at + Duration::from_secs_f64(seconds) + Duration::from_micros(1))
    }
}
