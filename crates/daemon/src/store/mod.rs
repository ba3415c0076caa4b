//! Stores replicas of logs and claims on disk, and gives shard owners a replicated log.
//!
//! - [`Store`] answers requests for the replicas of this node. Its thread owns the store file.
//! - [`shard_log`] and [`claims`] are the clients that owners and gateways use; they don't need the store
//!   role.
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
mod volume;
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
use worker::{Job, Work, WorkResult, Worker};

/// Time added to the call timeout before a request is sent again, so that it is not resent while the call is
/// still running.
const RETRANSMIT_MARGIN: Duration = Duration::from_millis(50);

/// Maximum number of requests queued for the store thread; further callers wait.
const QUEUE_LIMIT: usize = 1_024;

/// Handle to the store of this node. Cheap to clone.
#[derive(Clone)]
pub struct Store {
    id: StoreId,
    jobs: mpsc::Sender<Job>,
    metrics: StoreMetrics,
    /// Declared after `jobs`: the last clone must close the queue before it waits for the thread.
    _thread: Arc<StoreThread>,
}

/// Opens the store in a folder and starts its repair task.
///
/// # Errors
/// Returns an error if the folder is unusable, contains other files, is in use or is damaged.
pub fn start(context: Context, data_folder: &Path) -> Result<Store, StoreError> {
    let settings = &context.settings.store;
    let window = settings.claim_window.clone();
    let store = Store::open(data_folder, settings.capacity_bytes, window, context.metrics.registry())?;
    log::info!(target: "store", "Store {} is open in {}.", store.id, data_folder.display());
    repair::spawn(context, store.clone());
    Ok(store)
}

impl Store {
    /// Opens the store in a folder and starts its thread. `capacity_bytes` limits the space for entries and
    /// claims.
    ///
    /// # Errors
    /// Returns an error if the folder is unusable, contains other files, is in use or is damaged.
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

    /// Returns the id of the store. A store that starts in an empty folder generates a new id.
    pub fn id(&self) -> &StoreId {
        &self.id
    }

    /// Returns the number of transactions synced to disk since the start.
    pub fn syncs(&self) -> u64 {
        self.metrics.syncs()
    }

    /// Answers a request of a peer. Everything that the answer confirms is on disk.
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
        match self.submit(work).await {
            WorkResult::Response(StoreResponse::Replica(mut response)) if is_outline => {
                if let ReplicaAnswer::Decided { entries, .. } = &mut response.outcome {
                    outline::outline_entries(entries);
                }
                StoreResponse::Replica(response)
            }
            WorkResult::Response(response) => response,
            _ => StoreResponse::Unavailable,
        }
    }

    /// Returns the replica set of each shard that has a replica here, or an empty list if the disk can't be
    /// read.
    pub async fn replica_sets(&self) -> Vec<ReplicaSet> {
        match self.submit(Work::Groups).await {
            WorkResult::Groups(groups) => groups.into_iter().map(|group| group.set).collect(),
            _ => Vec::new(),
        }
    }

    async fn submit(&self, work: Work) -> WorkResult {
        let (reply, result) = oneshot::channel();
        if self.jobs.send(Job { work, reply }).await.is_err() {
            return WorkResult::Failed;
        }
        result.await.unwrap_or(WorkResult::Failed)
    }
}
