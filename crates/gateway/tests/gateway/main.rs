//! The gateway against stand-ins of the engines, the services and the object API; the coordinator
//! is the test.

mod crashing_requests;
mod refusals;
mod scanner;
mod services;
mod streams;
mod support;
