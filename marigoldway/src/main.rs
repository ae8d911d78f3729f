//! Entry point of the marigoldway binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    marigoldway::cli::main()
}
