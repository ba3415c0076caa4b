//! Ends of jobs that this node has read, brought to the owner whatever becomes of their callers.
//!
//! An end is held here before it is asked for the first time, and copied to other nodes at once: it outlasts
//! its caller's connection, owners that are lost before they kept it, and the node that read it. Owns the
//! ends that are held here and the callers that wait; relies on `core::batch::pending_ends` for when the owner
//! is asked.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use lichenpulley_core::batch::pending_ends::{EndAnswer, EndKey, EndSource, PendingEnds, SettledEnd};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::ShardId;
use lichenpulley_core::time::{Timestamp, whole_millis};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, HoldEnd};
use lichenpulley_protocol::operator::PendingEndStatus;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::BatchJobs;
use crate::cluster::{Member, rendezvous_weight};
use crate::context::Context;

/// Other nodes that get a copy of an end: with the one that read it, two may be lost. Each further copy is a
/// call between nodes for every end.
const COPIES: usize = 2;
/// How long another node may take to hold an end. Longer delays the copy at a third node.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a caller waits for the owner's answer; the end is held on. Above the 1.5 s for which the owner is
/// searched.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The ends that a node holds. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub(crate) struct EndHolder {
    context: Context,
    held: Arc<Mutex<HeldEnds>>,
    changed: Arc<Notify>,
    origin: Instant,
}

#[derive(Default)]
struct HeldEnds {
    ends: PendingEnds,
    /// Callers that wait for the owner's answer.
    waiting: BTreeMap<EndKey, Vec<oneshot::Sender<BatchResponse>>>,
    /// Ends that other nodes have no copy of yet.
    uncopied: Vec<EndKey>,
}

impl EndHolder {
    pub(super) fn new(context: &Context) -> Self {
        let (context, origin) = (Arc::clone(context), Instant::now());
        Self { context, held: Arc::default(), changed: Arc::default(), origin }
    }

    /// Holds an end that a caller asks for; what is returned waits for the owner's answer. The end is held
    /// also where that is dropped.
    pub(crate) fn end(&self, key: EndKey) -> impl Future<Output = BatchResponse> + use<> {
        let (reply, answer) = oneshot::channel();
        {
            let mut held = self.lock();
            let waiting = held.waiting.entry(key.clone()).or_default();
            waiting.retain(|earlier| !earlier.is_closed());
            waiting.push(reply);
            if !held.ends.holds(&key) {
                held.uncopied.push(key.clone());
            }
        }
        self.hold(key, EndSource::Caller);
        async move {
            let answered = tokio::time::timeout(CALLER_TIMEOUT, answer).await;
            // No answer in time: the end is held on, and the caller may ask again.
            answered.ok().and_then(Result::ok).unwrap_or(BatchResponse::Unavailable)
        }
    }

    /// Holds the copy of an end that another node sent.
    pub(crate) fn hold_copy(&self, request: HoldEnd) {
        self.hold(EndKey { batch: request.batch, caller: request.caller }, EndSource::Peer);
    }

    fn hold(&self, key: EndKey, source: EndSource) {
        let displaced = self.lock().ends.hold(self.now(), key, source);
        if let Some(displaced) = displaced {
            self.lock().waiting.remove(&displaced.key);
            self.settled(&displaced);
        }
        self.changed.notify_one();
    }

    /// The ends that are held, for operators.
    pub(crate) fn list(&self) -> Vec<PendingEndStatus> {
        let now = self.now();
        let held = self.lock();
        let status =
            |(key, source, held_for, questions): (&EndKey, EndSource, Duration, u32)| PendingEndStatus {
                batch: key.batch.to_string(),
                source: source.as_str().to_owned(),
                held_for_ms: whole_millis(held_for),
                questions,
            };
        held.ends.list(now).map(status).collect()
    }

    /// Brings ends to their owners until the node has stopped.
    pub(super) async fn run(self, jobs: BatchJobs) {
        let stopped = self.context.stopped.clone();
        tokio::select! {
            () = stopped.cancelled() => {}
            () = self.deliver_ends(jobs) => {}
        }
    }

    async fn deliver_ends(&self, jobs: BatchJobs) {
        let mut requests = FuturesUnordered::new();
        let mut copied: FuturesUnordered<BoxFuture<'_, (EndKey, usize)>> = FuturesUnordered::new();
        loop {
            let (due, uncopied, deadline) = self.take_due();
            requests.extend(due.into_iter().map(|key| ask(&jobs, key)));
            copied.extend(
                uncopied.into_iter().map(|key| -> BoxFuture<'_, _> { Box::pin(self.copy_to_peers(key)) }),
            );
            let wait = async {
                match deadline {
                    Some(deadline) => tokio::time::sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.changed.notified() => {}
                Some((key, response)) = requests.next() => self.answered(&key, response),
                Some((key, copies)) = copied.next() => self.copy_finished(key, copies),
                () = wait => {}
            }
            self.context.metrics.set_pending_ends(self.lock().ends.count());
        }
    }

    fn take_due(&self) -> (Vec<EndKey>, Vec<EndKey>, Option<Instant>) {
        let now = self.now();
        let mut held = self.lock();
        let due = held.ends.due(now);
        let uncopied = std::mem::take(&mut held.uncopied);
        let deadline = held.ends.deadline();
        let deadline = deadline.map(|at| self.origin + at.saturating_since(Timestamp::ORIGIN));
        (due, uncopied, deadline)
    }

    fn answered(&self, key: &EndKey, response: BatchResponse) {
        let answer = match response {
            BatchResponse::Ended => EndAnswer::Committed,
            BatchResponse::Unknown => EndAnswer::Unknown,
            _ => EndAnswer::Inconclusive,
        };
        let (settled, waiting) = {
            let mut held = self.lock();
            (held.ends.answered(self.now(), key, answer), held.waiting.remove(key))
        };
        for reply in waiting.into_iter().flatten() {
            // A caller that has left is no matter.
            let _ = reply.send(response.clone());
        }
        if let Some(settled) = settled {
            self.settled(&settled);
        }
    }

    /// Tells why an end is not held any more.
    fn settled(&self, settled: &SettledEnd) {
        let decision =
            Decision::new(Component::Rollout, "end_settled", settled.outcome.as_str(), &settled.key.batch);
        let decision = decision.with("held_ms", settled.held_for.as_millis());
        self.context.decisions.record(decision.with("questions", settled.attempts));
    }

    /// An end that too few nodes hold is sent to others again, as long as it is held here.
    fn copy_finished(&self, key: EndKey, copies: usize) {
        let mut held = self.lock();
        if copies < COPIES && held.ends.holds(&key) {
            held.uncopied.push(key);
        }
    }

    /// Tells other nodes of an end; returns how many hold it.
    async fn copy_to_peers(&self, key: EndKey) -> (EndKey, usize) {
        let others = self.others(&key);
        if others.is_empty() {
            // Nobody else is known yet, or ever.
            tokio::time::sleep(COPY_TIMEOUT).await;
            return (key, 0);
        }
        let mut copies = 0;
        let mut others = others.into_iter();
        while copies < COPIES {
            let next: Vec<Member> = others.by_ref().take(COPIES - copies).collect();
            if next.is_empty() {
                break;
            }
            let calls = next.iter().map(|member| self.copy_to(member, &key));
            copies += futures::future::join_all(calls).await.into_iter().filter(|is_held| *is_held).count();
        }
        if copies < COPIES {
            tokio::time::sleep(COPY_TIMEOUT).await;
        }
        (key, copies)
    }

    async fn copy_to(&self, member: &Member, key: &EndKey) -> bool {
        let request = HoldEnd { batch: key.batch.clone(), caller: key.caller.clone() };
        let copied = self.context.peers.hold_end(member.peer_address, request, COPY_TIMEOUT).await;
        if let Err(error) = &copied {
            ::log::info!(target: "batch", "{} was not told of the end of {}: {error}.", member.node, key.batch);
        }
        copied.is_ok()
    }

    /// Other nodes that can hold an end, in an order that differs from job to job: gateways of this region,
    /// whose callers could have asked them as well.
    fn others(&self, key: &EndKey) -> Vec<Member> {
        let context = &self.context;
        let region = |zone: &str| context.settings.places.zones.region(zone).cloned();
        let own_region = region(context.zone.as_str());
        let cluster = context.cluster.load();
        let others = cluster.members.iter().filter(|member| {
            member.node != context.node && member.roles.gateway && region(member.zone.as_str()) == own_region
        });
        let mut others: Vec<Member> = others.cloned().collect();
        let order = ShardId::new(key.batch.as_str());
        others.sort_by_cached_key(|member| rendezvous_weight(&member.node, &order));
        others
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, HeldEnds> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn ask(jobs: &BatchJobs, key: EndKey) -> (EndKey, BatchResponse) {
    let request = BatchRequest::End { batch: key.batch.clone(), caller: key.caller.clone() };
    let response = jobs.ask_about(&key.batch, request).await;
    (key, response)
}
