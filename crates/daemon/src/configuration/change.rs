//! Applies an operator's change of the settings tree.
//!
//! Runs the core's change writer against the object API, then waits until the new revision is in force on
//! this node.

use std::time::{Duration, Instant};

use lichenpulley_core::configuration::register::{Change, ChangeRefused, OBJECT_KEY, Register};
use lichenpulley_core::configuration::writer::{
    Action, ChangeOutcome, ChangeWriter, Config, StoredRegister, WriteReply,
};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::internal::configuration::DocumentName;

use super::handle::Event;
use super::platform::{ObjectClient, WriteError};
use super::source::decode_register;
use crate::context::Context;

/// How long the call waits until a majority of the quorum set holds the change and it is in force here.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The change is invalid or lost a race. Nothing was written.
    #[error(transparent)]
    Refused(#[from] ChangeRefused),
    /// The object API gave no answer, and certainly nothing was written.
    #[error(
        "the object API gives no answer and nothing was written; what is in force stays, try again later"
    )]
    Unavailable,
    /// This node's settings name no object API.
    #[error(
        "this node knows no object API; set `platform.object_api` in its settings file, or ask another node"
    )]
    NoObjectApi,
    /// It is not known whether the change was written.
    #[error(
        "the object API did not tell whether change `{change_id}` took effect; repeat it with the same change id, \
         which takes effect at most once"
    )]
    InDoubt {
        /// The change's id.
        change_id: String,
    },
    /// The change is written, but too few nodes hold it yet.
    #[error(
        "change `{change_id}` is written as revision {revision}, but too few nodes have confirmed it; repeat it with \
         the same change id to learn when it is in force"
    )]
    NotYetInForce {
        /// The change's id.
        change_id: String,
        /// Its revision.
        revision: Revision,
    },
}

impl ChangeError {
    /// Returns the stable code of the error, used in answers to programs and as the decision's reason.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused(ChangeRefused::Conflict { .. }) => "conflict",
            Self::Refused(ChangeRefused::ChangeIdReused { .. }) => "change_id_reused",
            Self::Refused(ChangeRefused::ChangeIdLength { .. } | ChangeRefused::Schema(_)) => "bad_setting",
            Self::Unavailable => "platform_unavailable",
            Self::NoObjectApi => "no_object_api",
            Self::InDoubt { .. } => "in_doubt",
            Self::NotYetInForce { .. } => "not_yet_in_force",
        }
    }
}

/// Writes a change and waits until it is in force on this node. Returns the revision that the change created.
///
/// # Errors
/// When the change is refused, can't be written, is in doubt or is not in force in time.
pub async fn change(context: &Context, change: Change) -> Result<Revision, ChangeError> {
    let subject = format!("{} {}", change.path, change.key);
    let change_id = change.change_id.clone();
    let result = apply_change(context, change).await;
    let (action, reason) = match &result {
        Ok(_) => ("change_accepted", "proved_by_reply"),
        Err(error) => ("change_not_accepted", error.kind()),
    };
    let decision = Decision::new(Component::Configuration, action, reason, subject);
    context.decisions.record(decision.with("change_id", change_id));
    result
}

async fn apply_change(context: &Context, change: Change) -> Result<Revision, ChangeError> {
    change.check()?;
    let client = ObjectClient::from_settings(&context.settings).ok_or(ChangeError::NoObjectApi)?;
    let change_id = change.change_id.clone();
    match write(&client, change).await {
        ChangeOutcome::Accepted { revision, register } => {
            let event = Event::FromPlatform(register.document().clone());
            context.documents.send(DocumentName::Configuration, event);
            let in_force =
                context.documents.wait_for(DocumentName::Configuration, revision, IN_FORCE_TIMEOUT);
            if in_force.await {
                Ok(revision)
            } else {
                Err(ChangeError::NotYetInForce { change_id, revision })
            }
        }
        ChangeOutcome::Refused(refused) => Err(refused.into()),
        ChangeOutcome::Unavailable => Err(ChangeError::Unavailable),
        ChangeOutcome::InDoubt => Err(ChangeError::InDoubt { change_id }),
    }
}

async fn write(client: &ObjectClient, change: Change) -> ChangeOutcome {
    let started = Instant::now();
    let now = || Timestamp::ORIGIN + started.elapsed();
    let mut writer = ChangeWriter::new(change, Config::default(), now());
    loop {
        match writer.poll(now()) {
            Some(Action::Read) => {
                let stored = read_register(client).await;
                writer.read_finished(stored, now());
            }
            Some(Action::Write { base_version, register }) => {
                let reply = write_register(client, base_version, &register).await;
                writer.write_finished(reply, now());
            }
            Some(Action::Wait(until)) => tokio::time::sleep(until.saturating_since(now())).await,
            Some(Action::Finish(outcome)) => return outcome,
            // Every action is completed before the next poll, so the writer always has one.
            None => return ChangeOutcome::InDoubt,
        }
    }
}

async fn read_register(client: &ObjectClient) -> Option<StoredRegister> {
    let object = match client.read(OBJECT_KEY).await {
        Ok(object) => object,
        Err(error) => {
            log::warn!(target: "configuration", "Reading the settings tree failed: {error}.");
            return None;
        }
    };
    let Some(object) = object else {
        return Some(StoredRegister { version: None, register: Register::default() });
    };
    let version = Some(object.version);
    match decode_register(object) {
        Ok(register) => Some(StoredRegister { version, register }),
        Err(error) => {
            log::error!(target: "configuration", "Object {OBJECT_KEY} is not a valid settings tree; restore an earlier version of it: {error}.");
            None
        }
    }
}

async fn write_register(
    client: &ObjectClient,
    base_version: Option<Revision>,
    register: &Register,
) -> WriteReply {
    let value = match serde_json::to_value(register) {
        Ok(value) => value,
        Err(error) => {
            log::error!(target: "configuration", "The settings tree can't be encoded and was not written: {error}.");
            return WriteReply::NotWritten;
        }
    };
    match client.write(OBJECT_KEY, base_version, value).await {
        Ok(_) => WriteReply::Written,
        Err(WriteError::Conflict { .. }) => WriteReply::Conflict,
        Err(WriteError::NotWritten(error)) => {
            log::warn!(target: "configuration", "The settings tree was not written: {error}.");
            WriteReply::NotWritten
        }
        Err(WriteError::InDoubt(error)) => {
            log::warn!(target: "configuration", "The settings tree may have been written: {error}.");
            WriteReply::NoReply
        }
    }
}
