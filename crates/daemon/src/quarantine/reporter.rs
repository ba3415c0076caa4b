//! Publishes this node's crash reports to all nodes through the platform's metadata store, and applies the
//! reports of other nodes.
//!
//! Reports wait in an outbox until they are written. If the store rejects a write, the report is handed over
//! to a peer. The metadata watch delivers the records of all nodes, including this node's own, which confirms
//! its writes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::ReplicaTable;
use lichenpulley_core::quarantine::Fingerprint;
use lichenpulley_platform::quarantine::{QUARANTINE, QuarantineEntry, QuarantineRecord, write_record};
use lichenpulley_protocol::internal::{KeepReport, KeepResponse, MetadataKind};
use tokio::time::{Instant, MissedTickBehavior};

use super::handle::{MAX_OUTBOX_REPORTS, lock};
use super::records::QuarantineRecords;
use crate::configuration::platform::WriteError;
use crate::context::Context;
use crate::duties::wall_time;
use crate::metadata::client::MetadataClient;
use crate::metadata::peers;
use lichenpulley_core::time::whole_millis;

/// Interval between polls of the crash monitor while there is something to report.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time within which a working metadata watch returns a record that this node wrote.
const OWN_RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for handing over a report to a peer.
const REPORT_HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which each node renews the records of repeated requests, and one node removes expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Time after the last occurrence of its requests at which a record expires.
const RECORD_RETENTION: Duration = Duration::from_secs(3_600);
/// Minimum interval between renewals of a record.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(600);
/// Maximum number of records in the store. The oldest are removed.
const MAX_RECORDS: usize = 512;

/// Spawns the reporter, which runs until the node has stopped.
pub fn start(context: &Context, client: MetadataClient) {
    let reporter = Reporter {
        context: Arc::clone(context),
        client,
        replicas: Arc::default(),
        records: Arc::default(),
        outbox: VecDeque::new(),
        unconfirmed: None,
        report_count: 0,
    };
    let stopped = context.stopped.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => {}
            () = reporter.run() => {}
        }
    });
}

struct Reporter {
    context: Context,
    client: MetadataClient,
    /// The replicas that the crash monitor was last updated from.
    replicas: Arc<ReplicaTable>,
    records: Arc<QuarantineRecords>,
    /// Reports with their record names. A write with an unknown result is repeated under the same name.
    outbox: VecDeque<KeepReport>,
    /// Name and write time of the last record written by this node that its watch has not returned yet.
    unconfirmed: Option<(String, Instant)>,
    /// Number of reports created by this node, used in their names.
    report_count: u64,
}

impl Reporter {
    async fn run(mut self) {
        let context = Arc::clone(&self.context);
        let mut metadata = context.metadata.watch();
        let mut sweeps = tokio::time::interval_at(Instant::now() + SWEEP_INTERVAL, SWEEP_INTERVAL);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.update_from_metadata();
            self.collect_reports();
            while self.write_next().await {}
            self.check_own_record();
            let is_written = self.outbox.is_empty() && self.unconfirmed.is_none();
            let is_idle = is_written && lock(&context.quarantine.monitor).is_idle();
            tokio::select! {
                Ok(()) = metadata.changed() => {}
                () = context.quarantine.changed.notified() => {}
                () = tokio::time::sleep(REPORT_POLL_INTERVAL), if !is_idle => {}
                _ = sweeps.tick() => self.sweep().await,
            }
        }
    }

    /// Updates the crash monitor from the replicas and records if they have changed.
    fn update_from_metadata(&mut self) {
        let metadata = &self.context.metadata;
        let replicas = metadata.replicas.load_full();
        if !Arc::ptr_eq(&replicas, &self.replicas) {
            self.replicas = Arc::clone(&replicas);
            let quarantine = &self.context.quarantine;
            quarantine.update(&self.context, |monitor, now| monitor.set_replicas(&replicas, now));
        }
        let records = metadata.quarantine.load_full();
        if !Arc::ptr_eq(&records, &self.records) {
            self.records = Arc::clone(&records);
            self.context.quarantine.update(&self.context, |monitor, now| {
                monitor.set_reports(records.reports(), now);
                true
            });
        }
    }

    fn collect_reports(&mut self) {
        let quarantine = &self.context.quarantine;
        quarantine.update(&self.context, |monitor, now| monitor.expire(now));
        let due = lock(&quarantine.monitor).due_reports(quarantine.now());
        for report in due {
            self.report_count += 1;
            // The time keeps names unique across restarts of the node.
            let name =
                format!("{}-{}-{}-{}", report.replica, self.context.node, wall_time().0, self.report_count);
            self.outbox.push_back(KeepReport { name, report });
        }
        self.outbox.extend(quarantine.take_handed_over());
        while self.outbox.len() > MAX_OUTBOX_REPORTS {
            self.outbox.pop_front();
            log::warn!(
                target: "quarantine",
                "Dropped the oldest replica crash report: more than {MAX_OUTBOX_REPORTS} wait to be written to the metadata store."
            );
        }
    }

    /// Checks that the metadata watch returned the record that this node wrote last. If it didn't in time,
    /// the watch is stalled, and possibly those of other nodes too. A relist then reads the record and
    /// announces it to all nodes.
    fn check_own_record(&mut self) {
        let Some((name, written_at)) = &self.unconfirmed else { return };
        if self.records.contains(name) {
            self.unconfirmed = None;
        } else if written_at.elapsed() >= OWN_RECORD_TIMEOUT {
            log::info!(
                target: "quarantine",
                "The watch has not returned record {name}; listing all records again."
            );
            self.unconfirmed = None;
            self.context.metadata.request_relist(MetadataKind::Quarantine);
        }
    }

    /// Writes the next report; returns whether another may follow at once.
    async fn write_next(&mut self) -> bool {
        let Some(KeepReport { name, report }) = self.outbox.front() else { return false };
        let entry = QuarantineEntry::Crash(report.clone());
        let spec = write_record(&QuarantineRecord { entry, seen_ms: wall_time().0 });
        match self.client.write(QUARANTINE, name, None, spec).await {
            // A conflict means that an earlier write succeeded although its response was lost.
            Ok(()) | Err(WriteError::Conflict { .. }) => {
                log::info!(
                    target: "quarantine",
                    "Reported the crash of replica {}: {} requests are suspected, {} are cleared.",
                    report.replica, report.suspects.len(), report.cleared.len()
                );
                self.unconfirmed = Some((name.clone(), Instant::now()));
                self.outbox.pop_front();
                true
            }
            Err(error) => {
                log::warn!(
                    target: "quarantine",
                    "Failed to report the crash of replica {}, retrying: {error}.",
                    report.replica
                );
                self.hand_over_next().await;
                false
            }
        }
    }

    /// Hands over the next report to a random peer, since the store may be reachable from there.
    async fn hand_over_next(&mut self) {
        let Some(next) = self.outbox.front().cloned() else { return };
        let Some(peer) = peers::random_member(&self.context) else {
            return tokio::time::sleep(WRITE_RETRY_PAUSE).await;
        };
        let answered =
            self.context.peers.keep_report(peer.peer_address, next, REPORT_HAND_OVER_TIMEOUT).await;
        if matches!(answered, Ok(KeepResponse::Taken)) {
            log::info!(target: "quarantine", "Handed over a replica crash report to node {}.", peer.node);
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
        for name in self.records.removable(before_ms, MAX_RECORDS) {
            // A later sweep retries failed removals.
            if let Err(error) = self.client.delete(QUARANTINE, &name).await {
                log::debug!(target: "quarantine", "Failed to remove record {name}: {error}.");
            }
        }
    }

    /// Renews the records of quarantined requests that were received again.
    async fn renew(&self) {
        let now_ms = wall_time().0;
        let before_ms = now_ms.saturating_sub(whole_millis(RENEWAL_INTERVAL));
        for fingerprint in self.context.quarantine.take_repeated() {
            for (name, record) in self.records.stale_records(&fingerprint, before_ms) {
                let spec = write_record(&QuarantineRecord { seen_ms: now_ms, ..record.clone() });
                if let Err(error) = self.client.replace(QUARANTINE, name, spec).await {
                    log::debug!(target: "quarantine", "Failed to renew record {name}: {error}.");
                }
            }
        }
    }

    /// Whether this node is the one that removes expired records. Concurrent removal by two nodes is
    /// harmless.
    fn is_first_gateway(&self) -> bool {
        let cluster = self.context.cluster.load();
        let gateways = cluster.members.iter().filter(|member| member.roles.gateway);
        gateways.map(|member| &member.node).min() == Some(&self.context.node)
    }
}

/// Tries to claim the trial of a quarantined request. Of all nodes, only the one that creates the trial
/// record gets it. Returns whether this node did.
pub(crate) async fn begin_trial(context: &Context, fingerprint: Fingerprint) -> bool {
    let Some(client) = MetadataClient::from_settings(&context.settings) else { return false };
    let record = QuarantineRecord { entry: QuarantineEntry::Trial(fingerprint), seen_ms: wall_time().0 };
    // On an error the request stays quarantined: another node has claimed the trial, or the result is
    // unknown. If only the response was lost, the record exists and no node makes the trial.
    client.write(QUARANTINE, &format!("trial-{fingerprint}"), None, write_record(&record)).await.is_ok()
}
