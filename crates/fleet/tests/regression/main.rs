//! Faults found before, one a module.

mod slow_rollout;
