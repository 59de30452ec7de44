//! Contracts of the platform's traits, and the HTTP adapters held to them against the stand-ins.

mod engine_contract;
mod engines;
mod limits;
mod machine_list;
mod object_api;
mod object_contract;
mod settled;
