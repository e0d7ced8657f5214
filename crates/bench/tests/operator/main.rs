//! The operator's command-line tool and the admin pages, end to end against real daemons.

mod access;
mod calls;
mod changes;
mod intercepting_proxy;
mod queries;
mod readiness;
mod tool;
mod voters;
