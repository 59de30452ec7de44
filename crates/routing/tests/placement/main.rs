//! The placement against model runners that report late, lose answers and carry orders out late.

mod cases;
mod homes;
mod paced_calls;
mod pressure;
mod properties;
mod regions;
mod scarce;
mod world;
