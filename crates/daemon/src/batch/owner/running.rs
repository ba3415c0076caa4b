//! Runs of items and score requests that are under way at replicas.
//!
//! Owns their tasks, which go on `traffic`, and the channels by which they report. Relies on the state
//! machine for which of them to start and to stop.

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

/// Events of runs that wait for the owner before their connections are read no further. Chosen, not measured:
/// a burst of all runs of some hundred replicas; greater costs memory while the owner stands still.
const RUN_EVENT_BACKLOG: usize = 4_096;

/// What is under way at replicas. Dropping it stops nothing: see [`Self::stop_all`].
pub(super) struct RunningWork {
    context: Context,
    pool: ReplicaPool,
    traffic: Handle,
    runs: HashMap<RunId, AbortHandle>,
    run_sender: mpsc::Sender<(RunId, RunEvent)>,
    /// Events of runs, in the order in which each run sent its own.
    pub(super) run_events: mpsc::Receiver<(RunId, RunEvent)>,
    scores: HashMap<ScoreId, AbortHandle>,
    score_sender: mpsc::UnboundedSender<ScoreEnded>,
    /// Ends of score requests.
    pub(super) score_ends: mpsc::UnboundedReceiver<ScoreEnded>,
}

impl RunningWork {
    /// Nothing is under way yet.
    pub(super) fn new(context: Context, pool: ReplicaPool, traffic: Handle) -> Self {
        let (run_sender, run_events) = mpsc::channel(RUN_EVENT_BACKLOG);
        let (score_sender, score_ends) = mpsc::unbounded_channel();
        let (runs, scores) = (HashMap::new(), HashMap::new());
        Self { context, pool, traffic, runs, run_sender, run_events, scores, score_sender, score_ends }
    }

    /// Sends an item to its replica.
    pub(super) fn start_run(&mut self, start: RunStart, decided_at: BootInstant) {
        let run = start.run;
        let (context, pool) = (self.context.clone(), self.pool.clone());
        let task = run::run(context, pool, start, decided_at, self.run_sender.clone());
        self.runs.insert(run, self.traffic.spawn(task).abort_handle());
    }

    /// Closes the run's connection, by which its replica drops the item.
    pub(super) fn stop_run(&mut self, run: RunId) {
        if let Some(handle) = self.runs.remove(&run) {
            handle.abort();
        }
    }

    /// Sends a score request to its replica.
    pub(super) fn start_score(&mut self, start: ScoreStart) {
        let id = start.id;
        let (context, pool) = (self.context.clone(), self.pool.clone());
        let task = score::score(context, pool, start, self.score_sender.clone());
        self.scores.insert(id, self.traffic.spawn(task).abort_handle());
    }

    /// Closes the score request's connection.
    pub(super) fn stop_score(&mut self, id: ScoreId) {
        if let Some(handle) = self.scores.remove(&id) {
            handle.abort();
        }
    }

    /// A score request has ended by itself.
    pub(super) fn forget_score(&mut self, id: ScoreId) {
        self.scores.remove(&id);
    }

    /// Stops everything.
    pub(super) fn stop_all(&mut self) {
        let runs = self.runs.drain().map(|(_, handle)| handle);
        let scores = self.scores.drain().map(|(_, handle)| handle);
        runs.chain(scores).for_each(|handle| handle.abort());
    }
}
