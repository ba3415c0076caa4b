//! Store file: opens it, checks its identity and runs transactions on it.
//!
//! `redb` keeps the file consistent: after a crash a transaction is either complete or absent, and pages have
//! checksums. A store without a file generates a new id and is a new store, even on a node that had one
//! before.

use std::fs::{self, File};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use lichenpulley_core::replication::replica_set::StoreId;
use redb::backends::FileBackend;
use redb::{Database, DatabaseError, Durability, StorageBackend, StorageError, TableDefinition};

use super::error::{DiskError, StoreError};
use super::transaction::Transaction;
use super::volume::{Growth, VolumeFile};

/// Name of the store file in the data folder.
pub(crate) const FILE_NAME: &str = "replicas.redb";
/// Name of the file until it is completely written.
const UNFINISHED_NAME: &str = "replicas.redb.new";
/// Format version that this release reads and writes.
const FORMAT_VERSION: u64 = 2;
/// Size of the page cache, in bytes.
const CACHE_BYTES: usize = 4 << 20;
/// Folder that some file systems create in an empty volume.
const LOST_AND_FOUND: &str = "lost+found";

const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");
const NAMES: TableDefinition<&str, &str> = TableDefinition::new("names");
const FORMAT_KEY: &str = "format";
const STORE_KEY: &str = "store";

/// Open store file.
pub(super) struct Disk {
    path: PathBuf,
    database: Database,
    store: StoreId,
    capacity_bytes: u64,
    growth: Growth,
}

impl Disk {
    /// Opens the store file in a folder, or creates it if the folder is empty.
    pub(super) fn open(folder: &Path, capacity_bytes: u64) -> Result<Self, StoreError> {
        let folder_error = |source| StoreError::Folder { folder: folder.to_owned(), source };
        fs::create_dir_all(folder).map_err(folder_error)?;
        let path = folder.join(FILE_NAME);
        let is_new = !path.try_exists().map_err(folder_error)?;
        if is_new {
            reject_foreign_files(folder)?;
            create_file(folder, &path)?;
        }
        let growth = Growth::default();
        let database = open_database(&path, &growth).map_err(|error| open_error(folder, error))?;
        Self::from_database(database, path, capacity_bytes, growth)
    }

    /// Wraps an open database after checking its format and reading its id.
    fn from_database(
        database: Database,
        path: PathBuf,
        capacity_bytes: u64,
        growth: Growth,
    ) -> Result<Self, StoreError> {
        let folder = path.parent().unwrap_or(&path);
        let damaged =
            |error: DiskError| StoreError::Damaged { folder: folder.to_owned(), reason: error.to_string() };
        let (format, store) = read_identity(&database).map_err(damaged)?;
        if format != FORMAT_VERSION {
            return Err(StoreError::Format {
                folder: folder.to_owned(),
                found: format,
                readable: FORMAT_VERSION,
            });
        }
        Ok(Self { path, database, store, capacity_bytes, growth })
    }

    /// Returns the id of the store that the file belongs to.
    pub(super) fn store(&self) -> &StoreId {
        &self.store
    }

    /// Runs `work` in a transaction. If it returns `Ok`, all its writes are on disk; otherwise none are
    /// applied.
    pub(super) fn transact<T>(
        &self,
        work: impl FnOnce(&mut Transaction<'_>) -> Result<T, DiskError>,
    ) -> Result<T, DiskError> {
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate);
        let mut transaction = Transaction::open(&write, self.capacity_bytes)?;
        if self.growth.is_exhausted() {
            transaction.limit_to_used()?;
        }
        let result = work(&mut transaction)?;
        let changed = transaction.finish()?;
        if changed {
            write.commit()?;
            self.growth.acknowledge();
        } else {
            write.abort()?;
        }
        Ok(result)
    }

    /// Reopens the file after a disk error, since `redb` refuses further transactions on the open database. Extends
    /// it if its volume refused to let it grow.
    pub(super) fn reopen(self) -> Result<Self, StoreError> {
        let Self { path, database, store, capacity_bytes, growth } = self;
        drop(database);
        let folder = path.parent().unwrap_or(&path).to_owned();
        let database = open_database(&path, &growth).map_err(|error| open_error(&folder, error))?;
        Ok(Self { path, database, store, capacity_bytes, growth })
    }
}

/// Opens the database in an existing store file.
fn open_database(path: &Path, growth: &Growth) -> Result<Database, DatabaseError> {
    let file = FileBackend::new(File::options().read(true).write(true).open(path)?)?;
    // `redb` would create a database in an empty file.
    if file.len()? == 0 {
        return Err(DatabaseError::Storage(StorageError::Io(ErrorKind::InvalidData.into())));
    }
    let file = VolumeFile::open(file, growth)?;
    Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(file)
}

/// Creates the store file under a temporary name and renames it once complete, so that an interrupted first
/// start can be repeated.
fn create_file(folder: &Path, path: &Path) -> Result<(), StoreError> {
    let folder_error = |source| StoreError::Folder { folder: folder.to_owned(), source };
    let unfinished = folder.join(UNFINISHED_NAME);
    if unfinished.try_exists().map_err(folder_error)? {
        fs::remove_file(&unfinished).map_err(folder_error)?;
    }
    let database = Database::builder().create(&unfinished).map_err(|error| open_error(folder, error))?;
    let written = write_identity(&database);
    written.map_err(|error| StoreError::Damaged { folder: folder.to_owned(), reason: error.to_string() })?;
    drop(database);
    fs::rename(&unfinished, path).map_err(folder_error)?;
    // The rename must be durable as well.
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(folder_error)
}

fn open_error(folder: &Path, error: DatabaseError) -> StoreError {
    let folder = folder.to_owned();
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { folder },
        DatabaseError::Storage(StorageError::Io(source))
            if source.kind() != std::io::ErrorKind::InvalidData
                && source.kind() != std::io::ErrorKind::UnexpectedEof =>
        {
            StoreError::Folder { folder, source }
        }
        other => StoreError::Damaged { folder, reason: other.to_string() },
    }
}

fn reject_foreign_files(folder: &Path) -> Result<(), StoreError> {
    let folder_error = |source| StoreError::Folder { folder: folder.to_owned(), source };
    for entry in fs::read_dir(folder).map_err(folder_error)? {
        let name = entry.map_err(folder_error)?.file_name();
        if name != LOST_AND_FOUND && name != UNFINISHED_NAME {
            let found = name.to_string_lossy().into_owned();
            return Err(StoreError::Foreign { folder: folder.to_owned(), found });
        }
    }
    Ok(())
}

fn write_identity(database: &Database) -> Result<(), DiskError> {
    let write = database.begin_write()?;
    {
        let store = format!("{:032x}", rand::random::<u128>());
        write.open_table(NUMBERS)?.insert(FORMAT_KEY, FORMAT_VERSION)?;
        write.open_table(NAMES)?.insert(STORE_KEY, store.as_str())?;
        Transaction::create_tables(&write)?;
    }
    Ok(write.commit()?)
}

fn read_identity(database: &Database) -> Result<(u64, StoreId), DiskError> {
    let read = database.begin_read()?;
    let missing = || DiskError::Damaged("the store's identity is missing".to_owned());
    let format = read.open_table(NUMBERS)?.get(FORMAT_KEY)?.ok_or_else(missing)?.value();
    let store = read.open_table(NAMES)?.get(STORE_KEY)?.ok_or_else(missing)?.value().to_owned();
    Ok((format, StoreId::new(store)))
}

#[cfg(test)]
mod tests;
