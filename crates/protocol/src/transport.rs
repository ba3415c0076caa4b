//! The `tarpc` transport: `speedy` bodies in length-delimited frames with a limit.
