//! Store file on a volume that refuses a length which `redb` asks for.
//!
//! `redb` doubles its file when it needs space, so the volume can refuse the new length although it has room for
//! the next pages. The transaction then fails and the file is opened again. Before that it is extended by what the
//! volume grants, so that the transaction can be repeated.
//!
//! Invariant: a header that says that the file needs no repair reaches the disk after all other pages. `redb` writes
//! it and the state of its page allocators in any order before one sync.

use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

/// Least extension, in bytes. The file's length stays a multiple of the page size of `redb`.
const MINIMUM_EXTENSION_BYTES: u64 = 64 << 10;
/// Maximum length up to which a file is extended, in bytes: that of the first region of `redb`, within which it
/// adopts each length.
const MAXIMUM_LENGTH_BYTES: u64 = 4 << 30;

/// Share of the file's length that is reserved on the volume until nothing else is granted.
const RESERVE_SHARE: u64 = 32;
/// Least reserve, in bytes.
const MINIMUM_RESERVE_BYTES: u64 = 512 << 10;

/// Offset of the flags in the header of a file, in the format of `redb`.
const FLAGS_OFFSET: usize = 9;
/// Flag of a file that has to be repaired unless it is closed.
const REPAIR_FLAG: u8 = 2;

/// Growth of a store file, shared by the open file and its owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Growth(Arc<GrowthState>);

#[derive(Debug, Default)]
struct GrowthState {
    /// Length that the volume refused, zero if there is none.
    refused: AtomicU64,
    is_exhausted: AtomicBool,
}

impl Growth {
    /// Records a length that the volume refused.
    pub(super) fn refuse(&self, len: u64) {
        self.0.refused.store(len, Ordering::Relaxed);
    }

    /// Returns whether the volume has granted nothing but the reserve, until this is acknowledged.
    pub(super) fn is_exhausted(&self) -> bool {
        self.0.is_exhausted.load(Ordering::Relaxed)
    }

    /// Records that the volume is known to be exhausted.
    pub(super) fn acknowledge(&self) {
        self.0.is_exhausted.store(false, Ordering::Relaxed);
    }
}

/// Storage backend of a store file.
#[derive(Debug)]
pub(super) struct VolumeFile<F> {
    file: F,
    growth: Growth,
    /// Header without the repair flag that is written after the next sync.
    header: Mutex<Option<Vec<u8>>>,
}

impl<F: StorageBackend> VolumeFile<F> {
    /// Wraps an open store file. Extends it if a length was refused while it was open before: `redb` does not close
    /// a file after an error, and adopts the greater length while it repairs it.
    pub(super) fn open(file: F, growth: &Growth) -> io::Result<Self> {
        let wanted = growth.0.refused.swap(0, Ordering::Relaxed);
        if wanted > 0 && !extend(&file, wanted)? {
            growth.0.is_exhausted.store(true, Ordering::Relaxed);
        }
        Ok(Self { file, growth: growth.clone(), header: Mutex::default() })
    }

    fn header(&self) -> MutexGuard<'_, Option<Vec<u8>>> {
        self.header.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Extends a file by half of what is wanted, or by the greatest smaller part that the volume grants beside the
/// reserve. Extends it by the reserve and returns `false` if it grants nothing else.
fn extend(file: &impl StorageBackend, wanted: u64) -> io::Result<bool> {
    let len = file.len()?;
    let reserve = (len / RESERVE_SHARE).max(MINIMUM_RESERVE_BYTES);
    let is_extended = try_extend(file, wanted.saturating_sub(len) / 2, reserve)?;
    if !is_extended {
        try_extend(file, reserve, 0)?;
    }
    // `redb` adopts the length by a write, which must not reach the disk before it.
    file.sync_data(false)?;
    Ok(is_extended)
}

/// Extends a file by at most `extension` bytes so that the volume still grants `reserve` bytes.
fn try_extend(file: &impl StorageBackend, mut extension: u64, reserve: u64) -> io::Result<bool> {
    let len = file.len()?;
    while extension >= MINIMUM_EXTENSION_BYTES {
        extension -= extension % MINIMUM_EXTENSION_BYTES;
        let extended = len.saturating_add(extension);
        if extended <= MAXIMUM_LENGTH_BYTES {
            match file.set_len(extended.saturating_add(reserve)) {
                Ok(()) => return file.set_len(extended).map(|()| true),
                Err(error) if is_full(&error) => {}
                Err(error) => return Err(error),
            }
        }
        extension /= 2;
    }
    Ok(false)
}

fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}

impl<F: StorageBackend> StorageBackend for VolumeFile<F> {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let pending = self
            .header()
            .as_ref()
            .filter(|_| offset == 0)
            .and_then(|header| header.get(..len).map(<[u8]>::to_vec));
        pending.map_or_else(|| self.file.read(offset, len), Ok)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let result = self.file.set_len(len);
        if result.as_ref().is_err_and(is_full) {
            self.growth.refuse(len);
        }
        result
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.file.sync_data(eventual)?;
        match self.header().take() {
            Some(header) => {
                self.file.write(0, &header)?;
                self.file.sync_data(eventual)
            }
            None => Ok(()),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        if offset == 0 {
            let needs_repair = data.get(FLAGS_OFFSET).is_none_or(|flags| flags & REPAIR_FLAG != 0);
            let mut header = self.header();
            *header = (!needs_repair).then(|| data.to_vec());
            if header.is_some() {
                return Ok(());
            }
        }
        self.file.write(offset, data)
    }
}
