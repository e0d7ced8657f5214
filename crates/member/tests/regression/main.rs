//! Faults found, a file each.

#[path = "../net/mod.rs"]
mod net;

mod catch_up_deadlock;
mod newcomer_drops_old_news;
mod simultaneous_ends;
