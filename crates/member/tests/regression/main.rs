//! Regression tests, one file for each fault.

#[path = "../net/mod.rs"]
mod net;

mod catch_up_deadlock;
mod new_router_rejects_old_records;
mod oversized_announcement;
mod roster_after_restart_of_all;
mod simultaneous_expiry;
