//! A file for each fault found.

mod listen_backlog;
