//! Regression tests, one module per fault.

mod dead_incarnation;
