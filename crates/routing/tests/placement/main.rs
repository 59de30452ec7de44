//! Tests of the placement against simulated runners that report late, lose answers and execute
//! orders late.

mod cases;
mod homes;
mod limited_capacity;
mod paced_calls;
mod properties;
mod regions;
mod saturation;
mod simulation;
mod successors;
