//! The owner's interface to the stores of its log: appends, confirmation of its authority, replacement of
//! members, and detection that it is cut off.
//!
//! `core::batch::cut_off` decides when to probe the stores and when to leave.

use std::time::Duration;

use lichenpulley_core::batch::cut_off::{self, CutOffMonitor, CutOffStep, ProbeResult};
use lichenpulley_core::batch::record::Record;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::batch::candidate;
use crate::batch::set_maintenance::SetMaintainer;
use crate::boot_clock::{BootClock, BootInstant};
use crate::ownership::scope::Scope;
use crate::store::log_writer::{AppendMode, LogWriter, RecordFormat};
use crate::store::shard_log::ShardLog;

/// How long a confirmation of the owner's authority is valid. Other candidates usually take over only after
/// a second of silence (`batch.takeover_after_ms`) and the promises of the stores, which is longer. Two
/// candidates that waited for the same owner may take over in quicker succession, so a job that is absent
/// here may still exist at a later owner.
pub(in crate::batch) const CONFIRMED_FOR: Duration = Duration::from_millis(600);

/// Encoding of batch-job records in the log.
const RECORD_FORMAT: RecordFormat<Record> = RecordFormat { log_target: "batch", encode, is_refusable };

/// Only new jobs may be refused.
const fn is_refusable(record: &Record) -> bool {
    matches!(record, Record::Accepted(_))
}

/// Encodes a record. One that can't be encoded is left out of its append; the others are appended.
fn encode(record: Record) -> Option<Vec<u8>> {
    match record.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            ::log::error!(target: "batch", "Failed to encode a record of the batch jobs: {error}.");
            None
        }
    }
}

/// Access of an owner to the stores of its log.
pub(super) struct OwnedStores {
    scope: Scope,
    /// Writer of the log.
    pub(super) log: LogWriter<Record>,
    /// Determines which member of the replica set to replace.
    pub(super) maintainer: SetMaintainer,
    /// Includes time in which the machine is suspended, during which others may take over.
    clock: BootClock,
    /// When the last append that is known to be committed began.
    confirmed_at: BootInstant,
    cut_off: CutOffMonitor,
    probe_sender: mpsc::UnboundedSender<ProbeResult>,
    /// Receives results of probes whether any store can be reached.
    pub(super) probe_results: mpsc::UnboundedReceiver<ProbeResult>,
}

impl OwnedStores {
    /// Creates the access to a log that has just been taken over and holds `held_bytes` bytes. The takeover
    /// counts as a confirmation of the authority.
    pub(super) fn new(scope: Scope, log: ShardLog, held_bytes: usize) -> Self {
        let (probe_sender, probe_results) = mpsc::unbounded_channel();
        let clock = scope.context.boot_clock.clone();
        Self {
            maintainer: SetMaintainer::start(scope.clone(), log.set().clone()),
            log: LogWriter::start(log, RECORD_FORMAT, AppendMode::Batched, held_bytes, clock.clone()),
            scope,
            confirmed_at: clock.now(),
            clock,
            cut_off: CutOffMonitor::default(),
            probe_sender,
            probe_results,
        }
    }

    /// Returns the clock that measures the age of confirmations.
    pub(super) const fn clock(&self) -> &BootClock {
        &self.clock
    }

    /// Returns when the last append that is known to be committed began.
    pub(super) const fn confirmed_at(&self) -> BootInstant {
        self.confirmed_at
    }

    /// Returns whether the last confirmation is still valid. Invariant: without a valid confirmation no
    /// result is returned, no run is started and no order is sent.
    pub(super) fn is_confirmed(&self) -> bool {
        self.clock.since(self.confirmed_at) < CONFIRMED_FOR
    }

    /// Records that an append that began at `began` is committed.
    pub(super) fn confirm(&mut self, began: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(began);
    }

    /// Probes all stores if none has answered for too long.
    pub(super) fn probe_if_silent(&mut self) {
        let unconfirmed_for = self.clock.since(self.confirmed_at);
        let is_silent = cut_off::is_silent(unconfirmed_for, self.log.time_since_last_answer());
        if self.cut_off.poll(is_silent) != CutOffStep::Probe {
            return;
        }
        let (scope, probe_results) = (self.scope.clone(), self.probe_sender.clone());
        tokio::spawn(async move {
            let began = Instant::now();
            let answered = candidate::ask_stores(&scope).await.answered();
            let reply = ProbeResult { answered, took: began.elapsed(), timeout: candidate::STORE_TIMEOUT };
            // Sending fails only once the owner has ended.
            let _ = probe_results.send(reply);
        });
    }

    /// Returns whether the result of a probe shows that this owner is cut off from its stores.
    pub(super) fn is_cut_off_by(&mut self, reply: ProbeResult) -> bool {
        self.cut_off.probe_ended(reply) == CutOffStep::Leave
    }
}
