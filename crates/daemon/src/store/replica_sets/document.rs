//! Document of a shard's replica set, stored at the object API or, if one is configured, at the platform's
//! metadata store. Each write names the version that it is based on, so that only one of two concurrent
//! writers succeeds.

use lichenpulley_core::identity::{Revision, ShardId};
use lichenpulley_core::replication::replica_set::ReplicaSetDocument;

use super::ReplicaSetError;
use crate::configuration::platform::{ObjectClient, PlatformError, WriteError};
use crate::metadata::client::MetadataClient;
use crate::settings::Settings;

/// Key prefix of the documents at the object API, and their kind in the metadata store.
const KIND: &str = "replica-sets";

/// Client of the object API or, if one is configured, of the platform's metadata store.
#[derive(Clone, Debug)]
pub(in crate::store) enum DocumentClient {
    Objects(ObjectClient),
    Metadata(MetadataClient),
}

impl DocumentClient {
    /// Creates a client from the settings of this node.
    pub(in crate::store) fn from_settings(settings: &Settings) -> Result<Self, ReplicaSetError> {
        if let Some(client) = MetadataClient::from_settings(settings) {
            return Ok(Self::Metadata(client));
        }
        let client = ObjectClient::from_settings(settings).ok_or(ReplicaSetError::NoObjectApi)?;
        Ok(Self::Objects(client))
    }

    async fn read(&self, shard: &ShardId) -> Result<Option<(serde_json::Value, Revision)>, PlatformError> {
        match self {
            Self::Objects(client) => {
                let object = client.read(&document_key(shard)).await?;
                Ok(object.map(|object| (object.value, object.version)))
            }
            Self::Metadata(client) => {
                let object = client.read(KIND, &document_name(shard)).await?;
                let object = object.map(|object| (object.spec, object.metadata.rev.unwrap_or_default()));
                Ok(object.map(|(value, revision)| (value, Revision(revision))))
            }
        }
    }

    async fn write(
        &self,
        shard: &ShardId,
        base: Option<Revision>,
        value: serde_json::Value,
    ) -> Result<(), WriteError> {
        match self {
            Self::Objects(client) => client.write(&document_key(shard), base, value).await.map(drop),
            Self::Metadata(client) => {
                let base = base.map(|revision| revision.0);
                client.write(KIND, &document_name(shard), base, value).await
            }
        }
    }
}

/// Replica set document with its stored version.
#[derive(Clone, Debug)]
pub(in crate::store) struct StoredDocument {
    pub(in crate::store) document: ReplicaSetDocument,
    pub(in crate::store) version: Revision,
}

/// Reads a shard's document; `None` if it does not exist.
pub(in crate::store) async fn read(
    client: &DocumentClient,
    shard: &ShardId,
) -> Result<Option<StoredDocument>, ReplicaSetError> {
    let key = document_key(shard);
    let Some((value, version)) = client.read(shard).await? else { return Ok(None) };
    let document = serde_json::from_value(value);
    let document = document.map_err(|source| ReplicaSetError::Unreadable { key, source })?;
    Ok(Some(StoredDocument { document, version }))
}

/// Writes a shard's document if its version is still `base`; `None` requires that it does not exist yet.
pub(in crate::store) async fn write(
    client: &DocumentClient,
    shard: &ShardId,
    base: Option<Revision>,
    document: &ReplicaSetDocument,
) -> Result<(), ReplicaSetError> {
    let key = document_key(shard);
    let value = serde_json::to_value(document);
    let value = value.map_err(|source| ReplicaSetError::Unreadable { key: key.clone(), source })?;
    client.write(shard, base, value).await?;
    Ok(())
}

fn document_key(shard: &ShardId) -> String {
    format!("{KIND}/{shard}")
}

/// Returns the name in the metadata store, where names can't contain slashes.
fn document_name(shard: &ShardId) -> String {
    shard.as_str().replace('/', ".")
}
