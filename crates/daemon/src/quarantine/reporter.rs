//! Reports to all nodes what this one observed, through the platform's metadata store, and takes their
//! reports.
//!
//! Owns the reports that wait to be written. A node that the store turns away hands them to a peer. Relies on
//! the watch of the metadata for the records of other nodes and for its own, by which it sees that they were
//! written.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::ReplicaTable;
use lichenpulley_core::quarantine::Fingerprint;
use lichenpulley_platform::quarantine::{QUARANTINE, QuarantineEntry, QuarantineRecord, write_record};
use lichenpulley_protocol::internal::{KeepReport, KeepResponse, MetadataKind};
use tokio::time::{Instant, MissedTickBehavior};

use super::handle::{OUTBOX_LIMIT, lock};
use super::records::QuarantineRecords;
use crate::configuration::platform::WriteError;
use crate::context::Context;
use crate::duties::wall_time;
use crate::metadata::client::MetadataClient;
use crate::metadata::peers;
use lichenpulley_core::time::whole_millis;

/// The pause between two polls of the watch while something is to be reported. Adds to the time until other
/// nodes know of a crash.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a report could not be written. Shorter burdens a store that is failing.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// A watch that works brings what was written well within this time: some pauses between two watches. Shorter
/// lists the records anew for nothing, longer leaves nodes without a report while their watches are stuck.
const OWN_RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may take to answer whether it writes a report.
const REPORT_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often one node removes records that are over, and each renews those of requests that came again.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// A record is over this time after one of its requests last came. Shorter frees a guilty request that comes
/// seldom.
const RECORD_RETENTION: Duration = Duration::from_secs(3_600);
/// A quarantined request that comes again renews its records once in this time.
const RENEW_AFTER: Duration = Duration::from_secs(600);
/// The most records that are kept, some hundred bytes each; the oldest are removed.
const RECORD_LIMIT: usize = 512;

/// Spreads until the node has stopped.
pub fn start(context: &Context, client: MetadataClient) {
    let spreader = Spreader {
        context: Arc::clone(context),
        client,
        replicas: Arc::default(),
        records: Arc::default(),
        outbox: VecDeque::new(),
        unread: None,
        reported: 0,
    };
    let stopped = context.stopped.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => {}
            () = spreader.run() => {}
        }
    });
}

struct Spreader {
    context: Context,
    client: MetadataClient,
    /// The replicas that the watch was given last.
    replicas: Arc<ReplicaTable>,
    records: Arc<QuarantineRecords>,
    /// Reports under the names that they get: one whose answer was lost is written again under the same.
    outbox: VecDeque<KeepReport>,
    /// A record that this node wrote last and has not read yet, and since when.
    unread: Option<(String, Instant)>,
    /// Reports that this node has made, for their names.
    reported: u64,
}

impl Spreader {
    async fn run(mut self) {
        let context = Arc::clone(&self.context);
        let mut metadata = context.metadata.watch();
        let mut sweeps = tokio::time::interval_at(Instant::now() + SWEEP_INTERVAL, SWEEP_INTERVAL);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.take_metadata();
            self.collect();
            while self.write_next().await {}
            self.watch_own();
            let is_written = self.outbox.is_empty() && self.unread.is_none();
            let is_idle = is_written && lock(&context.quarantine.watch).is_idle();
            tokio::select! {
                Ok(()) = metadata.changed() => {}
                () = context.quarantine.changed.notified() => {}
                () = tokio::time::sleep(REPORT_POLL_INTERVAL), if !is_idle => {}
                _ = sweeps.tick() => self.sweep().await,
            }
        }
    }

    /// Takes the lists of replicas and records where they are others than before.
    fn take_metadata(&mut self) {
        let metadata = &self.context.metadata;
        let replicas = metadata.replicas.load_full();
        if !Arc::ptr_eq(&replicas, &self.replicas) {
            self.replicas = Arc::clone(&replicas);
            let quarantine = &self.context.quarantine;
            quarantine.update(&self.context, |watch, now| watch.set_replicas(&replicas, now));
        }
        let records = metadata.quarantine.load_full();
        if !Arc::ptr_eq(&records, &self.records) {
            self.records = Arc::clone(&records);
            self.context.quarantine.update(&self.context, |watch, now| {
                watch.set_reports(records.reports(), now);
                true
            });
        }
    }

    fn collect(&mut self) {
        let quarantine = &self.context.quarantine;
        quarantine.update(&self.context, |watch, now| watch.expire(now));
        let due = lock(&quarantine.watch).due_reports(quarantine.now());
        for report in due {
            self.reported += 1;
            // The time keeps the names apart that a node gives before and after its restart.
            let name =
                format!("{}-{}-{}-{}", report.replica, self.context.node, wall_time().0, self.reported);
            self.outbox.push_back(KeepReport { name, report });
        }
        self.outbox.extend(quarantine.take_handed_over());
        while self.outbox.len() > OUTBOX_LIMIT {
            self.outbox.pop_front();
            log::warn!(target: "quarantine", "A report of a replica that ended is dropped: {OUTBOX_LIMIT} wait for the platform's store.");
        }
    }

    /// What this node wrote comes back by its watch. Where it does not, the watch is stuck, and perhaps those
    /// of all nodes, as when their connections fell silent together: listed anew, it is announced to them.
    fn watch_own(&mut self) {
        let Some((name, written_at)) = &self.unread else { return };
        if self.records.contains(name) {
            self.unread = None;
        } else if written_at.elapsed() >= OWN_RECORD_TIMEOUT {
            log::info!(target: "quarantine", "Record {name} does not come back: the records are listed anew.");
            self.unread = None;
            self.context.metadata.request_relist(MetadataKind::Quarantine);
        }
    }

    /// Writes the next report; returns whether another may follow at once.
    async fn write_next(&mut self) -> bool {
        let Some(KeepReport { name, report }) = self.outbox.front() else { return false };
        let entry = QuarantineEntry::Crash(report.clone());
        let spec = write_record(&QuarantineRecord { entry, seen_ms: wall_time().0 });
        match self.client.write(QUARANTINE, name, None, spec).await {
            // A conflict: it was written when the answer to it was lost.
            Ok(()) | Err(WriteError::Conflict { .. }) => {
                log::info!(
                    target: "quarantine",
                    "Replica {} ended: {} requests that ran there are told, {} are cleared.",
                    report.replica, report.suspects.len(), report.cleared.len()
                );
                self.unread = Some((name.clone(), Instant::now()));
                self.outbox.pop_front();
                true
            }
            Err(error) => {
                log::warn!(target: "quarantine", "The end of {} can't be told yet: {error}.", report.replica);
                self.hand_over_next().await;
                false
            }
        }
    }

    /// Asks a peer to write in this node's place: the store may turn away this node alone.
    async fn hand_over_next(&mut self) {
        let Some(next) = self.outbox.front().cloned() else { return };
        let Some(peer) = peers::random_member(&self.context) else {
            return tokio::time::sleep(WRITE_RETRY_PAUSE).await;
        };
        let answered =
            self.context.peers.keep_report(peer.peer_address, next, REPORT_HAND_OVER_TIMEOUT).await;
        if matches!(answered, Ok(KeepResponse::Taken)) {
            log::info!(target: "quarantine", "{} tells of an ended replica in this node's place.", peer.node);
            self.outbox.pop_front();
        } else {
            tokio::time::sleep(WRITE_RETRY_PAUSE).await;
        }
    }

    async fn sweep(&self) {
        self.renew().await;
        if !self.is_first_gateway() {
            return;
        }
        let before_ms = wall_time().0.saturating_sub(whole_millis(RECORD_RETENTION));
        for name in self.records.superfluous(before_ms, RECORD_LIMIT) {
            // A record that could not be removed now is removed by a later sweep.
            if let Err(error) = self.client.delete(QUARANTINE, &name).await {
                log::debug!(target: "quarantine", "Record {name} can't be removed: {error}.");
            }
        }
    }

    /// Renews the records of quarantined requests that came again.
    async fn renew(&self) {
        let now_ms = wall_time().0;
        let before_ms = now_ms.saturating_sub(whole_millis(RENEW_AFTER));
        for fingerprint in self.context.quarantine.take_repeated() {
            for (name, record) in self.records.stale_of(&fingerprint, before_ms) {
                let spec = write_record(&QuarantineRecord { seen_ms: now_ms, ..record.clone() });
                if let Err(error) = self.client.replace(QUARANTINE, name, spec).await {
                    log::debug!(target: "quarantine", "Record {name} can't be renewed: {error}.");
                }
            }
        }
    }

    /// Whether this node removes records that are over; no harm is done where two nodes do.
    fn is_first_gateway(&self) -> bool {
        let cluster = self.context.cluster.load();
        let gateways = cluster.members.iter().filter(|member| member.roles.gateway);
        gateways.map(|member| &member.node).min() == Some(&self.context.node)
    }
}

/// Asks to let a held request through once: of all nodes, the one whose record is the first.
pub(crate) async fn begin_trial(context: &Context, fingerprint: Fingerprint) -> bool {
    let Some(client) = MetadataClient::from_settings(&context.settings) else { return false };
    let record = QuarantineRecord { entry: QuarantineEntry::Trial(fingerprint), seen_ms: wall_time().0 };
    // An error says that another node has the trial, or that nobody knows who has: the request then stays
    // quarantined. Where the answer is lost the record stands, and no node makes the trial.
    client.write(QUARANTINE, &format!("trial-{fingerprint}"), None, write_record(&record)).await.is_ok()
}
