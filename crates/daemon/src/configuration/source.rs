//! Reads a document from the platform: the settings tree from the object API, the directory from the machine
//! list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::configuration::document::Document;
use lichenpulley_core::configuration::register::{OBJECT_KEY, Register};
use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::internal::configuration::DocumentName;
use lichenpulley_protocol::platform::{MachineList, Object};

use super::platform::{MachineListClient, ObjectClient, PlatformError};
use crate::settings::Settings;

/// Pause after the platform gave no answer.
const PLATFORM_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Why a document could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum SourceError {
    /// The platform gave no usable answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object does not have the expected form.
    #[error("{OBJECT_KEY} can't be read: {0}; restore it from an earlier version of the object")]
    InvalidObject(#[from] serde_json::Error),
}

/// Service from which a document is read.
#[derive(Clone)]
pub(super) enum Source {
    /// The object API.
    Objects(ObjectClient),
    /// The machine list.
    Machines { client: MachineListClient, poll_interval: Duration },
    /// The settings name no service; the document is always empty.
    Unconfigured,
}

impl Source {
    pub(super) fn new(settings: &Settings, document: DocumentName) -> Self {
        let configured = match document {
            DocumentName::Configuration => ObjectClient::from_settings(settings).map(Self::Objects),
            DocumentName::Directory => MachineListClient::from_settings(settings)
                .map(|client| Self::Machines { client, poll_interval: settings.configuration.poll_interval }),
        };
        configured.unwrap_or(Self::Unconfigured)
    }

    /// Reads the document once. `latest` is the document that the node holds; a new directory extends
    /// its history of changes.
    pub(super) async fn read(&self, latest: Option<Arc<Document>>) -> Result<Document, SourceError> {
        match self {
            Self::Objects(client) => {
                let object = client.read(OBJECT_KEY).await?;
                Ok(object.map(decode_register).transpose()?.unwrap_or_default().document().clone())
            }
            Self::Machines { client, .. } => Ok(directory_document(&client.read().await?, latest.as_deref())),
            Self::Unconfigured => Ok(Document::default()),
        }
    }

    /// Passes the document to `deliver` at once and after each change, until the future is dropped.
    pub(super) async fn follow(
        &self,
        latest: impl Fn() -> Option<Arc<Document>>,
        mut deliver: impl FnMut(Document),
    ) {
        let mut version = Revision(0);
        loop {
            let wait = match self.follow_once(&mut version, &latest, &mut deliver).await {
                Ok(wait) => wait,
                Err(error) => {
                    log::warn!(target: "configuration", "{error}.");
                    PLATFORM_RETRY_PAUSE
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// Performs one read or watch. Returns the pause before the next.
    async fn follow_once(
        &self,
        version: &mut Revision,
        latest: &impl Fn() -> Option<Arc<Document>>,
        deliver: &mut impl FnMut(Document),
    ) -> Result<Duration, SourceError> {
        match self {
            Self::Objects(client) if *version > Revision(0) => {
                let changed = client.watch(OBJECT_KEY, *version).await?;
                for object in changed.objects.into_iter().filter(|object| object.key == OBJECT_KEY) {
                    deliver(decode_register(object)?.document().clone());
                }
                *version = changed.revision;
                Ok(Duration::ZERO)
            }
            Self::Objects(client) => {
                let list = client.list(OBJECT_KEY).await?;
                let object = list.objects.into_iter().find(|object| object.key == OBJECT_KEY);
                let register = object.map(decode_register).transpose()?.unwrap_or_default();
                deliver(register.document().clone());
                *version = list.revision;
                // An empty store has no revision to watch after.
                Ok(if list.revision == Revision(0) { PLATFORM_RETRY_PAUSE } else { Duration::ZERO })
            }
            Self::Machines { poll_interval, .. } => {
                deliver(self.read(latest()).await?);
                Ok(*poll_interval)
            }
            Self::Unconfigured => {
                deliver(Document::default());
                std::future::pending().await
            }
        }
    }
}

/// Decodes the settings register from an object.
pub(super) fn decode_register(object: Object) -> Result<Register, serde_json::Error> {
    serde_json::from_value(object.value)
}

/// Returns the machines as a document, with the machine's id as the key and the machine in JSON as the value.
fn directory_document(list: &MachineList, latest: Option<&Document>) -> Document {
    let machines = list.machines.iter();
    let entries = machines.filter_map(|machine| {
        match serde_json::to_string(machine) {
            Ok(text) => Some((machine.id.clone(), text)),
            Err(error) => {
                log::error!(target: "configuration", "Machine {} is left out of the directory: {error}.", machine.id);
                None
            }
        }
    });
    let entries: BTreeMap<String, String> = entries.collect();
    match latest {
        Some(latest) if latest.revision() == list.revision => latest.clone(),
        Some(latest) if latest.revision() < list.revision && latest.revision() > Revision(0) => {
            latest.with_entries(list.revision, &entries)
        }
        _ => Document::new(list.revision, entries),
    }
}
