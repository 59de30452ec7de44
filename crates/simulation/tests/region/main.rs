//! A whole region in virtual time: what must always hold, under every fault.

mod calm;
mod properties;
mod schedules;
mod successors;
mod support;
