//! Tells other processes which ephemeral ports were bound.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use crate::error::LabError;

/// Writes bound addresses by name as a JSON object, such as `{"http": "127.0.0.1:40112"}`.
///
/// The file appears whole or not at all, so a reader may wait for it to exist.
///
/// # Errors
/// When the file can't be written or moved into place.
pub fn write_addresses_file(path: &Path, addresses: &BTreeMap<String, SocketAddr>) -> Result<(), LabError> {
    let written_as = |source| LabError::AddressesFile { path: path.to_owned(), source };
    let text = serde_json::to_string_pretty(addresses).map_err(|error| written_as(error.into()))?;
    let partial = path.with_extension("partial");
    std::fs::write(&partial, text).map_err(written_as)?;
    std::fs::rename(&partial, path).map_err(written_as)
}
