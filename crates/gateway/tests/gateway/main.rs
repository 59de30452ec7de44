//! Integration tests of the gateway against emulated engines, services and object API; the tests
//! take the role of the coordinator.

mod crashing_requests;
mod refusals;
mod scanner;
mod services;
mod streams;
mod support;
