//! Wire types: HTTP bodies and messages between routers.
