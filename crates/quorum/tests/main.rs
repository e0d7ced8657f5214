//! Tests of the replicated log.

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
mod slow_disks;
mod snapshot;
mod voters;
