//! The owner's side of the stores that keep its log: writes, the confirmation of its authority, the
//! replacement of members, and the suspicion that it is cut off.
//!
//! Owns the log's writer and the keeper of its replica set. Relies on `core::batch::cut_off` for when to ask
//! the stores and when to leave.

use std::time::Duration;

use lichenpulley_core::batch::cut_off::{self, CutOffMonitor, CutOffStep, ProbeResult};
use lichenpulley_core::batch::record::Record;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::batch::candidate;
use crate::batch::keeper::StoreKeeper;
use crate::boot_clock::{BootClock, BootInstant};
use crate::ownership::scope::Scope;
use crate::store::log_writer::{AppendMode, LogWriter, RecordFormat};
use crate::store::shard_log::ShardLog;

/// What was read under a confirmation may be shown for this long. A later owner began after it as a rule: others
/// wait for a second of silence (`batch.takeover_after_ms`) and then for the promises of the stores. Two that
/// waited for the same owner may follow each other sooner, so that what this one lacks proves nothing.
pub(in crate::batch) const CONFIRMED_FOR: Duration = Duration::from_millis(600);

/// How records of batch jobs become bytes of the log.
const RECORD_FORMAT: RecordFormat<Record> = RecordFormat { part: "batch", encode };

/// A record that can't be written is left out; those beside it in the append are kept.
fn encode(record: Record) -> Option<Vec<u8>> {
    match record.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            ::log::error!(target: "batch", "A record can't be written: {error}.");
            None
        }
    }
}

/// The stores, as the owner deals with them.
pub(super) struct OwnedStores {
    scope: Scope,
    /// Writes to the log.
    pub(super) log: LogWriter<Record>,
    /// Says which member to replace.
    pub(super) keeper: StoreKeeper,
    /// Counts the time in which the machine is suspended: others take over meanwhile.
    clock: BootClock,
    /// When the last append that is known to be decided was begun.
    confirmed_at: BootInstant,
    cut_off: CutOffMonitor,
    probe_sender: mpsc::UnboundedSender<ProbeResult>,
    /// Replies to the question whether any store can be reached.
    pub(super) probe_results: mpsc::UnboundedReceiver<ProbeResult>,
}

impl OwnedStores {
    /// The stores of a log that has just been taken over, which confirms the authority. The log holds
    /// `held_bytes` bytes.
    pub(super) fn new(scope: Scope, log: ShardLog, held_bytes: usize) -> Self {
        let (probe_sender, probe_results) = mpsc::unbounded_channel();
        let clock = scope.context.boot_clock.clone();
        Self {
            keeper: StoreKeeper::start(scope.clone(), log.set().clone()),
            log: LogWriter::start(log, RECORD_FORMAT, AppendMode::Gathered, held_bytes, clock.clone()),
            scope,
            confirmed_at: clock.now(),
            clock,
            cut_off: CutOffMonitor::default(),
            probe_sender,
            probe_results,
        }
    }

    /// The clock by which the authority is confirmed.
    pub(super) const fn clock(&self) -> &BootClock {
        &self.clock
    }

    /// When the last append that is known to be decided was begun.
    pub(super) const fn confirmed_at(&self) -> BootInstant {
        self.confirmed_at
    }

    /// Invariant: nothing is shown, started or ordered on an authority that was not confirmed lately.
    pub(super) fn is_confirmed(&self) -> bool {
        self.clock.since(self.confirmed_at) < CONFIRMED_FOR
    }

    /// An append that was begun at `began` is decided.
    pub(super) fn confirm(&mut self, began: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(began);
    }

    /// Asks all stores whether any can be reached, where none has answered for too long.
    pub(super) fn probe_if_silent(&mut self) {
        let unconfirmed_for = self.clock.since(self.confirmed_at);
        let is_silent = cut_off::is_silent(unconfirmed_for, self.log.silent_for());
        if self.cut_off.poll(is_silent) != CutOffStep::Probe {
            return;
        }
        let (scope, probe_results) = (self.scope.clone(), self.probe_sender.clone());
        tokio::spawn(async move {
            let began = Instant::now();
            let answered = candidate::ask_stores(&scope).await.answered();
            let reply = ProbeResult { answered, took: began.elapsed(), timeout: candidate::STORE_TIMEOUT };
            // An error only says that the owner has ended.
            let _ = probe_results.send(reply);
        });
    }

    /// Whether the stores' reply says that this owner is cut off from them.
    pub(super) fn is_cut_off_by(&mut self, reply: ProbeResult) -> bool {
        self.cut_off.probe_ended(reply) == CutOffStep::Leave
    }
}
