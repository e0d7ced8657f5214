//! Files under the data folder: the log, the vote and snapshots.
