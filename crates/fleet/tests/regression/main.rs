//! Regression tests, one fault per module.

mod loaded_weights_unknown_to_routers;
mod slow_rollout;
