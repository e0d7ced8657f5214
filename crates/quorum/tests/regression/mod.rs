//! Regression tests for faults that were fixed or are known.

mod late_message_from_an_earlier_start;
mod leader_restarts_while_adding;
mod leader_restarts_while_leaving;
mod new_voter_unknown_to_lagging_voter;
mod pre_vote_of_voter_behind_a_term;
mod removed_voter_restarts;
mod voter_behind_counts_removed_voters;
mod voter_behind_knows_only_lost_voters;
mod voter_fails_after_repair;
