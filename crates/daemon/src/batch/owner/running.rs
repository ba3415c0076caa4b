//! Runs of items and score requests in progress at replicas.
//!
//! Owns their tasks, which run on the `traffic` runtime, and the channels on which they report. The
//! controller decides which of them to start and stop.

use std::collections::HashMap;

use lichenpulley_core::batch::controller::{RunEvent, RunId, RunStart};
use lichenpulley_core::batch::score_plan::{ScoreId, ScoreStart};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::batch::run;
use crate::batch::score::{self, ScoreEnded};
use crate::boot_clock::BootInstant;
use crate::context::Context;
use crate::ingress::pool::ReplicaPool;

/// Capacity of the channel for run events; connections are not read while it is full.
const RUN_EVENT_BACKLOG: usize = 4_096;

/// Tasks in progress at replicas. Dropping it does not stop them; see [`Self::stop_all`].
pub(super) struct RunningWork {
    context: Context,
    pool: ReplicaPool,
    traffic: Handle,
    runs: HashMap<RunId, AbortHandle>,
    run_sender: mpsc::Sender<(RunId, RunEvent)>,
    /// Receives events of runs; the events of one run arrive in order.
    pub(super) run_events: mpsc::Receiver<(RunId, RunEvent)>,
    scores: HashMap<ScoreId, AbortHandle>,
    score_sender: mpsc::UnboundedSender<ScoreEnded>,
    /// Receives the ends of score requests.
    pub(super) score_ends: mpsc::UnboundedReceiver<ScoreEnded>,
}

impl RunningWork {
    /// Creates the channels; no task is in progress.
    pub(super) fn new(context: Context, pool: ReplicaPool, traffic: Handle) -> Self {
        let (run_sender, run_events) = mpsc::channel(RUN_EVENT_BACKLOG);
        let (score_sender, score_ends) = mpsc::unbounded_channel();
        let (runs, scores) = (HashMap::new(), HashMap::new());
        Self { context, pool, traffic, runs, run_sender, run_events, scores, score_sender, score_ends }
    }

    /// Spawns a task that sends an item to its replica.
    pub(super) fn start_run(&mut self, start: RunStart, decided_at: BootInstant) {
        let run = start.run;
        let (context, pool) = (self.context.clone(), self.pool.clone());
        let task = run::run(context, pool, start, decided_at, self.run_sender.clone());
        self.runs.insert(run, self.traffic.spawn(task).abort_handle());
    }

    /// Aborts a run. Closing its connection makes the replica drop the item.
    pub(super) fn stop_run(&mut self, run: RunId) {
        if let Some(handle) = self.runs.remove(&run) {
            handle.abort();
        }
    }

    /// Spawns a task that sends a score request to its replica.
    pub(super) fn start_score(&mut self, start: ScoreStart) {
        let id = start.id;
        let (context, pool) = (self.context.clone(), self.pool.clone());
        let task = score::score(context, pool, start, self.score_sender.clone());
        self.scores.insert(id, self.traffic.spawn(task).abort_handle());
    }

    /// Aborts a score request by closing its connection.
    pub(super) fn stop_score(&mut self, id: ScoreId) {
        if let Some(handle) = self.scores.remove(&id) {
            handle.abort();
        }
    }

    /// Removes a score request that has ended.
    pub(super) fn forget_score(&mut self, id: ScoreId) {
        self.scores.remove(&id);
    }

    /// Aborts all runs and score requests.
    pub(super) fn stop_all(&mut self) {
        let runs = self.runs.drain().map(|(_, handle)| handle);
        let scores = self.scores.drain().map(|(_, handle)| handle);
        runs.chain(scores).for_each(|handle| handle.abort());
    }
}
