//! Calls of the platform's metadata store.
//!
//! Owns the address and time-outs; `platform/` decodes what the store answers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_platform::objects::{self, Events, List, Object};
use lichenpulley_platform::quarantine::QUARANTINE;
use serde_json::Value;

use crate::configuration::platform::{PlatformError, WriteError};
use crate::http::client::{ClientError, HttpClient};
use crate::settings::Settings;

/// How many times the usual time a watch of what changes rarely is held: one call in place of four. Chosen, not measured:
/// more leaves a watch whose connection has fallen silent unnoticed for longer, fewer costs priced calls.
const RARE_HOLDS: u32 = 4;

/// A client of the metadata store. Cheap to clone.
#[derive(Clone, Debug)]
pub struct MetadataClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    watch_hold: Duration,
}

/// What a watch gave.
#[derive(Debug)]
pub enum Watched {
    /// Changes; maybe none.
    Events(Events),
    /// The history from there on is gone: list again.
    HistoryGone,
}

impl MetadataClient {
    /// A client by the settings of this node; `None` where no metadata store is named there.
    pub fn from_settings(settings: &Settings) -> Option<Self> {
        let address = settings.platform.metadata_store?;
        let http = HttpClient::new(settings.peers.connect_timeout);
        let timeout = settings.configuration.platform_timeout;
        let watch_hold = settings.configuration.watch_hold;
        Some(Self { http, address, timeout, watch_hold })
    }

    /// Reads all objects of a kind; the revision is one that all of them are at least of.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn list(&self, kind: &str) -> Result<List, PlatformError> {
        self.list_pages(kind, objects::list_path).await
    }

    /// Reads all objects of a kind as they stood up to some seconds ago, which costs the store little.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub(crate) async fn list_stale(&self, kind: &str) -> Result<List, PlatformError> {
        self.list_pages(kind, objects::stale_list_path).await
    }

    async fn list_pages(
        &self,
        kind: &str,
        path_after: impl Fn(&str, Option<&str>) -> String,
    ) -> Result<List, PlatformError> {
        let mut all: Option<List> = None;
        loop {
            let after = all.as_ref().and_then(|list| list.items.last());
            let path = path_after(kind, after.map(|object| object.metadata.name.as_str()));
            let page: List = self.http.get_json(self.address, &path, self.timeout).await?;
            let is_last = !page.has_more || page.items.is_empty();
            match &mut all {
                Some(list) => {
                    // Pages may be of different times: the whole is no newer than the oldest.
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

    /// Waits for changes after a revision, for as long as watches of the kind are held.
    ///
    /// # Errors
    /// When the watch breaks off.
    pub async fn watch(&self, kind: &str, after: u64) -> Result<Watched, PlatformError> {
        self.watch_for(kind, after, self.hold(kind)).await
    }

    /// Reads what changed after a revision, without waiting.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn changes(&self, kind: &str, after: u64) -> Result<Watched, PlatformError> {
        self.watch_for(kind, after, Duration::ZERO).await
    }

    async fn watch_for(&self, kind: &str, after: u64, hold: Duration) -> Result<Watched, PlatformError> {
        let path = objects::watch_path(kind, after, hold.as_millis());
        let deadline = hold + self.timeout;
        match self.http.get_json(self.address, &path, deadline).await {
            Ok(events) => Ok(Watched::Events(events)),
            Err(error) if error.status() == Some(StatusCode::GONE) => Ok(Watched::HistoryGone),
            Err(error) => Err(error.into()),
        }
    }

    /// Evacuations and ended replicas are rare, and announced by whoever learns of one: a watch of them that
    /// is stuck does no harm, so that each is held for longer and costs fewer calls.
    fn hold(&self, kind: &str) -> Duration {
        if [objects::EVACUATIONS, QUARANTINE].contains(&kind) {
            (self.watch_hold * RARE_HOLDS).min(objects::MAX_WATCH_TIME).max(self.watch_hold)
        } else {
            self.watch_hold
        }
    }

    /// Reads an object; `None` where there is none.
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

    /// Asks for an answer that costs the store little, to see whether it can be reached.
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

    /// Replaces what stands in an object, whatever its revision.
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

/// Invariant: `NotWritten` only where no byte was sent or the platform itself said so.
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
