use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

/// Write operations of a disk, each of which may fail.
pub trait Disk {
    /// Writes `buf` at the end of `file`.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` was not written completely.
    fn append(&self, file: &mut File, buf: &[u8]) -> io::Result<()>;

    /// Makes the content of `file` durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the content may not be durable.
    fn sync(&self, file: &File) -> io::Result<()>;

    /// Renames a file, replacing the target.
    ///
    /// # Errors
    ///
    /// Returns an error if the file was not renamed.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Makes the directory entries of a folder durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the entries may not be durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A disk accessed through the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealDisk;

impl Disk for RealDisk {
    fn append(&self, file: &mut File, buf: &[u8]) -> io::Result<()> {
        file.write_all(buf)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}
