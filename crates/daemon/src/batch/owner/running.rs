//! Runs of items and score requests in progress at replicas.
//!
//! Owns their tasks, which run on the `traffic` runtime, and the channels on which they report. The
//! controller decides which of them to start and stop.

use std::collections::HashMap;
use std::time::Duration;

use lichenpulley_core::batch::controller::{RunEvent, RunId, RunStart};
use lichenpulley_core::batch::score_plan::{ScoreId, ScoreStart};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::batch::run;
use crate::batch::score::{self, ScoreEnded};
use crate::boot_clock::BootInstant;
use crate::context::Context;
use crate::ingress::pool::ReplicaPool;

/// Capacity of the channel for run events; connections are not read while it is full.
const RUN_EVENT_BACKLOG: usize = 4_096;
/// During a shortage, the events of this time are handled together. Thousands of events arrive in a second then, and a
/// wake-up of the control thread for each would take a large part of its processor time.
const EVENT_BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Tasks in progress at replicas. Dropping it does not stop them; see [`Self::stop_all`].
pub(super) struct RunningWork {
    context: Context,
    pool: ReplicaPool,
    traffic: Handle,
    runs: HashMap<RunId, AbortHandle>,
    run_sender: mpsc::Sender<(RunId, RunEvent)>,
    /// Receives events of runs; the events of one run arrive in order.
    pub(super) run_events: mpsc::Receiver<(RunId, RunEvent)>,
    /// Before this time no further run events are taken.
    pub(super) resume_at: Instant,
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
        let resume_at = Instant::now();
        Self {
            context,
            pool,
            traffic,
            runs,
            run_sender,
            run_events,
            resume_at,
            scores,
            score_sender,
            score_ends,
        }
    }

    /// Lets run events gather for a short time.
    pub(super) fn pause_events(&mut self) {
        self.resume_at = Instant::now() + EVENT_BATCH_INTERVAL;
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

/// Returns the next run event, not before `resume_at`. Cancel safe: no event is lost if the future is dropped.
pub(super) async fn next_event(
    events: &mut mpsc::Receiver<(RunId, RunEvent)>,
    resume_at: Instant,
) -> Option<(RunId, RunEvent)> {
    if Instant::now() < resume_at {
        tokio::time::sleep_until(resume_at).await;
    }
    events.recv().await
}
