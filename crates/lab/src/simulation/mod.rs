//! A region in virtual time: gateways, runners, engines and the weight store, around a controller
//! that decides. Nothing here reads a clock, so the same inputs give the same run.

mod batch;
mod cache;
mod cold_starts;
mod gateway;
mod measures;
mod runner;
mod weight_store;
mod world;

pub use batch::{Batch, BatchRequest, CallIndex};
pub use cache::Cache;
pub use measures::{Measures, Times};
pub use runner::{Effect, Holding, Runner, Source, physical_load_time};
pub use weight_store::{TransferId, WeightStore};
pub use world::{Run, World};
