//! Faults found before, one a module.

mod drained_report;
mod outgrown_queue;
mod unknown_slots;
