//! The ingress over real sockets on the loopback, against a store in memory and scripted runners.

mod access;
mod coordination;
mod failures;
mod requests;
mod runner;
mod stops;
mod store;
mod support;
