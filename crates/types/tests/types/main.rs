//! Tests of the shared types: names, encodings and result codes.

mod names;
mod result_codes;
mod round_trips;
mod strategies;
