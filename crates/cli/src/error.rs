use std::{error, fmt, process::ExitCode};

use wire::problem::Problem;

/// Outcome of a command; the number is the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded, or there was nothing to do.
    Done = 0,
    /// The router refused the request, or another change came first; nothing was changed.
    Refused = 1,
    /// The command line or a setting is invalid; nothing was sent.
    Usage = 2,
    /// No router responded; nothing was changed.
    Unreachable = 3,
    /// The response was lost: the change may be in force. The same command is safe to send again.
    Unknown = 4,
    /// `diff` found a difference.
    Differs = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Error of a command, with its exit code.
#[derive(Debug)]
pub struct Error {
    exit: Exit,
    message: String,
}

impl Error {
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self { exit: Exit::Usage, message: message.into() }
    }

    pub(crate) fn refused(message: impl Into<String>) -> Self {
        Self { exit: Exit::Refused, message: message.into() }
    }

    pub(crate) fn unreachable(message: impl Into<String>) -> Self {
        Self { exit: Exit::Unreachable, message: message.into() }
    }

    pub(crate) fn unknown(message: impl Into<String>) -> Self {
        Self { exit: Exit::Unknown, message: message.into() }
    }

    pub(crate) fn problem(problem: &Problem) -> Self {
        let detail = problem.detail.as_deref().unwrap_or("no detail given");
        Self::refused(format!("{} (status {}): {detail}", problem.title, problem.status))
    }

    /// Returns the exit code for the error.
    pub fn exit(&self) -> Exit {
        self.exit
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for Error {}
