//! Contract tests of the platform traits, run with the HTTP adapters against the emulators.

mod engine_contract;
mod engines;
mod limits;
mod machine_list;
mod object_api;
mod object_contract;
mod resolving;
