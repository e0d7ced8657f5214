//! Regression tests, one file for each fault.

#[path = "../net/mod.rs"]
mod net;

mod catch_up_deadlock;
mod new_router_rejects_old_records;
mod simultaneous_expiry;
