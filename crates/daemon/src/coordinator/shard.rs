//! What the tasks of all shards share.

use std::time::Duration;

use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::store::shard_log::ShardLogError;

/// A request to a shard's owner, and where its answer goes.
pub(super) struct ShardCommand {
    pub(super) request: CoordinatorRequest,
    pub(super) reply: oneshot::Sender<CoordinatorResponse>,
}

impl ShardCommand {
    /// Answers; a caller that no longer waits is no matter.
    pub(super) fn answer(self, response: CoordinatorResponse) {
        let _ = self.reply.send(response);
    }
}

/// The clock of one shard's state machine.
#[derive(Clone, Copy)]
pub(super) struct ShardClock {
    origin: Instant,
}

impl ShardClock {
    pub(super) fn new() -> Self {
        Self { origin: Instant::now() }
    }

    pub(super) fn now(self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Returns at a time of this clock; never where there is none.
    pub(super) async fn sleep_until(self, wakeup: Option<Timestamp>) {
        match wakeup {
            Some(at) => {
                let instant = self.origin + Duration::from_micros(at.as_micros());
                tokio::time::sleep_until(instant).await;
            }
            None => std::future::pending().await,
        }
    }
}

/// A refusal in the form that callers get.
pub(super) fn refused(kind: &str, message: impl ToString, remedy: &str) -> CoordinatorResponse {
    CoordinatorResponse::Refused {
        kind: kind.to_owned(),
        message: message.to_string(),
        remedy: remedy.to_owned(),
        retry_after_ms: 0,
    }
}

/// The answer to whoever asked while the shard's log could not be used.
fn log_refusal(error: &ShardLogError) -> CoordinatorResponse {
    let kind = match error {
        ShardLogError::Superseded { .. } => return CoordinatorResponse::NotOwner(None),
        ShardLogError::NoMajority { .. } => "no_majority",
        ShardLogError::DiskFull { .. } => "disk_full",
    };
    CoordinatorResponse::Refused {
        kind: kind.to_owned(),
        message: error.to_string(),
        remedy: "ask again: repeating the request does no harm".to_owned(),
        retry_after_ms: RetryCause::LogUnusable.retry_after_ms(),
    }
}

/// The records as bytes for the log; `None`, with a line in the node's log, where one of them can't be
/// encoded.
pub(super) fn encode_all<R, E: std::fmt::Display>(
    part: &str,
    records: &[R],
    encode: impl Fn(&R) -> Result<Vec<u8>, E>,
) -> Option<Vec<Vec<u8>>> {
    match records.iter().map(encode).collect() {
        Ok(encoded) => Some(encoded),
        Err(error) => {
            log::error!(target: part, "A record can't be written: {error}.");
            None
        }
    }
}

/// The answer to callers that still wait when an owner ends. Where its log failed, commands that it has not
/// taken in are refused in the same way.
pub(super) fn last_answer(
    part: &str,
    failure: Option<&ShardLogError>,
    commands: &mut mpsc::Receiver<ShardCommand>,
) -> CoordinatorResponse {
    let Some(error) = failure else { return CoordinatorResponse::NotOwner(None) };
    log::warn!(target: part, "The log failed: {error}.");
    refuse_waiting(commands, error);
    log_refusal(error)
}

/// Answers everything that waits in the same way.
pub(super) fn refuse_waiting(commands: &mut mpsc::Receiver<ShardCommand>, error: &ShardLogError) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        command.answer(log_refusal(error));
    }
}
