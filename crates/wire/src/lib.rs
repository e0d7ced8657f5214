//! Wire types: HTTP bodies and messages between routers.

pub mod operator;
pub mod problem;
