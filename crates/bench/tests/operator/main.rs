//! Operators' commands and pages, end to end against real daemons.

mod access;
mod calls;
mod changes;
mod meddler;
mod queries;
mod readiness;
mod tool;
mod voters;
