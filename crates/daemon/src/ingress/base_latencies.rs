//! Asks the owner of the batch jobs for the base latencies of the replicas that this gateway uses.
//!
//! The core's `ingress::shared_bases` decides when to ask and how the answer is used. Nothing depends on an answer.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::ingress::shared_bases::{
    MAX_ANSWERED_REPLICAS, MAX_SHARED_REPLICAS, SharingAnswer, SharingSchedule,
};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use tokio::time::MissedTickBehavior;

use super::Ingress;

/// Interval between checks whether a question is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Replicas to ask about: the id and service of each.
type AskedReplicas = Vec<(String, String)>;

/// Asks whenever a question is due, until the node has stopped.
pub(super) async fn run(ingress: Ingress) {
    tokio::select! {
        () = ingress.context.stopped.cancelled() => {}
        () = ask_when_due(&ingress) => {}
    }
}

async fn ask_when_due(ingress: &Ingress) {
    // An owner of an earlier release can't decode the question and closes the connection, which would interrupt other
    // calls. Questions therefore use a connection of their own.
    let mut peers = None;
    let mut schedule = SharingSchedule::new(ingress.now(), &mut rand::rng());
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        ingress.selection().selector.expire_shared_bases(ingress.now());
        let owner = ingress.batch.main_owner();
        if !schedule.is_due(owner.as_ref(), ingress.now()) {
            continue;
        }
        let asked = ingress.replicas_with_pace();
        if asked.is_empty() {
            continue;
        }
        let peers = peers.get_or_insert_with(|| ingress.context.peers.separate());
        let request = BatchRequest::BaseLatencies(asked.iter().map(|(id, _)| id.clone()).collect());
        let answer = match ingress.batch.ask_main_once(peers, request, ANSWER_TIMEOUT).await {
            Some(BatchResponse::BaseLatencies(latencies)) => ingress.record_shared_bases(asked, &latencies),
            Some(_) => SharingAnswer::NotOwner,
            None => SharingAnswer::None,
        };
        ingress.context.metrics.count_shared_base_question(answer.as_str());
        schedule.record(owner.as_ref(), answer, ingress.now(), &mut rand::rng());
    }
}

impl Ingress {
    /// Returns replicas of the services that report a pace, at most [`MAX_SHARED_REPLICAS`] of each. Which of them is
    /// random, so that all are asked about in turn where there are more.
    fn replicas_with_pace(&self) -> AskedReplicas {
        if !self.selection().selector.has_paces() {
            return AskedReplicas::new();
        }
        let replicas = self.context.metadata.replicas.load_full();
        let mut by_service: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for record in replicas.records.values() {
            by_service.entry(&record.service).or_default().push(&record.id);
        }
        {
            let selection = self.selection();
            by_service.retain(|_, ids| selection.selector.reports_pace(ids.iter().copied()));
        }
        let mut asked = AskedReplicas::new();
        for (service, mut ids) in by_service {
            let shift = rand::random::<u64>() as usize % ids.len();
            ids.rotate_left(shift);
            let ids = ids.into_iter().take(MAX_SHARED_REPLICAS);
            asked.extend(ids.map(|id| (id.to_owned(), service.to_owned())));
        }
        asked.truncate(MAX_ANSWERED_REPLICAS);
        asked
    }

    fn record_shared_bases(&self, asked: AskedReplicas, latencies: &[Option<u32>]) -> SharingAnswer {
        let mut by_service: BTreeMap<String, Vec<(String, Duration)>> = BTreeMap::new();
        for ((id, service), latency) in asked.into_iter().zip(latencies) {
            if let Some(latency) = latency {
                let base = Duration::from_micros(u64::from(*latency));
                by_service.entry(service).or_default().push((id, base));
            }
        }
        if by_service.is_empty() {
            return SharingAnswer::Empty;
        }
        let now = self.now();
        let mut selection = self.selection();
        for (service, bases) in by_service {
            selection.selector.record_shared_bases(&service, bases, now);
        }
        SharingAnswer::Some
    }
}
