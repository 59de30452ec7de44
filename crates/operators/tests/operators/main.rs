//! The operators' surface: changes, reads and the client.

mod changes;
mod client;
mod reads;
mod support;
