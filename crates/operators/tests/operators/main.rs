//! Integration tests of operator changes, queries and the client.

mod changes;
mod client;
mod reads;
mod support;
