//! Program of the stand-ins, for tests.
fn main() {}
