//! A thin shell.

fn main() {}
