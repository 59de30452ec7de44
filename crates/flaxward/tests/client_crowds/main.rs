//! Crowds of clients that do not behave, at real processes: bodies that stop short of their end, bodies beyond the
//! limit, connections that send nothing, answers that nobody reads.
//!
//! What is checked does not depend on the speed of the machine: the process lives, its memory and its descriptors
//! stay within the limits of its settings, and an ordinary request is answered.

mod crowd;
mod ingress;
mod own_interface;
mod process;
#[path = "../processes/support/mod.rs"]
#[allow(dead_code, reason = "shared with other tests, which use all of it")]
mod support;

/// Held by the test that runs: one crowd at a time.
static ALONE: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
