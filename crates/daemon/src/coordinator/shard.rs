//! Types and functions shared by the tasks of all shards.

use std::time::Duration;

use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::store::shard_log::ShardLogError;

/// A request to a shard's owner, with the channel for its answer.
pub(super) struct ShardCommand {
    pub(super) request: CoordinatorRequest,
    pub(super) reply: oneshot::Sender<CoordinatorResponse>,
}

impl ShardCommand {
    /// Sends the answer. Does nothing if the caller no longer waits.
    pub(super) fn answer(self, response: CoordinatorResponse) {
        let _ = self.reply.send(response);
    }
}

/// The monotonic clock of one shard's state machine; counts from its creation.
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

    /// Sleeps until `wakeup`, or forever if it is `None`.
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

/// Builds a refusal that names no retry time.
pub(super) fn refused(kind: &str, message: impl ToString, remedy: &str) -> CoordinatorResponse {
    CoordinatorResponse::Refused {
        kind: kind.to_owned(),
        message: message.to_string(),
        remedy: remedy.to_owned(),
        retry_after_ms: 0,
    }
}

/// Returns the answer to requests that failed because of an error of the shard's log.
fn log_error_response(error: &ShardLogError) -> CoordinatorResponse {
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

/// Encodes records for the shard's log. Logs an error and returns `None` if one of them can't be encoded.
pub(super) fn encode_records<R, E: std::fmt::Display>(
    log_target: &str,
    records: &[R],
    encode: impl Fn(&R) -> Result<Vec<u8>, E>,
) -> Option<Vec<Vec<u8>>> {
    match records.iter().map(encode).collect() {
        Ok(encoded) => Some(encoded),
        Err(error) => {
            log::error!(target: log_target, "A record can't be encoded, so nothing is appended: {error}.");
            None
        }
    }
}

/// Returns the answer to requests that are pending when an owner ends. If its log failed, also refuses the
/// commands that it has not received yet.
pub(super) fn final_response(
    log_target: &str,
    failure: Option<&ShardLogError>,
    commands: &mut mpsc::Receiver<ShardCommand>,
) -> CoordinatorResponse {
    let Some(error) = failure else { return CoordinatorResponse::NotOwner(None) };
    log::warn!(target: log_target, "The shard's log failed, so this node gives up the shard: {error}.");
    refuse_queued(commands, error);
    log_error_response(error)
}

/// Closes the command channel and refuses the commands in it.
pub(super) fn refuse_queued(commands: &mut mpsc::Receiver<ShardCommand>, error: &ShardLogError) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        command.answer(log_error_response(error));
    }
}
