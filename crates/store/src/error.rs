use std::{
    error, fmt, io,
    path::{Path, PathBuf},
    result,
};

/// The result of an operation on the data folder.
pub type Result<T> = result::Result<T, Error>;

/// A failed operation on the data folder.
#[derive(Debug)]
pub struct Error(Box<Failure>);

/// The category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The operating system refused to read or write.
    Io,
    /// The disk is full.
    Full,
    /// Stored data can't be read back.
    Damage,
    /// A file has a format version that is unknown to this version of the program.
    Version,
    /// Another process uses the folder.
    Locked,
    /// An earlier write or sync failed.
    Poisoned,
}

#[derive(Debug)]
enum Failure {
    Io { operation: &'static str, path: PathBuf, source: io::Error },
    Damage { path: PathBuf, offset: u64, reason: &'static str },
    Version { path: PathBuf, found: u32 },
    Locked { path: PathBuf },
    Poisoned,
}

impl Error {
    /// Returns the category of the failure.
    pub fn category(&self) -> Category {
        match &*self.0 {
            Failure::Io { source, .. } if is_full(source) => Category::Full,
            Failure::Io { .. } => Category::Io,
            Failure::Damage { .. } => Category::Damage,
            Failure::Version { .. } => Category::Version,
            Failure::Locked { .. } => Category::Locked,
            Failure::Poisoned => Category::Poisoned,
        }
    }

    /// Returns whether stored data can't be read back.
    pub fn is_damage(&self) -> bool {
        self.category() == Category::Damage
    }

    /// Returns whether the disk is full.
    pub fn is_full(&self) -> bool {
        self.category() == Category::Full
    }

    /// Returns whether another process uses the folder.
    pub fn is_locked(&self) -> bool {
        self.category() == Category::Locked
    }

    /// Returns whether an earlier write or sync failed.
    pub fn is_poisoned(&self) -> bool {
        self.category() == Category::Poisoned
    }

    pub(crate) fn io(operation: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self(Box::new(Failure::Io { operation, path: path.into(), source }))
    }

    pub(crate) fn damage(path: &Path, offset: u64, reason: &'static str) -> Self {
        Self(Box::new(Failure::Damage { path: path.into(), offset, reason }))
    }

    pub(crate) fn version(path: &Path, found: u32) -> Self {
        Self(Box::new(Failure::Version { path: path.into(), found }))
    }

    pub(crate) fn locked(path: &Path) -> Self {
        Self(Box::new(Failure::Locked { path: path.into() }))
    }

    pub(crate) fn poisoned() -> Self {
        Self(Box::new(Failure::Poisoned))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.0 {
            Failure::Io { operation, path, source } => {
                write!(f, "cannot {operation} {}: {source}", path.display())
            }
            Failure::Damage { path, offset, reason } => write!(
                f,
                "{} is damaged at byte {offset} ({reason}); remove this host from the voters, \
                 move the data folder away, start with an empty one and add the host again",
                path.display()
            ),
            Failure::Version { path, found } => write!(
                f,
                "{} has format version {found}, which is unknown to this version of the program; \
                 start the version that wrote it",
                path.display()
            ),
            Failure::Locked { path } => {
                write!(
                    f,
                    "{} is locked by another process; only one process can use a data folder",
                    path.display()
                )
            }
            Failure::Poisoned => f.write_str(
                "an earlier write or sync of the data folder failed; repair the disk and restart",
            ),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match &*self.0 {
            Failure::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}

fn is_full(source: &io::Error) -> bool {
    matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
}
