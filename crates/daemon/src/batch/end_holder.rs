//! Delivers ends of jobs to the shards' owners, independently of the callers that requested them.
//!
//! An end is stored here before the owner is first asked, and copied to other nodes at once, so that it
//! survives its caller's connection, an owner that fails before the end is committed, and this node. One that
//! is not committed soon is copied to stores too, which write it to disk. Every holder renews the copies.
//! `core::batch::pending_ends` decides when the owner is asked and when copies are sent.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use lichenpulley_core::batch::pending_ends::{EndAnswer, EndKey, EndSource, PendingEnds, SettledEnd};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{BatchId, ShardId};
use lichenpulley_core::time::{Timestamp, whole_millis};
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse, HoldEnd};
use lichenpulley_protocol::operator::PendingEndStatus;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::BatchJobs;
use super::end_file::EndFile;
use crate::cluster::{Member, Roles, rendezvous_weight};
use crate::context::Context;

/// Number of other gateways that get a copy of an end; with this node's own, two nodes may be lost.
pub(super) const GATEWAY_COPIES: usize = 2;
/// Age from which a pending end is copied to stores. Most ends are committed before.
const STORE_COPY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of one request to another node to hold an end.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of sending an end to its owner, which answers once the end is committed. As long as the search for the owner
/// and its answer may take; an owner on this node has no other limit.
const ASK_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a caller waits for the owner's answer; longer than the search for the owner. The end stays
/// pending afterwards.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The pending ends of a node. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub(crate) struct EndHolder {
    context: Context,
    held: Arc<Mutex<HeldEnds>>,
    changed: Arc<Notify>,
    origin: Instant,
    /// Where a store keeps its ends; locked while it is written.
    file: Option<Arc<tokio::sync::Mutex<EndFile>>>,
}

#[derive(Default)]
struct HeldEnds {
    ends: PendingEnds,
    /// Callers that wait for the owner's answer, by end.
    waiting: BTreeMap<EndKey, Vec<oneshot::Sender<BatchResponse>>>,
}

impl EndHolder {
    pub(super) fn new(context: &Context) -> Self {
        let (context, origin) = (Arc::clone(context), Instant::now());
        let folder = context.settings.data_folder.as_deref().filter(|_| context.settings.roles.store);
        let mut file = folder.map(EndFile::in_folder);
        let kept = file.as_mut().map_or(Ok(Vec::new()), |file| file.read().map(<[HoldEnd]>::to_vec));
        let file = file.map(|file| Arc::new(tokio::sync::Mutex::new(file)));
        let holder = Self { context, held: Arc::default(), changed: Arc::default(), origin, file };
        match kept {
            Ok(kept) => kept.into_iter().for_each(|end| holder.hold(key_of(end), EndSource::Peer)),
            Err(error) => {
                ::log::error!(target: "batch", "Failed to read the pending ends of jobs: {error}. Jobs that were ended may go on; end them again.");
            }
        }
        holder
    }

    /// Holds an end that a caller requests, and returns a future that waits for the owner's answer. The end
    /// stays pending if the future is dropped.
    pub(crate) fn end(&self, key: EndKey) -> impl Future<Output = BatchResponse> + use<> {
        let (reply, answer) = oneshot::channel();
        {
            let mut held = self.lock();
            let waiting = held.waiting.entry(key.clone()).or_default();
            waiting.retain(|earlier| !earlier.is_closed());
            waiting.push(reply);
        }
        self.hold(key, EndSource::Caller);
        async move {
            let answered = tokio::time::timeout(CALLER_TIMEOUT, answer).await;
            // Without an answer in time the end stays pending, and the caller may ask again.
            answered.ok().and_then(Result::ok).unwrap_or(BatchResponse::Unavailable)
        }
    }

    /// Holds the copy of an end that another node sent. On a store, it is on disk when this returns.
    pub(crate) async fn hold_copy(&self, request: HoldEnd) {
        self.hold(key_of(request.clone()), EndSource::Peer);
        if let Err(error) = self.write(&request).await {
            ::log::warn!(target: "batch", "Failed to write the end of job {}: {error}; check the disk. The end is lost if this store fails.", request.batch);
        }
    }

    /// Writes an end to the file, together with all others that are pending, if this node is a store.
    async fn write(&self, end: &HoldEnd) -> io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let mut file = Arc::clone(file).lock_owned().await;
        if file.holds(end) {
            return Ok(());
        }
        let ends = self.pending();
        let written = tokio::task::spawn_blocking(move || file.write(ends));
        written.await.map_err(io::Error::other)?
    }

    /// Returns the ends that this node holds.
    pub(crate) fn pending(&self) -> Vec<HoldEnd> {
        let held = self.lock();
        held.ends.list(self.now()).map(|(key, ..)| hold_request(key)).collect()
    }

    fn hold(&self, key: EndKey, source: EndSource) {
        let displaced = self.lock().ends.hold(self.now(), key, source);
        if let Some(displaced) = displaced {
            self.lock().waiting.remove(&displaced.key);
            self.record_settled(&displaced);
        }
        self.changed.notify_one();
    }

    /// Lists the pending ends for operators.
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

    /// Delivers ends to the owners until the node has stopped.
    pub(super) async fn run(self, jobs: BatchJobs) {
        let stopped = self.context.stopped.clone();
        tokio::select! {
            () = stopped.cancelled() => {}
            () = self.deliver_ends(jobs) => {}
        }
    }

    async fn deliver_ends(&self, jobs: BatchJobs) {
        let mut requests = FuturesUnordered::new();
        let mut copied: FuturesUnordered<BoxFuture<'_, (EndKey, bool)>> = FuturesUnordered::new();
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
                Some((key, response)) = requests.next() => self.handle_answer(&key, response),
                Some((key, is_complete)) = copied.next() => {
                    self.lock().ends.copied(self.now(), &key, is_complete);
                }
                () = wait => {}
            }
            self.context.metrics.set_pending_ends(self.lock().ends.count());
        }
    }

    fn take_due(&self) -> (Vec<EndKey>, Vec<EndKey>, Option<Instant>) {
        let now = self.now();
        let mut held = self.lock();
        let due = held.ends.due(now);
        let uncopied = held.ends.copies_due(now);
        let deadline = held.ends.deadline().into_iter().chain(held.ends.copy_deadline()).min();
        let deadline = deadline.map(|at| self.origin + at.saturating_since(Timestamp::ORIGIN));
        (due, uncopied, deadline)
    }

    fn handle_answer(&self, key: &EndKey, response: BatchResponse) {
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
            // Sending fails only if the caller no longer waits.
            let _ = reply.send(response.clone());
        }
        if let Some(settled) = settled {
            self.record_settled(&settled);
        }
    }

    /// Records why an end is no longer pending.
    fn record_settled(&self, settled: &SettledEnd) {
        let decision =
            Decision::new(Component::Rollout, "end_settled", settled.outcome.as_str(), &settled.key.batch);
        let decision = decision.with("held_ms", settled.held_for.as_millis());
        self.context.decisions.record(decision.with("questions", settled.attempts));
    }

    /// Copies an end to other nodes; returns whether enough of them hold it.
    async fn copy_to_peers(&self, key: EndKey) -> (EndKey, bool) {
        let to_gateways =
            self.copy_to_some(self.copy_holders(&key, |roles| roles.gateway), GATEWAY_COPIES, &key);
        let (at_gateways, at_stores) = tokio::join!(to_gateways, self.copy_to_stores(&key));
        (key, at_gateways && at_stores)
    }

    /// Copies an end that stays pending to so many stores that one is left after the tolerated losses.
    async fn copy_to_stores(&self, key: &EndKey) -> bool {
        tokio::time::sleep(STORE_COPY_DELAY).await;
        if !self.lock().ends.holds(key) {
            return true;
        }
        let copies = self.context.settings.store.set_size.members() / 2 + 1;
        self.copy_to_some(self.copy_holders(key, |roles| roles.store), copies, key).await
    }

    /// Copies an end to the first of these nodes that answer; returns whether `wanted` of them hold it.
    async fn copy_to_some(&self, others: Vec<Arc<Member>>, wanted: usize, key: &EndKey) -> bool {
        let mut copies = 0;
        let mut others = others.into_iter();
        while copies < wanted {
            let next: Vec<Arc<Member>> = others.by_ref().take(wanted - copies).collect();
            if next.is_empty() {
                return false;
            }
            let calls = next.iter().map(|member| self.copy_to(member, key));
            copies += futures::future::join_all(calls).await.into_iter().filter(|is_held| *is_held).count();
        }
        true
    }

    async fn copy_to(&self, member: &Member, key: &EndKey) -> bool {
        let copied = self.context.peers.hold_end(member.peer_address, hold_request(key), COPY_TIMEOUT).await;
        if let Err(error) = &copied {
            ::log::info!(target: "batch", "Failed to copy the end of job {1} to node {0}: {error}.", member.node, key.batch);
        }
        copied.is_ok()
    }

    /// Returns the other nodes of this region whose roles allow them to hold an end, in an order that depends on
    /// the job.
    fn copy_holders(&self, key: &EndKey, may_hold: fn(&Roles) -> bool) -> Vec<Arc<Member>> {
        let context = &self.context;
        let region = |zone: &str| context.settings.places.zones.region(zone).cloned();
        let own_region = region(context.zone.as_str());
        let cluster = context.cluster.load();
        let others = cluster.members.iter().filter(|member| {
            member.node != context.node
                && may_hold(&member.roles)
                && region(member.zone.as_str()) == own_region
        });
        let mut others: Vec<Arc<Member>> = others.cloned().collect();
        sort_copy_holders(&mut others, &key.batch);
        others
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, HeldEnds> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sorts nodes into the order in which they get copies of a job's end.
pub(super) fn sort_copy_holders(nodes: &mut [Arc<Member>], batch: &BatchId) {
    let order = ShardId::new(batch.as_str());
    nodes.sort_by_cached_key(|member| rendezvous_weight(&member.node, &order));
}

async fn ask(jobs: &BatchJobs, key: EndKey) -> (EndKey, BatchResponse) {
    let request = BatchRequest::End { batch: key.batch.clone(), caller: key.caller.clone() };
    let response = tokio::time::timeout(ASK_TIMEOUT, jobs.ask_about(&key.batch, request)).await;
    // Without an answer in time the end stays pending and is sent again.
    (key, response.unwrap_or(BatchResponse::Unavailable))
}

/// Returns the end that a request names.
pub(super) fn key_of(request: HoldEnd) -> EndKey {
    EndKey { batch: request.batch, caller: request.caller }
}

fn hold_request(key: &EndKey) -> HoldEnd {
    HoldEnd { batch: key.batch.clone(), caller: key.caller.clone() }
}
