use std::{fs, io, path::Path};

use crate::{
    Disk, Error, Result,
    folder::Folder,
    frame::{self, HEADER_BYTES, Kind},
};

const FILE_NAME: &str = "document";

/// A small file that is replaced atomically, in a folder of its own.
///
/// A reader finds either the content before a replacement or the one after it, never a mix.
#[derive(Debug)]
pub struct Document<D> {
    folder: Folder<D>,
}

impl<D: Disk> Document<D> {
    /// Opens the folder, which is created if missing, and reads the content.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used, another process uses it, or the file is
    /// damaged.
    pub fn open(path: &Path, disk: D) -> Result<(Self, Option<Vec<u8>>)> {
        let document = Self { folder: Folder::lock(path, disk)? };
        let content = document.read()?;
        Ok((document, content))
    }

    /// Replaces the content, which is durable on return.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown which of the two contents a later read finds.
    pub fn write(&self, content: &[u8]) -> Result<()> {
        let mut body = Vec::new();
        frame::push(&mut body, content);
        let path = self.folder.path.join(FILE_NAME);
        self.folder.write_file(&path, &[&frame::header(Kind::Document), &body])?;
        Ok(())
    }

    fn read(&self) -> Result<Option<Vec<u8>>> {
        let path = self.folder.path.join(FILE_NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(Error::io("read", &path)(e)),
        };
        frame::check_header(&path, &bytes, Kind::Document)?;
        let content = frame::read(&bytes[HEADER_BYTES..]);
        let damage = || Error::damage(&path, HEADER_BYTES as u64, "checksum mismatch");
        content.map(|content| Some(content.to_vec())).ok_or_else(damage)
    }
}
