//! Admission: properties against a model, and named cases.

mod cases;
mod model;
