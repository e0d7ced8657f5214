//! Regression tests, one fault per module.

mod slow_rollout;
