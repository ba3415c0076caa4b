//! A request in flight at a replica: sends it, and reports its end to the selector of replicas and to the
//! quarantine.
//!
//! Owns one place in the selector's count of the replica's requests. Dropping it ends the request with the
//! feedback that was set last, [`ReplicaFeedback::Abandoned`] at first.

use std::time::Duration;

use lichenpulley_core::ingress::attempts::SendOutcome;
use lichenpulley_core::ingress::chooser::ReplicaFeedback;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::selection::SelectedReplica;
use lichenpulley_core::quarantine::RunSender;
use tokio::time::Instant;

use super::caller_request::CallerRequest;
use super::pool::{HttpExchange, SendError};
use super::{Ingress, headers};
use crate::quarantine::TracedRun;

/// The longest time for the connection to a replica. Too short gives up replicas that are merely far, too
/// long keeps a request from the next replica while this one is dead.
pub(super) const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendOptions<'a> {
    /// Begin the stream after this event.
    pub(super) last_event: Option<&'a str>,
    /// Use a connection of its own, which the replica can't be closing just now.
    pub(super) needs_fresh: bool,
    /// The longest time for a new connection.
    pub(super) connect_timeout: Duration,
    /// The time until which the head of the answer must have come.
    pub(super) limit: Instant,
}

/// A request in flight at one replica, from the selection of the replica until its end.
pub(super) struct InFlightRequest {
    ingress: Ingress,
    /// The replica.
    pub(super) replica: ReplicaRecord,
    /// Whether the replica was cold when it was selected.
    pub(super) is_cold: bool,
    /// When the replica was selected.
    pub(super) began: Instant,
    feedback: ReplicaFeedback,
    /// Reports its end to the quarantine.
    pub(super) run: TracedRun,
}

impl InFlightRequest {
    /// Counts from here on; the selector has counted it at the replica already.
    pub(super) fn begin(ingress: &Ingress, request: &CallerRequest, selected: SelectedReplica) -> Self {
        let SelectedReplica { record: replica, is_cold } = selected;
        let run = TracedRun::begin(&ingress.context, request.fingerprint, &replica, RunSender::Gateway);
        let feedback = ReplicaFeedback::Abandoned;
        Self { ingress: ingress.clone(), replica, is_cold, began: Instant::now(), feedback, run }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// How the send ended where no head came.
    pub(super) async fn send(
        &mut self,
        request: &CallerRequest,
        options: SendOptions<'_>,
    ) -> Result<HttpExchange, SendOutcome> {
        let message = request.build(&self.replica.name, options.last_event);
        let may_send = || self.ingress.may_send(request, &self.replica);
        let pool = &self.ingress.pool;
        let sent = pool.send(&self.replica, message, options.needs_fresh, options.connect_timeout, may_send);
        let exchange = match tokio::time::timeout_at(options.limit, sent).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => return Err(self.record_send_error(error).await),
            Err(_) => {
                self.was_silent();
                return Err(SendOutcome::TimedOut);
            }
        };
        if let Some(busy) = headers::reported_load(exchange.response.headers()) {
            self.ingress.reported(&self.replica.id, busy);
        }
        Ok(exchange)
    }

    /// The replica answered.
    pub(super) fn answered(&mut self) {
        let took = self.began.elapsed();
        self.feedback =
            if self.is_cold { ReplicaFeedback::AnsweredCold } else { ReplicaFeedback::Answered(took) };
    }

    /// The replica stated that it did not run the request.
    pub(super) fn was_full(&mut self) {
        self.run.record_not_run();
        self.feedback = ReplicaFeedback::Full;
    }

    /// No whole answer came.
    pub(super) fn was_silent(&mut self) {
        self.feedback = ReplicaFeedback::NoAnswer;
    }

    /// The send failed before the head of an answer.
    async fn record_send_error(&mut self, error: SendError) -> SendOutcome {
        self.run.record_send_error(error).await;
        if error != SendError::Withheld {
            self.was_silent();
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
