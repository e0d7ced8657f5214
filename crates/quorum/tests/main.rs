//! The replicated log, by theme.

mod checker;
mod cluster;
mod election;
mod healing;
mod hints;
mod lease;
mod lost_disk;
mod messages;
mod model;
mod regression;
mod replication;
mod snapshot;
mod voters;
