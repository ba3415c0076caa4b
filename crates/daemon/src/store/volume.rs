//! Store file on a volume that refuses a length which `redb` asks for.
//!
//! `redb` doubles its file when it needs space, so the volume can refuse the new length although it has room for
//! the next pages. The transaction then fails and the file is opened again. Before that it is extended by what the
//! volume grants, so that the transaction can be repeated.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use redb::StorageBackend;

/// Least extension, in bytes. The file's length stays a multiple of the page size of `redb`.
const MINIMUM_EXTENSION_BYTES: u64 = 64 << 10;
/// Maximum length up to which a file is extended, in bytes: that of the first region of `redb`, within which it
/// adopts each length.
const MAXIMUM_LENGTH_BYTES: u64 = 4 << 30;

/// Length that the volume refused last, zero if there is none. Shared with the open file.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedLength(Arc<AtomicU64>);

impl RefusedLength {
    pub(super) fn set(&self, len: u64) {
        self.0.store(len, Ordering::Relaxed);
    }

    fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Storage backend of a store file.
#[derive(Debug)]
pub(super) struct VolumeFile<F> {
    file: F,
    refused: RefusedLength,
}

impl<F: StorageBackend> VolumeFile<F> {
    /// Wraps an open store file. Extends it if a length was refused while it was open before: `redb` does not close
    /// a file after an error, and adopts the greater length while it repairs it.
    pub(super) fn open(file: F, refused: &RefusedLength) -> io::Result<Self> {
        let wanted = refused.take();
        if wanted > 0 {
            extend(&file, wanted)?;
        }
        Ok(Self { file, refused: refused.clone() })
    }
}

/// Extends a file by half of what is wanted, or by the greatest smaller part that the volume grants.
fn extend(file: &impl StorageBackend, wanted: u64) -> io::Result<()> {
    let len = file.len()?;
    let mut extension = wanted.saturating_sub(len) / 2;
    while extension >= MINIMUM_EXTENSION_BYTES {
        extension -= extension % MINIMUM_EXTENSION_BYTES;
        let extended = len.saturating_add(extension);
        if extended <= MAXIMUM_LENGTH_BYTES {
            match file.set_len(extended) {
                // `redb` adopts the length by a write, which must not reach the disk before it.
                Ok(()) => return file.sync_data(false),
                Err(error) if is_full(&error) => {}
                Err(error) => return Err(error),
            }
        }
        extension /= 2;
    }
    Ok(())
}

fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}

impl<F: StorageBackend> StorageBackend for VolumeFile<F> {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.file.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let result = self.file.set_len(len);
        if result.as_ref().is_err_and(is_full) {
            self.refused.set(len);
        }
        result
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.file.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write(offset, data)
    }
}
