//! Traces one run of a request at a replica. Reports to the crash monitor how the run ended, and probes
//! whether a replica at which it broke refuses connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::ingress::replica_subset::LayoutId;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::quarantine::{BreakCause, Fingerprint, RunSender, SentRun};
use tokio::net::TcpStream;

use super::handle::lock;
use crate::context::Context;
use crate::ingress::pool::SendError;

/// Timeout of the connection probe. If it expires, whether the replica ended is learned from its metadata
/// record.
const PORT_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// The run may be in progress.
    Sent,
    /// The request did not reach the replica, or the replica did not run it.
    NotRun,
    /// The replica sent a complete response.
    Complete,
    /// The crash monitor was told that the run broke.
    Reported,
}

/// A run at a replica. Dropping it reports how the run ended.
///
/// A gateway's run that is dropped before its end is reported as given up, since it may still crash its
/// replica. Runs that the owner of batch jobs drops are not reported: they are frequent, and replicas cancel
/// abandoned runs.
pub(crate) struct TracedRun {
    context: Context,
    run: SentRun,
    state: RunState,
    /// The subset of the replicas that this node knew when the run was sent.
    layout: Option<LayoutId>,
}

impl TracedRun {
    /// Begins the trace of a run that is about to be sent.
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
            is_repeated: lock(&quarantine.monitor).is_suspected(&fingerprint),
            sent_at: quarantine.now(),
        };
        let layout = context.metadata.replicas.load().layout;
        Self { context: Arc::clone(context), run, state: RunState::Sent, layout }
    }

    /// Records that the replica did not run the request.
    pub(crate) const fn record_not_run(&mut self) {
        self.state = RunState::NotRun;
    }

    /// Records a send without a response head. If no byte was written, the request has not run; otherwise see
    /// [`Self::record_broken`].
    pub(crate) async fn record_send_error(&mut self, error: SendError) {
        match error {
            SendError::Withheld | SendError::NotSent => self.record_not_run(),
            SendError::Broken => self.record_broken().await,
        }
    }

    /// Records that the replica sent a complete response, successful or not.
    pub(crate) const fn record_complete(&mut self) {
        self.state = RunState::Complete;
    }

    /// Records that the connection closed before the complete response. Returns after probing whether the
    /// replica refuses connections, so that the next send of the request takes the result into account.
    pub(crate) async fn record_broken(&mut self) {
        self.report_broken(BreakCause::Closed);
        if self.has_replica_ended().await {
            let quarantine = &self.context.quarantine;
            quarantine.update(&self.context, |monitor, now| monitor.replica_ended(&self.run.replica, now));
        }
    }

    /// Returns whether the replica has ended, after probing whether it refuses connections.
    pub(crate) async fn has_replica_ended(&self) -> bool {
        let probe = self.context.quarantine.probe_for(&self.run.replica);
        *probe.get_or_init(|| refuses_connections(self.run.address)).await
    }

    fn report_broken(&mut self, cause: BreakCause) {
        self.state = RunState::Reported;
        let run = self.run.clone();
        let replicas = self.context.metadata.replicas.load();
        // A replica that is missing from another subset need not have ended.
        let is_listed = replicas.layout != self.layout || replicas.records.contains_key(&run.replica);
        self.context
            .quarantine
            .update(&self.context, |monitor, now| monitor.run_broken(run, cause, is_listed, now));
    }
}

impl Drop for TracedRun {
    fn drop(&mut self) {
        match self.state {
            RunState::Sent if self.run.sender == RunSender::Gateway => {
                self.report_broken(BreakCause::GivenUp)
            }
            RunState::Complete => {
                self.context
                    .quarantine
                    .update(&self.context, |monitor, now| monitor.run_ended(&self.run, now));
            }
            RunState::Sent | RunState::NotRun | RunState::Reported => {}
        }
    }
}

/// Whether the replica's port refuses connections. A running process accepts them, even if it is overloaded
/// and resets them afterwards.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    match tokio::time::timeout(PORT_PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
