//! Regression tests, one file for each fault.

mod listen_backlog;
