//! Faults found before, one a module.

mod dead_incarnation;
