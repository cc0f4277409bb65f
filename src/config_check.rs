//! Checks an operator's configuration before it is put in force.

pub mod differences;
pub mod findings;
pub mod rules;
