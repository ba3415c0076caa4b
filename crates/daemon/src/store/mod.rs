//! Keeps replicas of logs and claims on disk, and gives owners a log kept by a majority.
//!
//! - [`Store`] answers for this node's replicas; its thread owns the disk.
//! - [`shard_log`] and [`claims`] are used by owners and gateways; they need no store role.
//! - [`replica_sets`] finds the store replicas of a shard.

pub mod claims;
mod disk;
pub mod error;
pub(crate) mod exchange;
pub mod last_answer;
mod leaders;
pub(crate) mod log_writer;
mod metrics;
pub mod placement;
pub mod reconfiguration;
mod record;
mod repair;
mod replacement;
pub mod replica_set_cache;
pub mod replica_sets;
pub mod shard_log;
mod thread;
mod transaction;
mod worker;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::batch::outline;
use lichenpulley_core::replication::acceptor::Acceptor;
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::message::ReplicaAnswer;
use lichenpulley_core::replication::replica_set::{ReplicaSet, StoreId};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use prometheus::Registry;
use tokio::sync::{mpsc, oneshot};

use crate::context::Context;
use disk::Disk;
pub use error::StoreError;
use metrics::StoreMetrics;
use thread::StoreThread;
use worker::{Done, Job, Work, Worker};

/// Time above the timeout of a call before its request is sent again, so that it is not sent while the call still runs.
/// Chosen, not measured: any small time does; a long one delays the next try by as much.
const RETRANSMIT_MARGIN: Duration = Duration::from_millis(50);

/// Requests that wait for the store's thread before callers are made to wait. Chosen, not measured: it
/// bounds memory; with fewer, callers wait before a batch is full.
const QUEUE_LIMIT: usize = 1_024;

/// This node's store. Cheap to clone.
#[derive(Clone)]
pub struct Store {
    id: StoreId,
    jobs: mpsc::Sender<Job>,
    metrics: StoreMetrics,
    /// After `jobs`, so that the last clone closes the queue before it waits for the thread.
    _thread: Arc<StoreThread>,
}

/// Opens the store in a folder and begins to serve.
///
/// # Errors
/// When the folder is not usable, not ours, in use or damaged; each names its remedy.
pub fn start(context: Context, data_folder: &Path) -> Result<Store, StoreError> {
    let settings = &context.settings.store;
    let window = settings.claim_window.clone();
    let store = Store::open(data_folder, settings.capacity_bytes, window, context.metrics.registry())?;
    log::info!(target: "store", "Store {} is open in {}.", store.id, data_folder.display());
    repair::spawn(context, store.clone());
    Ok(store)
}

impl Store {
    /// Opens the store in a folder and starts its thread; `capacity_bytes` bounds what entries and claims may fill.
    ///
    /// # Errors
    /// When the folder is not usable, not ours, in use or damaged; each names its remedy.
    pub fn open(
        data_folder: &Path,
        capacity_bytes: u64,
        window: ClaimWindow,
        registry: &Registry,
    ) -> Result<Self, StoreError> {
        let metrics = StoreMetrics::new(registry).map_err(|error| StoreError::Damaged {
            folder: data_folder.to_owned(),
            reason: error.to_string(),
        })?;
        window.validate()?;
        let disk = Disk::open(data_folder, capacity_bytes)?;
        let id = disk.store().clone();
        let acceptor = Acceptor::new(id.clone(), window);
        let (jobs, receiver) = mpsc::channel(QUEUE_LIMIT);
        let worker = Worker::new(disk, acceptor, metrics.clone());
        let thread = StoreThread::start(move || worker.run(receiver))?;
        Ok(Self { id, jobs, metrics, _thread: Arc::new(thread) })
    }

    /// The store's id: new whenever it finds its folder empty.
    pub fn id(&self) -> &StoreId {
        &self.id
    }

    /// Transactions synced to the disk so far.
    pub fn syncs(&self) -> u64 {
        self.metrics.syncs()
    }

    /// Answers a peer. What the answer speaks of is on disk.
    pub async fn answer(&self, request: StoreRequest) -> StoreResponse {
        let is_outline = matches!(request, StoreRequest::Outline(_));
        let work = match request {
            StoreRequest::Probe => return StoreResponse::Ready,
            StoreRequest::Identity => return StoreResponse::Identity(self.id.clone()),
            StoreRequest::KnownSet(shard) => Work::KnownSet(shard),
            StoreRequest::Leadership(shard) => Work::Leadership(shard),
            StoreRequest::LeaderAlive { shard, ballot } => Work::LeaderAlive { shard, ballot },
            StoreRequest::Replica(request) | StoreRequest::Outline(request) => Work::Replica(request),
        };
        match self.work(work).await {
            Done::Response(StoreResponse::Replica(mut response)) if is_outline => {
                if let ReplicaAnswer::Decided { entries, .. } = &mut response.outcome {
                    outline::outline_entries(entries);
                }
                StoreResponse::Replica(response)
            }
            Done::Response(response) => response,
            _ => StoreResponse::Unavailable,
        }
    }

    /// The replica set of each shard that the store has a part in; empty where the disk can't be read.
    pub async fn replica_sets(&self) -> Vec<ReplicaSet> {
        match self.work(Work::Groups).await {
            Done::Groups(groups) => groups.into_iter().map(|group| group.set).collect(),
            _ => Vec::new(),
        }
    }

    async fn work(&self, work: Work) -> Done {
        let (reply, result) = oneshot::channel();
        if self.jobs.send(Job { work, reply }).await.is_err() {
            return Done::Failed;
        }
        result.await.unwrap_or(Done::Failed)
    }
}
