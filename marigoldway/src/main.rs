//! The marigoldway binary.

fn main() {}
