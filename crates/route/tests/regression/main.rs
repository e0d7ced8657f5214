//! Regression tests, one module per fault.

mod drained_report;
mod outgrown_queue;
mod unknown_slots;
