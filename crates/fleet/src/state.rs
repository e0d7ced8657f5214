use base::{LogIndex, Revision};

use crate::{Command, Reply};

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    applied: LogIndex,
    revision: Revision,
}

impl Fleet {
    /// Applies the command at `index`.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Reply {
        self.applied = index;
        match command {
            Command::Change(_) => {
                self.revision = self.revision.next();
                Reply::Changed(self.revision)
            }
            Command::Claim(_) | Command::Finish { .. } => Reply::Claimed,
        }
    }
}
