//! Faults that were found.

mod late_message_from_an_earlier_start;
mod leader_restarts_while_adding;
mod leader_restarts_while_leaving;
mod removed_voter_restarts;
