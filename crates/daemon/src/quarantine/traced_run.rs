//! One run of one request at one replica, followed to its end: reports to the quarantine's watch how it
//! ended, and finds out whether a replica at which it broke off refuses connections.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::quarantine::{BreakCause, Fingerprint, RunSender, SentRun};
use tokio::net::TcpStream;

use super::handle::lock;
use crate::context::Context;
use crate::ingress::pool::SendError;

/// A replica that neither takes nor refuses a connection within this time may have ended or not: its entry
/// will show. Chosen, not measured: longer delays the next send of the request.
const PORT_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// It may be under way, or be dropped in the middle.
    Sent,
    /// Nothing of it reached the replica, or the replica did not run it.
    NotRun,
    /// The replica gave a whole answer.
    Whole,
    /// The watch knows that it broke off.
    Reported,
}

/// A run at a replica. Dropping it reports how it ended. A caller's run that is dropped in the middle may end
/// its replica all the same; runs that the owner of batch jobs stops are many, and replicas drop what nobody
/// reads.
pub(crate) struct TracedRun {
    context: Context,
    run: SentRun,
    state: RunState,
}

impl TracedRun {
    /// A run that is about to be sent.
    pub(crate) fn begin(
        context: &Context,
        fingerprint: Fingerprint,
        replica: &ReplicaRecord,
        sender: RunSender,
    ) -> Self {
        let quarantine = &context.quarantine;
        let run = SentRun {
            fingerprint,
            replica: replica.id.clone(),
            may_restart: replica.may_restart(),
            address: replica.address,
            sender,
            is_repeated: lock(&quarantine.watch).is_suspected(&fingerprint),
            sent_at: quarantine.now(),
        };
        Self { context: Arc::clone(context), run, state: RunState::Sent }
    }

    /// The replica did not run it.
    pub(crate) const fn record_not_run(&mut self) {
        self.state = RunState::NotRun;
    }

    /// No head of an answer came. Where no byte was written it has not run; otherwise see [`Self::record_broken`].
    pub(crate) async fn record_send_error(&mut self, error: SendError) {
        match error {
            SendError::Withheld | SendError::NotSent => self.record_not_run(),
            SendError::Broken => self.record_broken().await,
        }
    }

    /// The replica gave a whole answer, good or not.
    pub(crate) const fn record_complete(&mut self) {
        self.state = RunState::Whole;
    }

    /// The connection closed before a whole answer. Returns once it is known whether the replica refuses
    /// connections, so that the next sending of the request, here or elsewhere, is decided by that.
    pub(crate) async fn record_broken(&mut self) {
        self.report_broken(BreakCause::Closed);
        let quarantine = &self.context.quarantine;
        let replica = &self.run.replica;
        let probe = quarantine.probe_of(replica);
        if *probe.get_or_init(|| refuses_connections(&self.run)).await {
            quarantine.update(&self.context, |watch, now| watch.replica_ended(replica, now));
        }
    }

    fn report_broken(&mut self, cause: BreakCause) {
        self.state = RunState::Reported;
        let run = self.run.clone();
        let is_listed = self.context.metadata.replicas.load().records.contains_key(&run.replica);
        self.context
            .quarantine
            .update(&self.context, |watch, now| watch.run_broken(run, cause, is_listed, now));
    }
}

impl Drop for TracedRun {
    fn drop(&mut self) {
        match self.state {
            RunState::Sent if self.run.sender == RunSender::Gateway => {
                self.report_broken(BreakCause::GivenUp)
            }
            RunState::Whole => {
                self.context.quarantine.update(&self.context, |watch, now| watch.run_ended(&self.run, now));
            }
            RunState::Sent | RunState::NotRun | RunState::Reported => {}
        }
    }
}

/// Whether the port is closed: a process that runs takes connections, even if it resets them for want of
/// room.
async fn refuses_connections(run: &SentRun) -> bool {
    match tokio::time::timeout(PORT_PROBE_TIMEOUT, TcpStream::connect(run.address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
