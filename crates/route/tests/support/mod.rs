//! Models of load that tests share.

pub mod closed_loop;
