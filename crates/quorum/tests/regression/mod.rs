//! Regression tests for faults that were fixed or are known.

mod late_message_from_an_earlier_start;
mod leader_restarts_while_adding;
mod leader_restarts_while_leaving;
mod removed_voter_restarts;
mod starter_unknown_to_voter_behind;
mod voter_behind_counts_removed_voters;
mod voter_fails_after_repair;
