//! Clients of the platform's object API and machine list.
//!
//! Errors of writes distinguish writes that had no effect from writes that may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::platform::{Conflict, MachineList, Object, ObjectList, PutObject};

use crate::http::client::{ClientError, HttpClient};
use crate::http::request::percent_encode;
use crate::settings::Settings;

/// A read to which the platform gave no usable answer.
#[derive(Debug, thiserror::Error)]
#[error("the platform gave no answer: {0}; what was read before stays in force, try again later")]
pub struct PlatformError(#[from] ClientError);

/// Why a write was not confirmed.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The base version is not current; nothing was written.
    #[error("the object changed meanwhile; read it again and repeat the change on top of it")]
    Conflict {
        /// The current object, if there is one.
        current: Option<Object>,
    },
    /// Certainly nothing was written.
    #[error("nothing was written: {0}; try again when the object API answers")]
    NotWritten(ClientError),
    /// The write may have taken effect. Read the object to find out; repeating it on the same base version is
    /// safe, since it takes effect at most once.
    #[error("the write may have taken effect: {0}; read the object to find out")]
    InDoubt(ClientError),
}

/// Client of the object API. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    watch_hold: Duration,
}

impl ObjectClient {
    /// Creates a client from the node's settings; `None` if they name no object API.
    pub fn from_settings(settings: &Settings) -> Option<Self> {
        let address = settings.platform.object_api?;
        let http = HttpClient::new(settings.peers.connect_timeout);
        let timeout = settings.configuration.platform_timeout;
        let watch_hold = settings.configuration.watch_hold;
        Some(Self { http, address, timeout, watch_hold })
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = object_path(key);
        match self.http.get_json(self.address, &path, self.timeout).await {
            Ok(object) => Ok(Some(object)),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads every object whose key begins with `prefix`.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let path = format!("/objects?prefix={}", percent_encode(prefix));
        Ok(self.http.get_json(self.address, &path, self.timeout).await?)
    }

    /// Waits until objects under `prefix` have versions above `after`, and returns these objects. Returns an
    /// empty list if nothing has changed within the hold time; continue the watch from the list's revision.
    ///
    /// # Errors
    /// When the watch is interrupted.
    pub async fn watch(&self, prefix: &str, after: Revision) -> Result<ObjectList, PlatformError> {
        let hold_ms = self.watch_hold.as_millis();
        let prefix = percent_encode(prefix);
        let path = format!("/watch?prefix={prefix}&after={after}&hold_ms={hold_ms}");
        let deadline = self.watch_hold + self.timeout;
        Ok(self.http.get_json(self.address, &path, deadline).await?)
    }

    /// Writes an object if its version is still `base_version`; `None` creates it.
    ///
    /// # Errors
    /// Tells apart what was refused, what was not written, and what may have been written.
    pub async fn write(
        &self,
        key: &str,
        base_version: Option<Revision>,
        value: serde_json::Value,
    ) -> Result<Object, WriteError> {
        let change = PutObject { base_version, value };
        let path = object_path(key);
        match self.http.put_json(self.address, &path, &change, self.timeout).await {
            Ok(object) => Ok(object),
            Err(error) => Err(classify(error)),
        }
    }
}

/// Client of the machine list. Cheap to clone.
#[derive(Clone, Debug)]
pub struct MachineListClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl MachineListClient {
    /// Creates a client from the node's settings; `None` if they name no machine list.
    pub fn from_settings(settings: &Settings) -> Option<Self> {
        let address = settings.platform.machine_list?;
        let http = HttpClient::new(settings.peers.connect_timeout);
        Some(Self { http, address, timeout: settings.configuration.platform_timeout })
    }

    /// Reads the machine list, which may lag behind the actual machines.
    ///
    /// # Errors
    /// When no answer comes in time.
    pub async fn read(&self) -> Result<MachineList, PlatformError> {
        Ok(self.http.get_json(self.address, "/machines", self.timeout).await?)
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", percent_encode(key))
}

/// Classifies a failed write. `NotWritten` is returned only if no byte was sent or the platform refused the
/// write.
fn classify(error: ClientError) -> WriteError {
    if let Some(conflict) = error.body::<Conflict>().filter(|_| error.status() == Some(StatusCode::CONFLICT))
    {
        return WriteError::Conflict { current: conflict.current };
    }
    let refused = error.status().is_some_and(|status| status.is_client_error());
    if refused || error.nothing_sent() { WriteError::NotWritten(error) } else { WriteError::InDoubt(error) }
}
