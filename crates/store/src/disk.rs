use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

/// The writes to a disk, each of which may fail.
pub trait Disk {
    /// Writes `buf` at the end of `file`.
    ///
    /// # Errors
    ///
    /// Returns an error if not all of it was written.
    fn append(&self, file: &mut File, buf: &[u8]) -> io::Result<()>;

    /// Makes the content of `file` durable.
    ///
    /// # Errors
    ///
    /// Returns an error if it may not be durable.
    fn sync(&self, file: &File) -> io::Result<()>;

    /// Renames a file, replacing the target.
    ///
    /// # Errors
    ///
    /// Returns an error if the file was not renamed.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Makes the names in a folder durable.
    ///
    /// # Errors
    ///
    /// Returns an error if they may not be durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The disk as the operating system offers it.
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
