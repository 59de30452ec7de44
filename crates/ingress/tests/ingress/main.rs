//! Integration tests of the ingress over loopback sockets, with an in-memory store and scripted runners.

mod access;
mod brittle_runners;
mod cold_runners;
mod coordination;
mod crashing_requests;
mod crashing_runner;
mod failures;
mod homes;
mod incarnations;
mod leaving_runners;
mod legacy_coordinator;
mod limited_runners;
mod partition;
mod partitioned_daemons;
mod requests;
mod resting_runners;
mod restored_store;
mod retry_budget;
mod runner;
mod software_versions;
mod stall;
mod stops;
mod store;
mod support;
mod suspension;
mod tunnels;
