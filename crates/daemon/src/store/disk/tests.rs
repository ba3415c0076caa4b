//! Tests that the store file survives crashes at any write and detects truncation, damage and full disks.

use std::io;
use std::sync::{Arc, Mutex};

use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::entry::{Entry, LogIndex, Payload};
use lichenpulley_core::replication::storage::ShardStorage;
use redb::StorageBackend;
use tempfile::TempDir;

use super::*;

mod full_volume;

const CAPACITY_BYTES: u64 = 1 << 20;
const ENTRIES: u64 = 4;

/// File that loses its cached writes at a crash and writes only half of the operation that the crash
/// interrupts.
#[derive(Clone, Debug, Default)]
struct CrashingFile {
    state: Arc<Mutex<FileState>>,
}

#[derive(Debug, Default)]
struct FileState {
    cached: Vec<u8>,
    synced: Vec<u8>,
    operations: u64,
    /// Number of the operation at which the crash occurs.
    crash_at: Option<u64>,
    /// Maximum file size, in bytes.
    max_bytes: Option<u64>,
}

impl FileState {
    /// Counts an operation; returns an error from the crash on.
    fn operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.crash_at {
            Some(crash_at) if self.operations >= crash_at => Err(io::Error::other("crashed")),
            _ => Ok(()),
        }
    }
}

impl StorageBackend for CrashingFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state.lock().expect("no panic inside").cached.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let state = self.state.lock().expect("no panic inside");
        let start = usize::try_from(offset).expect("a small file");
        state
            .cached
            .get(start..start + len)
            .map(<[u8]>::to_vec)
            .ok_or_else(|| io::Error::other("past the end"))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state.lock().expect("no panic inside");
        state.operation()?;
        if state.max_bytes.is_some_and(|max_bytes| len > max_bytes) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        state.cached.resize(usize::try_from(len).expect("a small file"), 0);
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut state = self.state.lock().expect("no panic inside");
        state.operation()?;
        state.synced = state.cached.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state.lock().expect("no panic inside");
        let start = usize::try_from(offset).expect("a small file");
        let written = match state.operation() {
            Ok(()) => data.len(),
            Err(_) => data.len() / 2,
        };
        state.cached[start..start + written].copy_from_slice(&data[..written]);
        if written < data.len() { Err(io::Error::other("crashed")) } else { Ok(()) }
    }
}

fn shard() -> ShardId {
    ShardId::new("job/pricing")
}

fn entry(index: u64) -> Entry {
    Entry { epoch: Epoch(1), payload: Payload::Record { origin: Epoch(1), bytes: vec![index as u8; 300] } }
}

fn open(file: &CrashingFile, is_new: bool) -> Result<Disk, StoreError> {
    open_after(file, Growth::default(), is_new)
}

/// Opens a file of which a length may have been refused before.
fn open_after(file: &CrashingFile, growth: Growth, is_new: bool) -> Result<Disk, StoreError> {
    let failed = |error: DatabaseError| open_error(Path::new("memory"), error);
    let volume = VolumeFile::open(file.clone(), &growth).map_err(|error| failed(error.into()))?;
    let database = Database::builder().create_with_backend(volume).map_err(failed)?;
    if is_new {
        write_identity(&database).expect("enough space");
    }
    Disk::from_database(database, PathBuf::from("memory"), CAPACITY_BYTES, growth)
}

fn put(disk: &Disk, index: u64) -> Result<(), DiskError> {
    disk.transact(|transaction| transaction.put_entry(&shard(), LogIndex(index), &entry(index)))
}

fn last_index(disk: &Disk) -> u64 {
    let last = disk.transact(|transaction| transaction.last_index(&shard()));
    last.expect("readable").0
}

/// Writes entries until the crash; returns the number of acknowledged entries and the file.
fn write_until_crash(crash_after: u64) -> (u64, CrashingFile) {
    let file = CrashingFile::default();
    let disk = open(&file, true).expect("a new file");
    {
        let mut state = file.state.lock().expect("no panic inside");
        state.crash_at = Some(state.operations + crash_after);
    }
    let acknowledged = (1..=ENTRIES).take_while(|index| put(&disk, *index).is_ok()).count();
    drop(disk);
    (acknowledged as u64, file)
}

#[test]
fn acknowledged_entries_survive_a_crash_at_any_operation() {
    let mut crashed = 0;
    for crash_after in (1..80).step_by(5) {
        let (acknowledged, file) = write_until_crash(crash_after);
        // A crash may lose unsynced writes or keep some of them; the file must open in both cases.
        for keeps_cached in [false, true] {
            let mut state = FileState::default();
            {
                let old = file.state.lock().expect("no panic inside");
                state.cached = if keeps_cached { old.cached.clone() } else { old.synced.clone() };
                state.synced = state.cached.clone();
            }
            let disk = open(&CrashingFile { state: Arc::new(Mutex::new(state)) }, false).expect("opens");
            let found = last_index(&disk);
            assert!(found >= acknowledged, "{found} of {acknowledged} after operation {crash_after}");
            assert!(found <= acknowledged + 1);
        }
        crashed += u64::from(acknowledged < ENTRIES);
    }
    assert!(crashed > 0, "some crashes must interrupt the writes");
}

/// Writes entries to a file that may grow by half until the second transaction fails on the full volume, or until
/// the crash. Returns the number of acknowledged entries, the file, and the number of the operation at which the
/// first transaction failed.
fn fill_volume(crash_at: Option<u64>) -> (u64, CrashingFile, u64) {
    let (file, growth) = (CrashingFile::default(), Growth::default());
    let mut disk = open_after(&file, growth.clone(), true).expect("a new file");
    {
        let mut state = file.state.lock().expect("no panic inside");
        state.max_bytes = Some(state.cached.len() as u64 / 2 * 3);
        state.crash_at = crash_at;
    }
    let (mut acknowledged, mut full_at) = (0, None);
    loop {
        let large = Payload::Record { origin: Epoch(1), bytes: vec![7; 30_000] };
        let large = Entry { epoch: Epoch(1), payload: large };
        let index = LogIndex(acknowledged + 1);
        if disk.transact(|disk| disk.put_entry(&shard(), index, &large)).is_ok() {
            acknowledged += 1;
            continue;
        }
        drop(disk);
        let operations = file.state.lock().expect("no panic inside").operations;
        match open_after(&file, growth.clone(), false) {
            Ok(opened) if full_at.is_none() => disk = opened,
            _ => return (acknowledged, file, full_at.unwrap_or(operations)),
        }
        full_at = Some(operations);
    }
}

#[test]
fn acknowledged_entries_survive_a_crash_while_a_file_is_extended() {
    let (entries, _, full_at) = fill_volume(None);
    let mut lengths = std::collections::BTreeSet::new();
    // The last transaction, the extension, and the repair that adopts it.
    for crash_at in (full_at - 4)..=(full_at + 16) {
        let (acknowledged, file, _) = fill_volume(Some(crash_at));
        assert!(acknowledged < entries);
        for keeps_cached in [false, true] {
            let mut state = FileState::default();
            {
                let old = file.state.lock().expect("no panic inside");
                state.cached = if keeps_cached { old.cached.clone() } else { old.synced.clone() };
                state.synced = state.cached.clone();
            }
            lengths.insert(state.cached.len());
            let disk = open(&CrashingFile { state: Arc::new(Mutex::new(state)) }, false).expect("opens");
            let found = last_index(&disk);
            assert!(found == acknowledged || found == acknowledged + 1, "{found} after {acknowledged}");
        }
    }
    assert!(lengths.len() > 1, "some crashes must come before and some after the extension");
}

#[test]
fn acknowledged_entries_survive_a_crash_while_a_file_is_repaired() {
    for crash_at in (1..=6).cycle().take(60) {
        let (acknowledged, file) = write_until_crash(20);
        let crashed = |crash_at| {
            let mut state = file.state.lock().expect("no panic inside");
            state.synced = state.cached.clone();
            (state.operations, state.crash_at) = (0, crash_at);
        };
        crashed(Some(crash_at));
        drop(open(&file, false));
        crashed(None);
        let disk = open(&file, false).expect("opens");
        assert!(last_index(&disk) >= acknowledged);
    }
}

#[test]
fn an_extended_file_is_read_without_the_extension() {
    let folder = TempDir::new().expect("a folder");
    let disk = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store");
    put(&disk, 1).expect("enough space");
    // A copy of the open file is a file that was not closed.
    let path = folder.path().join("copy");
    let before = fs::copy(folder.path().join(FILE_NAME), &path).expect("copied");
    let growth = Growth::default();
    growth.refuse(2 * before);
    let database = open_database(&path, &growth).expect("opens");
    assert!(path.metadata().expect("the file").len() > before);
    let disk = Disk::from_database(database, path.clone(), CAPACITY_BYTES, growth).expect("readable");
    put(&disk, 2).expect("enough space");
    drop(disk);
    let database = Database::open(&path).expect("opens");
    let disk = Disk::from_database(database, path, CAPACITY_BYTES, Growth::default());
    assert_eq!(last_index(&disk.expect("readable")), 2);
}

#[test]
fn an_empty_store_file_is_rejected() {
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join(FILE_NAME), b"").expect("written");
    let refused = Disk::open(folder.path(), CAPACITY_BYTES);
    assert!(matches!(refused, Err(StoreError::Damaged { .. })), "{:?}", refused.err());
}

#[test]
fn a_full_disk_rejects_writes_and_keeps_existing_entries() {
    let file = CrashingFile::default();
    let disk = open(&file, true).expect("a new file");
    put(&disk, 1).expect("enough space");
    {
        let mut state = file.state.lock().expect("no panic inside");
        state.max_bytes = Some(state.cached.len() as u64);
    }
    let mut index = 2;
    let error = loop {
        match put(&disk, index) {
            Ok(()) => index += 1,
            Err(error) => break error,
        }
        assert!(index < 100_000, "the disk never filled up");
    };
    assert!(matches!(error, DiskError::Full), "{error:?}");
    drop(disk);
    let disk = open(&file, false).expect("opens again");
    assert_eq!(last_index(&disk), index - 1);
}

#[test]
fn a_truncated_file_is_rejected() {
    let folder = TempDir::new().expect("a folder");
    let disk = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store");
    put(&disk, 1).expect("enough space");
    drop(disk);
    let path = folder.path().join(FILE_NAME);
    let file = File::options().write(true).open(&path).expect("the file");
    file.set_len(100).expect("cut");
    let refused = Disk::open(folder.path(), CAPACITY_BYTES);
    assert!(matches!(refused, Err(StoreError::Damaged { .. })), "{:?}", refused.err());
}

#[test]
fn a_corrupted_record_is_reported_as_damaged() {
    let folder = TempDir::new().expect("a folder");
    let disk = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store");
    put(&disk, 7).expect("enough space");
    drop(disk);
    let path = folder.path().join(FILE_NAME);
    let mut bytes = fs::read(&path).expect("the file");
    let body = bytes.windows(200).position(|window| window.iter().all(|byte| *byte == 7)).expect("the body");
    bytes[body + 50] ^= 1;
    fs::write(&path, bytes).expect("written");
    let read =
        Disk::open(folder.path(), CAPACITY_BYTES).map_err(|error| DiskError::Damaged(error.to_string()));
    let read = read.and_then(|disk| disk.transact(|transaction| transaction.entry(&shard(), LogIndex(7))));
    assert!(matches!(read, Err(DiskError::Damaged(_))), "{read:?}");
}

#[test]
fn a_folder_with_foreign_files_is_rejected() {
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join("photos.zip"), b"...").expect("written");
    let refused = Disk::open(folder.path(), CAPACITY_BYTES);
    assert!(matches!(refused, Err(StoreError::Foreign { .. })), "{:?}", refused.err());
}

#[test]
fn a_folder_in_use_is_rejected() {
    let folder = TempDir::new().expect("a folder");
    let _disk = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store");
    let refused = Disk::open(folder.path(), CAPACITY_BYTES);
    assert!(matches!(refused, Err(StoreError::InUse { .. })), "{:?}", refused.err());
}

#[test]
fn a_store_keeps_its_id_and_an_empty_folder_gets_a_new_one() {
    let folder = TempDir::new().expect("a folder");
    let first = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store").store().clone();
    let again = Disk::open(folder.path(), CAPACITY_BYTES).expect("the same store").store().clone();
    assert_eq!(first, again);
    fs::remove_file(folder.path().join(FILE_NAME)).expect("removed");
    let other = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store").store().clone();
    assert_ne!(first, other);
}

#[test]
fn an_interrupted_first_start_is_repeated() {
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join(UNFINISHED_NAME), b"half a file").expect("written");
    let disk = Disk::open(folder.path(), CAPACITY_BYTES).expect("a new store");
    put(&disk, 1).expect("enough space");
}

#[test]
fn free_bytes_account_for_stored_entries() {
    let folder = TempDir::new().expect("a folder");
    let disk = Disk::open(folder.path(), 4_000).expect("a new store");
    let (free, has_room) =
        disk.transact(|disk| Ok((disk.free_bytes(), disk.has_room(4_000)))).expect("readable");
    assert_eq!((free, has_room), (3_000, true));
    put(&disk, 1).expect("enough space");
    let used = entry(1).cost() as u64;
    let (free, has_room) =
        disk.transact(|disk| Ok((disk.free_bytes(), disk.has_room(4_000)))).expect("readable");
    assert_eq!((free, has_room), (3_000 - used, false));
    disk.transact(|disk| disk.remove_entries_before(&shard(), LogIndex(2))).expect("removed");
    assert_eq!(disk.transact(|disk| Ok(disk.free_bytes())).expect("readable"), 3_000);
}
