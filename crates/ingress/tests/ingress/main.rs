//! The ingress over real sockets on the loopback, against a store in memory and scripted runners.

mod access;
mod cold_runners;
mod coordination;
mod crashing_requests;
mod crashing_runner;
mod earlier_coordinator;
mod failures;
mod homes;
mod incarnations;
mod leaving_runners;
mod limited_runners;
mod requests;
mod resting_runners;
mod restored_store;
mod runner;
mod standstill;
mod stops;
mod store;
mod support;
mod suspension;
