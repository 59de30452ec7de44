//! Tests of admission control: properties against a model, and individual cases.

mod cases;
mod model;
