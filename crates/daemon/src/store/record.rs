//! Records on disk: a checksum, then a `speedy` body.
//!
//! A record whose checksum differs is reported as damage and never used.

use speedy::{Readable, Writable};

use super::error::DiskError;

/// Bytes of the CRC-32 in front of a body.
const CHECKSUM_BYTES: usize = 4;

/// A body with its checksum in front.
pub(super) fn encode<T>(record: &T) -> Result<Vec<u8>, DiskError>
where
    T: Writable<speedy::LittleEndian>,
{
    let body = record.write_to_vec().map_err(|error| DiskError::Failed(error.to_string()))?;
    let mut bytes = Vec::with_capacity(CHECKSUM_BYTES + body.len());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The body, where it is the one that was written.
pub(super) fn decode<T>(bytes: &[u8]) -> Result<T, DiskError>
where
    T: for<'a> Readable<'a, speedy::LittleEndian>,
{
    let Some((checksum, body)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(DiskError::Damaged("a record is cut short".to_owned()));
    };
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(DiskError::Damaged("a record does not match its checksum".to_owned()));
    }
    T::read_from_buffer(body).map_err(|error| DiskError::Damaged(error.to_string()))
}
