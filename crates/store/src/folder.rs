use std::{
    fs::{self, File, TryLockError},
    io,
    path::{Path, PathBuf},
};

use quorum::FolderId;

use crate::{
    Disk, Error, Result,
    frame::{self, HEADER_BYTES, Kind},
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
/// Extension of files whose write is not complete.
const TEMPORARY_EXTENSION: &str = "tmp";

/// A data folder, locked against use by other processes.
#[derive(Debug)]
pub(crate) struct Folder<D> {
    pub(crate) path: PathBuf,
    pub(crate) disk: D,
    _lock: File,
}

impl<D: Disk> Folder<D> {
    /// Creates the folder if missing and locks it.
    pub(crate) fn lock(path: &Path, disk: D) -> Result<Self> {
        fs::create_dir_all(path).map_err(Error::io("create", path))?;
        let name = path.join(LOCK_FILE);
        let lock = File::create(&name).map_err(Error::io("create", &name))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::locked(&name)),
            Err(TryLockError::Error(source)) => return Err(Error::io("lock", &name)(source)),
        }
        let folder = Self { path: path.into(), disk, _lock: lock };
        folder.remove_temporary_files()?;
        Ok(folder)
    }

    pub(crate) fn has_identity(&self) -> bool {
        self.path.join(IDENTITY_FILE).exists()
    }

    /// Returns the folder's identity; an empty folder is given `new_id`.
    pub(crate) fn identity(&self, new_id: FolderId, is_empty: bool) -> Result<FolderId> {
        let path = self.path.join(IDENTITY_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) if source.kind() == io::ErrorKind::NotFound && is_empty => {
                self.write_identity(new_id)?;
                return Ok(new_id);
            }
            Err(source) if source.kind() == io::ErrorKind::NotFound => {
                return Err(Error::damage(&path, 0, "the file is missing"));
            }
            Err(source) => return Err(Error::io("read", &path)(source)),
        };
        frame::check_header(&path, &bytes, Kind::Identity)?;
        let payload = frame::read(&bytes[HEADER_BYTES..]);
        let number = payload.and_then(|payload| payload.try_into().ok()).map(u64::from_le_bytes);
        let damage = || Error::damage(&path, HEADER_BYTES as u64, "invalid identity");
        number.map(FolderId::new).ok_or_else(damage)
    }

    /// Returns the files named `prefix-NUMBER`, sorted by number.
    pub(crate) fn numbered(&self, prefix: &str) -> Result<Vec<(u64, PathBuf)>> {
        let mut found: Vec<(u64, PathBuf)> = self
            .files()?
            .into_iter()
            .filter_map(|path| {
                let number = path.file_name()?.to_str()?.strip_prefix(prefix)?.strip_prefix('-')?;
                Some((number.parse().ok()?, path))
            })
            .collect();
        found.sort();
        Ok(found)
    }

    pub(crate) fn path_of(&self, prefix: &str, number: u64) -> PathBuf {
        self.path.join(format!("{prefix}-{number:020}"))
    }

    /// Writes a file under a temporary name, syncs it and renames it.
    pub(crate) fn write_file(&self, path: &Path, parts: &[&[u8]]) -> Result<File> {
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        let mut file = File::create(&temporary).map_err(Error::io("create", &temporary))?;
        for part in parts {
            self.disk.append(&mut file, part).map_err(Error::io("write", &temporary))?;
        }
        self.disk.sync(&file).map_err(Error::io("sync", &temporary))?;
        self.disk.rename(&temporary, path).map_err(Error::io("rename", &temporary))?;
        self.sync_entries()?;
        Ok(file)
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<()> {
        fs::remove_file(path).map_err(Error::io("remove", path))
    }

    pub(crate) fn sync_entries(&self) -> Result<()> {
        self.disk.sync_folder(&self.path).map_err(Error::io("sync", &self.path))
    }

    fn write_identity(&self, id: FolderId) -> Result<()> {
        let mut body = Vec::new();
        frame::push(&mut body, &id.as_u64().to_le_bytes());
        let header = frame::header(Kind::Identity);
        self.write_file(&self.path.join(IDENTITY_FILE), &[&header, &body])?;
        Ok(())
    }

    fn remove_temporary_files(&self) -> Result<()> {
        for path in self.files()? {
            if path.extension().is_some_and(|extension| extension == TEMPORARY_EXTENSION) {
                self.remove(&path)?;
            }
        }
        Ok(())
    }

    fn files(&self) -> Result<Vec<PathBuf>> {
        let listing = fs::read_dir(&self.path).map_err(Error::io("list", &self.path))?;
        let paths: io::Result<Vec<PathBuf>> =
            listing.map(|found| found.map(|found| found.path())).collect();
        paths.map_err(Error::io("list", &self.path))
    }
}
