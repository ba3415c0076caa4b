//! A request in flight at a replica. Sends the request and reports its end to the replica selector and to the
//! quarantine.
//!
//! An [`InFlightRequest`] occupies one slot in the selector's count of the replica's requests. Dropping it
//! frees the slot and reports the feedback that was set last, [`ReplicaFeedback::Abandoned`] initially.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lichenpulley_core::ingress::attempts::SendOutcome;
use lichenpulley_core::ingress::chooser::ReplicaFeedback;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::selection::SelectedReplica;
use lichenpulley_core::quarantine::RunSender;
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer_body::BufferedAnswer;
use super::caller_request::CallerRequest;
use super::pool::{Connection, HttpExchange, SendError};
use super::{Ingress, headers};
use crate::quarantine::TracedRun;

/// Timeout for connecting to a replica. A shorter one gives up replicas that are merely far, a longer one
/// keeps a request from the next replica while this one is dead.
pub(super) const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Options for sending a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendOptions<'a> {
    /// Number of the last event that the caller received; a stream begins after it.
    pub(super) last_event: Option<&'a str>,
    /// Opens a new connection instead of using a pooled one, which the replica may be closing.
    pub(super) needs_new_connection: bool,
    /// Timeout for a new connection.
    pub(super) connect_timeout: Duration,
    /// Deadline for the response head.
    pub(super) deadline: Instant,
}

/// How far the send of a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendProgress {
    /// No byte was written.
    NotWritten,
    /// The first byte was written at this time.
    Written(Instant),
    /// The response head has arrived.
    Answering,
}

/// A request in flight at one replica, from the selection of the replica until the request ends.
pub(super) struct InFlightRequest {
    ingress: Ingress,
    /// The selected replica.
    pub(super) replica: ReplicaRecord,
    /// Whether the replica was cold when it was selected.
    pub(super) is_cold: bool,
    /// When the replica was selected.
    pub(super) started_at: Instant,
    progress: watch::Sender<SendProgress>,
    feedback: ReplicaFeedback,
    /// Reports the end of the run to the quarantine.
    pub(super) run: TracedRun,
}

impl InFlightRequest {
    /// Begins a request at the selected replica, at which the selector has already counted it.
    pub(super) fn begin(ingress: &Ingress, request: &CallerRequest, selected: SelectedReplica) -> Self {
        let SelectedReplica { record: replica, is_cold } = selected;
        let run = TracedRun::begin(&ingress.context, request.fingerprint, &replica, RunSender::Gateway);
        Self {
            ingress: ingress.clone(),
            replica,
            is_cold,
            started_at: Instant::now(),
            progress: watch::Sender::new(SendProgress::NotWritten),
            feedback: ReplicaFeedback::Abandoned,
            run,
        }
    }

    /// Returns a receiver of the progress of the send.
    pub(super) fn progress(&self) -> watch::Receiver<SendProgress> {
        self.progress.subscribe()
    }

    /// Sends the request and waits for the response head. Writes no byte after the deadline.
    ///
    /// # Errors
    /// Returns the outcome of the send if no response head arrived.
    pub(super) async fn send(
        &mut self,
        request: &CallerRequest,
        options: SendOptions<'_>,
    ) -> Result<HttpExchange, SendOutcome> {
        let message = request.build(&self.replica.name, options.last_event);
        let may_be_written = AtomicBool::new(false);
        let may_send = || {
            let may_send = Instant::now() < options.deadline && self.ingress.may_send(request, &self.replica);
            may_be_written.store(may_send, Ordering::Relaxed);
            if may_send {
                self.progress.send_replace(SendProgress::Written(Instant::now()));
            }
            may_send
        };
        let pool = &self.ingress.pool;
        let sent = pool.send(
            &self.replica,
            message,
            options.needs_new_connection,
            options.connect_timeout,
            may_send,
        );
        let exchange = match tokio::time::timeout_at(options.deadline, sent).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => return Err(self.record_send_error(error).await),
            // The deadline passed while the connection was being opened.
            Err(_) if !may_be_written.load(Ordering::Relaxed) => {
                return Err(self.record_send_error(SendError::NotSent).await);
            }
            Err(_) => {
                self.record_no_answer();
                return Err(SendOutcome::TimedOut);
            }
        };
        self.progress.send_replace(SendProgress::Answering);
        let load = headers::reported_load(exchange.response.headers());
        let is_late = self.started_at.elapsed() > request.target;
        self.ingress.record_response_head(&self.replica, load, is_late);
        Ok(exchange)
    }

    /// Reads the complete response. Its connection may carry another request afterwards.
    ///
    /// # Errors
    /// Returns the outcome of the send if the response broke off or was not complete by the deadline.
    pub(super) async fn read(
        &mut self,
        exchange: HttpExchange,
        deadline: Instant,
    ) -> Result<(BufferedAnswer, Connection), SendOutcome> {
        let HttpExchange { response, connection } = exchange;
        let read = self.ingress.answer_memory.read_whole(response);
        match tokio::time::timeout_at(deadline, read).await {
            Ok(Ok(answer)) => Ok((answer, connection)),
            Ok(Err(error)) => {
                ::log::debug!(target: "ingress", "The answer of replica {} was not read: {error}.", self.replica.id);
                // Closed before the probe, so that a replica that sends without end stops.
                drop(connection);
                self.record_no_answer();
                self.run.record_broken().await;
                Err(SendOutcome::Broken)
            }
            Err(_) => {
                self.record_no_answer();
                Err(SendOutcome::TimedOut)
            }
        }
    }

    /// Records that the replica answered.
    pub(super) fn record_answered(&mut self) {
        let took = self.started_at.elapsed();
        self.feedback =
            if self.is_cold { ReplicaFeedback::AnsweredCold } else { ReplicaFeedback::Answered(took) };
    }

    /// Records that the replica rejected the request without running it.
    pub(super) fn record_rejected(&mut self) {
        self.run.record_not_run();
        self.feedback = ReplicaFeedback::Full;
    }

    /// Records that no complete answer arrived.
    pub(super) fn record_no_answer(&mut self) {
        self.feedback = ReplicaFeedback::NoAnswer;
    }

    /// Records a send that failed before the response head and returns its outcome.
    async fn record_send_error(&mut self, error: SendError) -> SendOutcome {
        self.run.record_send_error(error).await;
        if error != SendError::Withheld {
            self.record_no_answer();
        }
        match error {
            SendError::Withheld => SendOutcome::Withheld,
            SendError::NotSent => SendOutcome::NotSent,
            SendError::Broken => SendOutcome::Broken,
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.ingress.selection().selector.record_end(&self.replica.id, self.feedback, self.ingress.now());
    }
}
