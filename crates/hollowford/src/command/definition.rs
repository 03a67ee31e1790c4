//! Definitions of the commands: names, help texts and functions.

use super::{cancel, check, config, dev, drain, list, node, serve, state, status, submit};
use crate::error::CliError;
use pico_args::Arguments;
use std::fmt::Write;

/// An example command line. Tests run those that need no server.
#[derive(Debug)]
pub struct Example {
    /// The complete command line.
    pub line: &'static str,
    /// What the command line does.
    pub explanation: &'static str,
}

/// A command of the program.
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// Arguments, as the help shows them.
    pub signature: &'static str,
    /// What the command does, in a sentence or two.
    pub description: &'static str,
    /// Examples for the help.
    pub examples: &'static [Example],
    /// Runs the command.
    pub run: fn(Arguments) -> Result<(), CliError>,
}

/// Every command, in the order of the overview.
pub const COMMANDS: &[Command] = &[
    serve::COMMAND,
    node::COMMAND,
    check::COMMAND,
    dev::COMMAND,
    submit::COMMAND,
    status::COMMAND,
    list::COMMAND,
    cancel::COMMAND,
    config::COMMAND,
    drain::COMMAND,
    state::COMMAND,
];

impl Command {
    /// Returns the text of `--help`.
    pub fn help(&self) -> String {
        let mut text =
            format!("{}\n\nusage: hollowford {} {}\n", self.description, self.name, self.signature);
        text.push_str("\nexamples:\n");
        for e in self.examples {
            // Writing to a `String` can't fail.
            let _ = writeln!(text, "  {}\n      {}", e.line, e.explanation);
        }
        text
    }
}

/// Prints the list of commands. Returns an error if `name` is given, as no command has it.
pub fn overview(name: Option<&str>) -> Result<(), CliError> {
    if let Some(name) = name {
        let near = COMMANDS.iter().min_by_key(|c| strsim::levenshtein(c.name, name));
        let near = near.map_or("", |c| c.name);
        return Err(CliError::Usage(format!("no command {name:?}; did you mean {near:?}?")));
    }
    println!("hollowford {}\n", env!("CARGO_PKG_VERSION"));
    for c in COMMANDS {
        println!("  {:<8} {}", c.name, c.description.lines().next().unwrap_or_default());
    }
    println!("\nSee `hollowford COMMAND --help` for details.");
    Ok(())
}
