//! Client of the platform's metadata store.
//!
//! Holds the address and the timeouts; the `platform` crate defines paths and formats.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_platform::objects::{self, Events, List, Object};
use lichenpulley_platform::quarantine::QUARANTINE;
use serde_json::Value;

use crate::configuration::platform::{PlatformError, WriteError};
use crate::http::client::{ClientError, HttpClient};
use crate::settings::Settings;

/// Factor by which watches of rarely changing kinds are held longer than others, which saves calls to the
/// store.
const RARE_KIND_HOLD_FACTOR: u32 = 4;

/// Client of the metadata store. Cheap to clone.
#[derive(Clone, Debug)]
pub struct MetadataClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    watch_hold: Duration,
}

/// Result of a watch.
#[derive(Debug)]
pub enum WatchResult {
    /// Changes, possibly none.
    Events(Events),
    /// The store no longer has the history since the revision; list again.
    HistoryGone,
}

impl MetadataClient {
    /// Creates a client from the node's settings; `None` if they name no metadata store.
    pub fn from_settings(settings: &Settings) -> Option<Self> {
        let address = settings.platform.metadata_store?;
        let http = HttpClient::new(settings.peers.connect_timeout);
        let timeout = settings.configuration.platform_timeout;
        let watch_hold = settings.configuration.watch_hold;
        Some(Self { http, address, timeout, watch_hold })
    }

    /// Reads the first page of a kind's objects from the store's cache. The list may be some seconds old, but
    /// costs the store little.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub(crate) async fn list_stale_page(&self, kind: &str) -> Result<List, PlatformError> {
        Ok(self.http.get_json(self.address, &objects::stale_list_path(kind), self.timeout).await?)
    }

    /// Reads all objects of a kind. Every object is at least as new as the list's revision.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn list(&self, kind: &str) -> Result<List, PlatformError> {
        let mut all: Option<List> = None;
        loop {
            let after = all.as_ref().and_then(last_name);
            let path = objects::list_path(kind, after);
            let page: List = self.http.get_json(self.address, &path, self.timeout).await?;
            // A store that does not find its place by a foreign writer's name would repeat a page forever.
            let is_last = !page.has_more || last_name(&page).is_none() || last_name(&page) == after;
            match &mut all {
                Some(list) => {
                    // Pages may have different revisions; the list is only as new as its oldest page.
                    list.at = list.at.min(page.at);
                    list.items.extend(page.items);
                }
                None => all = Some(page),
            }
            if let Some(list) = all.take_if(|_| is_last) {
                return Ok(list);
            }
        }
    }

    /// Waits for changes after a revision, up to the hold time of the kind.
    ///
    /// # Errors
    /// When the watch is interrupted.
    pub async fn watch(&self, kind: &str, after: u64) -> Result<WatchResult, PlatformError> {
        self.watch_for(kind, after, self.watch_hold_for(kind)).await
    }

    /// Reads the changes after a revision without waiting for new ones.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn changes(&self, kind: &str, after: u64) -> Result<WatchResult, PlatformError> {
        self.watch_for(kind, after, Duration::ZERO).await
    }

    async fn watch_for(&self, kind: &str, after: u64, hold: Duration) -> Result<WatchResult, PlatformError> {
        let path = objects::watch_path(kind, after, hold.as_millis());
        let deadline = hold + self.timeout;
        match self.http.get_json(self.address, &path, deadline).await {
            Ok(events) => Ok(WatchResult::Events(events)),
            Err(error) if error.status() == Some(StatusCode::GONE) => Ok(WatchResult::HistoryGone),
            Err(error) => Err(error.into()),
        }
    }

    /// Returns how long a watch of a kind is held. Evacuations and quarantine records are rare, and every
    /// node that learns of one announces it, so a stuck watch of them does no harm and can be held longer.
    fn watch_hold_for(&self, kind: &str) -> Duration {
        if [objects::EVACUATIONS, QUARANTINE].contains(&kind) {
            (self.watch_hold * RARE_KIND_HOLD_FACTOR).min(objects::MAX_WATCH_TIME).max(self.watch_hold)
        } else {
            self.watch_hold
        }
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let path = objects::object_path(kind, name);
        match self.http.get_json(self.address, &path, self.timeout).await {
            Ok(object) => Ok(Some(object)),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Checks with a cheap read whether the store can be reached.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn probe(&self) -> Result<(), PlatformError> {
        let path = objects::stale_object_path(objects::CONFIGURATION, objects::CONFIGURATION_NAME);
        match self.http.get_json::<Value>(self.address, &path, self.timeout).await {
            Ok(_) => Ok(()),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Writes an object if its revision is still `base`; `None` creates it.
    ///
    /// # Errors
    /// Tells apart what was refused, what was not written, and what may have been written.
    pub async fn write(
        &self,
        kind: &str,
        name: &str,
        base: Option<u64>,
        spec: Value,
    ) -> Result<(), WriteError> {
        let body = objects::write_body(name, base, spec);
        let written: Result<Value, ClientError> = match base {
            None => {
                self.http.post_json(self.address, &objects::list_path(kind, None), &body, self.timeout).await
            }
            Some(_) => {
                self.http.put_json(self.address, &objects::object_path(kind, name), &body, self.timeout).await
            }
        };
        written.map(drop).map_err(classify)
    }

    /// Replaces the content of an object, whatever its revision.
    ///
    /// # Errors
    /// As for [`Self::write`].
    pub async fn replace(&self, kind: &str, name: &str, spec: Value) -> Result<(), WriteError> {
        let body = objects::write_body(name, None, spec);
        let path = objects::object_path(kind, name);
        let written: Result<Value, ClientError> =
            self.http.put_json(self.address, &path, &body, self.timeout).await;
        written.map(drop).map_err(classify)
    }

    /// Removes an object.
    ///
    /// # Errors
    /// As for [`Self::write`].
    pub async fn delete(&self, kind: &str, name: &str) -> Result<(), WriteError> {
        let path = objects::object_path(kind, name);
        self.http.delete(self.address, &path, self.timeout).await.map_err(classify)
    }

    /// Replaces an object's status.
    ///
    /// # Errors
    /// As for [`Self::write`].
    pub(crate) async fn write_status(
        &self,
        object: &Object,
        kind: &str,
        status: Value,
    ) -> Result<(), WriteError> {
        let mut body = object.clone();
        body.status = status;
        let path = objects::status_path(kind, &object.metadata.name);
        let written: Result<Value, ClientError> =
            self.http.put_json(self.address, &path, &body, self.timeout).await;
        written.map(drop).map_err(classify)
    }
}

fn last_name(list: &List) -> Option<&str> {
    list.items.last().map(|object| object.metadata.name.as_str())
}

/// Classifies a failed write. `NotWritten` is returned only if no byte was sent or the platform refused the
/// write.
fn classify(error: ClientError) -> WriteError {
    match error.status() {
        Some(StatusCode::CONFLICT) => WriteError::Conflict { current: None },
        Some(status) if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            WriteError::NotWritten(error)
        }
        _ if error.nothing_sent() => WriteError::NotWritten(error),
        _ => WriteError::InDoubt(error),
    }
}
