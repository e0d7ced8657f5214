use std::{
    error, fmt, io,
    path::{Path, PathBuf},
    result,
};

/// The result of work on the data folder.
pub type Result<T> = result::Result<T, Error>;

/// A failure to use the data folder.
#[derive(Debug)]
pub struct Error(Box<Failure>);

/// What kind of failure an [`Error`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The operating system refused to read or write.
    Io,
    /// The disk is full.
    Full,
    /// What was written can't be read back.
    Damage,
    /// A file was written by a version of the program that this one doesn't know.
    Version,
    /// Another process uses the folder.
    Locked,
    /// An earlier write or sync failed.
    Poisoned,
}

#[derive(Debug)]
enum Failure {
    Io { doing: &'static str, path: PathBuf, source: io::Error },
    Damage { path: PathBuf, offset: u64, what: &'static str },
    Version { path: PathBuf, found: u32 },
    Locked { path: PathBuf },
    Poisoned,
}

impl Error {
    /// Returns what kind of failure it is.
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

    /// Returns whether what was written can't be read back.
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

    pub(crate) fn io(doing: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self(Box::new(Failure::Io { doing, path: path.into(), source }))
    }

    pub(crate) fn damage(path: &Path, offset: u64, what: &'static str) -> Self {
        Self(Box::new(Failure::Damage { path: path.into(), offset, what }))
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
            Failure::Io { doing, path, source } => {
                write!(f, "cannot {doing} {}: {source}", path.display())
            }
            Failure::Damage { path, offset, what } => write!(
                f,
                "{} is damaged at byte {offset} ({what}); remove this host from the voters, \
                 move the data folder away, start with an empty one and add the host again",
                path.display()
            ),
            Failure::Version { path, found } => write!(
                f,
                "{} has format version {found}, which this version of the program doesn't know; \
                 start the version that wrote it",
                path.display()
            ),
            Failure::Locked { path } => {
                write!(
                    f,
                    "another process holds {}; one process uses a data folder",
                    path.display()
                )
            }
            Failure::Poisoned => f.write_str(
                "an earlier write or sync of the data folder failed; mend the disk and restart",
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
