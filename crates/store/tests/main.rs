//! Tests of the storage in the data folder.

mod damage;
mod document;
mod failing_disk;
mod reopen;
mod samples;
