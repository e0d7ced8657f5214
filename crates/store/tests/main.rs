//! Files under the data folder, by theme.

mod damage;
mod document;
mod failing_disk;
mod reopen;
mod samples;
