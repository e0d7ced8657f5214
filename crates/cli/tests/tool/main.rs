//! Runs the tool as a process against a fake router.

mod changes;
mod fake;
mod queries;
mod routes;
