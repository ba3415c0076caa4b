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

/// Pause after the platform gave no answer. Chosen, not measured: shorter loads a platform that is down,
/// longer delays changes after it is back.
const PLATFORM_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Why a document could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum SourceError {
    /// No usable answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object is not of the expected form.
    #[error("{OBJECT_KEY} can't be read: {0}; restore it from an earlier version of the object")]
    Form(#[from] serde_json::Error),
}

/// Where a document is read.
#[derive(Clone)]
pub(super) enum Source {
    /// The object API.
    Objects(ObjectClient),
    /// The machine list.
    Machines { client: MachineListClient, poll_interval: Duration },
    /// No service is named in the settings: the document is empty for ever.
    Nothing,
}

impl Source {
    pub(super) fn new(settings: &Settings, document: DocumentName) -> Self {
        let found = match document {
            DocumentName::Configuration => ObjectClient::from_settings(settings).map(Self::Objects),
            DocumentName::Directory => MachineListClient::from_settings(settings)
                .map(|client| Self::Machines { client, poll_interval: settings.configuration.poll_interval }),
        };
        found.unwrap_or(Self::Nothing)
    }

    /// Reads the document once. `latest` is the one that the node holds, on which the remembered changes are
    /// based.
    pub(super) async fn read(&self, latest: Option<Arc<Document>>) -> Result<Document, SourceError> {
        match self {
            Self::Objects(client) => {
                let object = client.read(OBJECT_KEY).await?;
                Ok(object.map(register_of).transpose()?.unwrap_or_default().document().clone())
            }
            Self::Machines { client, .. } => Ok(directory_document(&client.read().await?, latest.as_deref())),
            Self::Nothing => Ok(Document::default()),
        }
    }

    /// Hands over the document now and after each change, until the caller drops the future.
    pub(super) async fn follow(
        &self,
        latest: impl Fn() -> Option<Arc<Document>>,
        mut hand_over: impl FnMut(Document),
    ) {
        let mut version = Revision(0);
        loop {
            let wait = match self.follow_once(&mut version, &latest, &mut hand_over).await {
                Ok(wait) => wait,
                Err(error) => {
                    log::warn!(target: "configuration", "{error}.");
                    PLATFORM_RETRY_PAUSE
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// One read or watch; returns how long to wait before the next.
    async fn follow_once(
        &self,
        version: &mut Revision,
        latest: &impl Fn() -> Option<Arc<Document>>,
        hand_over: &mut impl FnMut(Document),
    ) -> Result<Duration, SourceError> {
        match self {
            Self::Objects(client) if *version > Revision(0) => {
                let changed = client.watch(OBJECT_KEY, *version).await?;
                for object in changed.objects.into_iter().filter(|object| object.key == OBJECT_KEY) {
                    hand_over(register_of(object)?.document().clone());
                }
                *version = changed.revision;
                Ok(Duration::ZERO)
            }
            Self::Objects(client) => {
                let list = client.list(OBJECT_KEY).await?;
                let object = list.objects.into_iter().find(|object| object.key == OBJECT_KEY);
                let register = object.map(register_of).transpose()?.unwrap_or_default();
                hand_over(register.document().clone());
                *version = list.revision;
                // An empty store has no revision to watch after.
                Ok(if list.revision == Revision(0) { PLATFORM_RETRY_PAUSE } else { Duration::ZERO })
            }
            Self::Machines { poll_interval, .. } => {
                hand_over(self.read(latest()).await?);
                Ok(*poll_interval)
            }
            Self::Nothing => {
                hand_over(Document::default());
                std::future::pending().await
            }
        }
    }
}

/// The register in an object.
pub(super) fn register_of(object: Object) -> Result<Register, serde_json::Error> {
    serde_json::from_value(object.value)
}

/// The machines as a document: the machine's id is the key, the machine as JSON the value.
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
