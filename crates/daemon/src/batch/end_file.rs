//! The file in which a store keeps the ends that it holds for other nodes, so that they survive a power loss of all nodes.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use lichenpulley_protocol::internal::HoldEnd;
use speedy::{Readable, Writable};

const FILE_NAME: &str = "pending-ends";

/// The file of a store's pending ends.
pub(super) struct EndFile {
    path: PathBuf,
    /// The ends in the file.
    written: Vec<HoldEnd>,
}

impl EndFile {
    /// Returns the file in a store's data folder, without having read it.
    pub(super) fn in_folder(folder: &Path) -> Self {
        Self { path: folder.join(FILE_NAME), written: Vec::new() }
    }

    /// Reads the ends; none if there is no file.
    ///
    /// # Errors
    /// Fails when the file can't be read or decoded.
    pub(super) fn read(&mut self) -> io::Result<&[HoldEnd]> {
        match fs::read(&self.path) {
            Ok(bytes) => self.written = Vec::read_from_buffer(&bytes).map_err(io::Error::other)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
        Ok(&self.written)
    }

    /// Returns whether an end is in the file.
    pub(super) fn holds(&self, end: &HoldEnd) -> bool {
        self.written.contains(end)
    }

    /// Replaces the ends. They are on disk when this returns.
    ///
    /// # Errors
    /// Fails when the file can't be written; the earlier ends then remain.
    pub(super) fn write(&mut self, ends: Vec<HoldEnd>) -> io::Result<()> {
        let bytes = ends.write_to_vec().map_err(io::Error::other)?;
        let next = self.path.with_extension("next");
        let mut file = File::create(&next)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&next, &self.path)?;
        self.path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())?;
        self.written = ends;
        Ok(())
    }
}
