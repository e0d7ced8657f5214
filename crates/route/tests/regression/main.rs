//! Faults found before, one a module.

mod outgrown_queue;
