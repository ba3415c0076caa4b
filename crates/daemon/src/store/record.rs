//! Format of records on disk: a CRC-32 of the body, then the body in `speedy` encoding.
//!
//! A record with a wrong checksum is reported as damaged.

use speedy::{Readable, Writable};

use super::error::DiskError;

/// Length of the CRC-32 before the body, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Encodes a record with its checksum.
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

/// Decodes a record and verifies its checksum.
pub(super) fn decode<T>(bytes: &[u8]) -> Result<T, DiskError>
where
    T: for<'a> Readable<'a, speedy::LittleEndian>,
{
    let Some((checksum, body)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(DiskError::Damaged("a record is truncated".to_owned()));
    };
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(DiskError::Damaged("a record does not match its checksum".to_owned()));
    }
    T::read_from_buffer(body).map_err(|error| DiskError::Damaged(error.to_string()))
}
