//! The router's daemon.
